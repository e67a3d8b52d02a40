"""A gateway's configuration: the routes, services and limits of one version.

Layer: state.  The route of a request is the one for its host name with the longest matching path
prefix.

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
    AnyTable,
    Integer,
    Items,
    Number,
    Table,
    Text,
    compile_check,
    faults_of,
    kind_field,
    table_of,
)
from cloverhook.errors import MessageError
from cloverhook.gateway.accounts import ACCOUNT_DOCUMENT, AccountIndex, ClientAccount

__all__ = ["GatewayConfig", "IngressLimits", "WeightedService", "Route", "ServiceSpec"]


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests proportional to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The destination of the requests for a host and a path prefix, and the limits on them.

    `idempotent` requests may run more than once.  `aim_ms` is the latency objective, `timeout_ms`
    limits the wait for the final response, and `attempts` limits the number of endpoints that may
    run one request.  Priority 0 is the most important.  Requests go only to endpoints in `regions`;
    if it is empty, to endpoints in any region.  With `large_responses`, responses are often larger
    than a slow link of a VM carries at once.  A `public` route needs no key of an account.

    An `unusable` route stands for one of which only the host and the path prefix could be
    understood.  Its requests are rejected: they must not go to a route with a shorter prefix.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[WeightedService, ...] = kind_field(AnyTable())
    idempotent: bool = False
    timeout_ms: float = 10_000.0
    aim_ms: float = 1_000.0
    priority: int = 0
    attempts: int = 1
    regions: tuple[str, ...] = kind_field(Items(Text()), ())
    large_responses: bool = False
    public: bool = False
    unusable: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """The configuration of a service; its endpoints register themselves.

    A cold endpoint can handle `cold_per_s` requests a second; 0 means that no limit is needed.
    """

    name: str
    health_path: str = "/health"
    connections: int = 100
    cold_per_s: float = kind_field(Number(0), 0.0)


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on the size and the duration of a caller's request and on a connection's idle time."""

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
        "accounts": Items(ACCOUNT_DOCUMENT),
        "rejected_items": Items(Text()),
    },
    frozenset({"version", "routes"}),
)
"""The schema of the document that peers exchange; `GatewayConfig.to_document` returns one."""
IS_VALID_WITHOUT_ROUTES = compile_check(
    Table({**CONFIG_DOCUMENT.fields, "routes": Items(AnyTable())}, CONFIG_DOCUMENT.required)
)
IS_VALID_ROUTE_LIST = compile_check(CONFIG_DOCUMENT.fields["routes"])
OPTIONAL_ROUTE_FLAGS = ("large_responses", "public", "unusable")
"""These fields are left out of a document where they are false: older gateways don't know them."""
ROUTE_FIELDS = tuple(
    item.name for item in fields(Route) if item.name not in ("parts", *OPTIONAL_ROUTE_FLAGS)
)
ROUTES_PER_STEP = 100
"""The number of routes in one decoding step, which takes a few milliseconds on a small VM."""


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One version of the configuration; `by_host` has a host's routes, longest prefix first.

    `first_priorities` has, for each service, the lowest priority value (the most important one) of
    the routes to it, and `first_account_priority` that of the accounts with a priority of their
    own.  `accounts` is None where the deployment has no client accounts.
    `rejected_items` names the routes, services and accounts that could not be understood, with the
    reason; the rest is in force without them.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: IngressLimits = IngressLimits()
    by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict, compare=False)
    first_priorities: Mapping[str, int] = field(default_factory=dict, compare=False)
    accounts: AccountIndex | None = None
    rejected_items: tuple[str, ...] = ()
    first_account_priority: int | None = field(default=None, compare=False)

    @classmethod
    def of(
        cls,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        limits: IngressLimits,
        accounts: AccountIndex | None = None,
        rejected_items: tuple[str, ...] = (),
    ) -> "GatewayConfig":
        """Return a configuration, with the indexes that `find` and admission use."""
        by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda item: len(item.path_prefix), reverse=True):
            by_host.setdefault(route.host, []).append(route)
        routes_by_host = {host: tuple(items) for host, items in by_host.items()}
        first_priorities: dict[str, int] = {}
        for route in routes:
            for part in route.parts:
                first_priorities[part.service] = min(
                    route.priority, first_priorities.get(part.service, route.priority)
                )
        by_name = {item.name: item for item in services}
        return cls(
            version,
            routes,
            by_name,
            limits,
            routes_by_host,
            first_priorities,
            accounts,
            rejected_items,
            None if accounts is None else accounts.first_priority(),
        )

    def is_top_priority(self, service: str, route: Route, account: ClientAccount | None) -> bool:
        """Return whether a request for a service is of top priority.

        The priority of an account replaces that of the route, so it is compared with those of other
        accounts: account priorities may begin at 1 while those of routes begin at 0.
        """
        if account is not None and account.priority is not None:
            first = self.first_account_priority
            return first is None or account.priority <= first
        return route.priority <= self.first_priorities.get(service, 0)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "GatewayConfig":
        """Build a configuration from the document that peers exchange.

        Raises `MessageError` if the document doesn't match `CONFIG_DOCUMENT`.
        """
        *_, config = cls.iter_from_document(document)
        return config

    @classmethod
    def iter_from_document(cls, document: Mapping[str, Any]) -> Iterator["GatewayConfig | None"]:
        """Build a configuration in steps: yields None after each step, and the configuration last.

        The steps are short, so that an event loop can do other work between them.  Raises
        `MessageError` as `from_document` does.
        """
        if not IS_VALID_WITHOUT_ROUTES(document):
            raise _invalid_document(document)
        routes: list[Route] = []
        for start in range(0, len(document["routes"]), ROUTES_PER_STEP):
            rows = document["routes"][start : start + ROUTES_PER_STEP]
            if not IS_VALID_ROUTE_LIST(rows):
                raise _invalid_document(document)
            routes += (_route_from_row(row) for row in rows)
            yield None
        services = tuple(ServiceSpec(**item) for item in document.get("services", ()))
        limits = IngressLimits(**document.get("limits", {}))
        accounts = None
        if "accounts" in document:
            rows = document["accounts"]
            accounts = AccountIndex(tuple(ClientAccount.from_document(row) for row in rows))
        rejected_items = tuple(document.get("rejected_items", ()))
        yield cls.of(document["version"], tuple(routes), services, limits, accounts, rejected_items)

    def to_document(self) -> dict[str, Any]:
        """Return the document in which peers exchange a configuration."""
        routes = [_row_from_route(route) for route in self.routes]
        services = [asdict(item) for item in self.services.values()]
        limits = asdict(self.limits)
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        if self.accounts is not None:
            document["accounts"] = [item.to_document() for item in self.accounts.accounts]
        if self.rejected_items:
            document["rejected_items"] = list(self.rejected_items)
        return document

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of `path`, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _route_from_row(row: Mapping[str, Any]) -> Route:
    parts = tuple(WeightedService(**part) for part in row["parts"])
    return Route(**{**row, "parts": parts, "regions": tuple(row.get("regions", ()))})


def _row_from_route(route: Route) -> dict[str, Any]:
    row = {name: getattr(route, name) for name in ROUTE_FIELDS}
    row.update((name, True) for name in OPTIONAL_ROUTE_FLAGS if getattr(route, name))
    row["parts"] = [{"service": part.service, "weight": part.weight} for part in route.parts]
    return row


def _invalid_document(document: Any) -> MessageError:
    """Return the error for the first fault found in a document."""
    return MessageError(f"invalid configuration: {faults_of(CONFIG_DOCUMENT, '', document)[0]}")
