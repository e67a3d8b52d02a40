"""The configuration that a gateway serves by: routes, services and limits of one version.

Layer: state.  A route is found by the host name and the longest path prefix.

>>> config = GatewayConfig.from_document({"version": 1, "routes": [
...     {"name": "r", "host": "a.example", "path_prefix": "/",
...      "parts": [{"service": "s", "weight": 1}]}]})
>>> config.find("a.example", "/x").name
'r'
"""

from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass, field, fields
from typing import Any

from cloverhook.checking import (
    Anything,
    Integer,
    Items,
    Number,
    Table,
    Text,
    checker,
    faults_of,
    kind_field,
    table_of,
)
from cloverhook.errors import MessageError

__all__ = ["GatewayConfig", "IngressLimits", "WeightedService", "Route", "ServiceSpec"]


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path go, and what they may cost.

    `idempotent` requests may run more than once.  `aim_ms` is the latency objective, `timeout_ms`
    bounds the wait for the final answer, `attempts` the endpoints that may run one request;
    priority 0 is the most important.  Requests go to endpoints in its `regions` only; with none
    named, to any.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[WeightedService, ...] = kind_field(Anything())
    idempotent: bool = False
    timeout_ms: float = 10_000.0
    aim_ms: float = 1_000.0
    priority: int = 0
    attempts: int = 1
    regions: tuple[str, ...] = kind_field(Items(Text()), ())


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What is configured of a service; its endpoints register themselves.

    A cold endpoint bears `cold_per_s` requests a second; 0 says that they need no limit.
    """

    name: str
    health_path: str = "/health"
    connections: int = 100
    cold_per_s: float = kind_field(Number(0), 0.0)


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """How large, how slow and how long idle a caller may be."""

    header_bytes: int = 32_768
    body_bytes: int = 67_108_864
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


CONFIG_DOCUMENT = Table(
    {
        "version": Integer(),
        "routes": Items(
            Table(
                {**table_of(Route).fields, "parts": Items(table_of(WeightedService), 1)},
                frozenset({"name", "host", "path_prefix", "parts"}),
            )
        ),
        "services": Items(table_of(ServiceSpec)),
        "limits": table_of(IngressLimits),
    },
    frozenset({"version", "routes"}),
)
"""What peers send each other of a configuration; `GatewayConfig.to_document` makes it."""
IS_CONFIG_FRAME = checker(
    Table({**CONFIG_DOCUMENT.fields, "routes": Items(Anything())}, CONFIG_DOCUMENT.required)
)
IS_ROUTE_LIST = checker(CONFIG_DOCUMENT.fields["routes"])
ROUTE_FIELDS = tuple(item.name for item in fields(Route) if item.name != "parts")
STEP_ROUTES = 100
"""Some milliseconds of a small VM."""


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One version of the configuration, with its routes by host, longest prefix first.

    `first_priorities` has the highest priority of the routes to each service.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: IngressLimits = IngressLimits()
    by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict, compare=False)
    first_priorities: Mapping[str, int] = field(default_factory=dict, compare=False)

    @classmethod
    def of(
        cls,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        limits: IngressLimits,
    ) -> "GatewayConfig":
        """Return a configuration whose routes are ready to be searched."""
        by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda item: len(item.path_prefix), reverse=True):
            by_host.setdefault(route.host, []).append(route)
        searched = {host: tuple(items) for host, items in by_host.items()}
        first: dict[str, int] = {}
        for route in routes:
            for part in route.parts:
                first[part.service] = min(route.priority, first.get(part.service, route.priority))
        by_name = {item.name: item for item in services}
        return cls(version, routes, by_name, limits, searched, first)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "GatewayConfig":
        """Build a configuration from the form in which peers exchange it.

        Raises `MessageError` if it is not as `CONFIG_DOCUMENT` describes it.
        """
        *_, config = cls.iter_from_document(document)
        return config

    @classmethod
    def iter_from_document(cls, document: Mapping[str, Any]) -> Iterator["GatewayConfig | None"]:
        """Do the same step by step: yields None after each step, and at the end the configuration.

        The steps are short, for a loop that has more to do.
        """
        if not IS_CONFIG_FRAME(document):
            raise _fault_of(document)
        routes: list[Route] = []
        for start in range(0, len(document["routes"]), STEP_ROUTES):
            rows = document["routes"][start : start + STEP_ROUTES]
            if not IS_ROUTE_LIST(rows):
                raise _fault_of(document)
            routes += (_route_from(row) for row in rows)
            yield None
        services = tuple(ServiceSpec(**item) for item in document.get("services", ()))
        limits = IngressLimits(**document.get("limits", {}))
        yield cls.of(document["version"], tuple(routes), services, limits)

    def to_document(self) -> dict[str, Any]:
        """Return the form in which peers exchange a configuration."""
        routes = [_row_of(route) for route in self.routes]
        services = [asdict(item) for item in self.services.values()]
        limits = asdict(self.limits)
        return {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix of `path`, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _route_from(row: Mapping[str, Any]) -> Route:
    parts = tuple(WeightedService(**part) for part in row["parts"])
    return Route(**{**row, "parts": parts, "regions": tuple(row.get("regions", ()))})


def _row_of(route: Route) -> dict[str, Any]:
    row = {name: getattr(route, name) for name in ROUTE_FIELDS}
    row["parts"] = [{"service": part.service, "weight": part.weight} for part in route.parts]
    return row


def _fault_of(document: Any) -> MessageError:
    """Return the error that names the first fault of a document."""
    return MessageError(f"a configuration: {faults_of(CONFIG_DOCUMENT, '', document)[0]}")
