"""The configuration model: brands, services, the places where they run, and presets.

Layer: state.  All objects are immutable.  `Brand.from_document` builds a brand from a document and
reports all of its faults at once; the document is the parsed TOML of an operator's file, and the
log stores it in the same form.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any

from cloverhook.checking import (
    HOST,
    NAME,
    Address,
    Choice,
    Integer,
    Items,
    Number,
    Table,
    Text,
    duplicate_faults,
    faults_of,
    kind_field,
    table_of,
)
from cloverhook.errors import ConfigError, Fault

__all__ = ["Brand", "Endpoint", "Policy", "Preset", "Priority", "Route", "Service"]

HOUR_MS = 3_600_000


class Preset(Enum):
    """The three presets; exactly one is in force for each brand at any time."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


class Priority(IntEnum):
    """The priority of a request.  Under overload, the largest value is shed first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server's address (`ip:port`), its data centre and its concurrency limits.

    `slots` limits its concurrent requests and `connections` its connections.  `leaving` is whether
    it is draining: it receives no new requests.
    """

    address: str
    data_center: str
    slots: int = 4
    connections: int = 200
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """The priority of requests whose path starts with `path_prefix`."""

    path_prefix: str
    priority: Priority


@dataclass(frozen=True, slots=True)
class Policy:
    """The values that a preset may change for a service.  Times are in ms, ratios are 0 to 1.

    `measuring_ms_per_s` is the probe budget: the total time of the probes of all VMs per second.
    """

    timeout_ms: float = kind_field(Number(1, HOUR_MS), 10_000)
    wait_limit_ms: float = kind_field(Number(0, HOUR_MS), 1_000)
    retry_ratio: float = kind_field(Number(0, 1), 0.1)
    measuring_ms_per_s: float = kind_field(Number(0, 1_000_000), 60)
    lifetime_ms: float = kind_field(Number(100, HOUR_MS), 5_000)
    home_vms: int = kind_field(Integer(1, 10_000), 3)


@dataclass(frozen=True, slots=True)
class Service:
    """A service of a brand: its callers' host names, its endpoints and its policy per preset."""

    name: str
    hosts: tuple[str, ...]
    endpoints: tuple[Endpoint, ...]
    priority: Priority = Priority.NORMAL
    routes: tuple[Route, ...] = ()
    policies: Mapping[Preset, Policy] = field(default_factory=dict)

    def policy(self, preset: Preset) -> Policy:
        """Return the policy in force under a preset."""
        return self.policies.get(preset, Policy())

    def priority_of(self, path: str) -> Priority:
        """Return the priority of the longest route that matches a path, or else the service's."""
        matches = [route for route in self.routes if path.startswith(route.path_prefix)]
        if not matches:
            return self.priority
        return max(matches, key=lambda route: len(route.path_prefix)).priority


@dataclass(frozen=True, slots=True)
class Brand:
    """A brand with its services.

    For example:

    >>> brand = Brand.from_document({"brand": "saltbush", "services": []})
    >>> brand.name
    'saltbush'
    """

    name: str
    services: tuple[Service, ...]

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "Brand":
        """Build a brand from a parsed TOML document.

        Raises `ConfigError` with every fault of the document.
        """
        faults = faults_of(BRAND, "", document) or _duplicates(document)
        if faults:
            raise ConfigError(faults)
        services = tuple(_service(item) for item in document.get("services", ()))
        return cls(document["brand"], services)

    def hosts(self) -> frozenset[str]:
        """Return the host names of all services."""
        return frozenset(host for service in self.services for host in service.hosts)


ROUTE = Table(
    {
        "path_prefix": Text("a path that starts with /", r"/[^\s?#]{0,1023}"),
        "priority": Choice(tuple(priority.name.lower() for priority in Priority)),
    },
    required=frozenset(("path_prefix", "priority")),
)
PLACE = Table(
    {
        "data_center": NAME,
        "endpoints": Items(Address(), minimum=1),
        "slots": Integer(1, 100_000),
        "connections": Integer(1, 1_000_000),
        "leaving": Items(Address()),
    },
    required=frozenset(("data_center", "endpoints")),
)
POLICY = table_of(Policy)
SERVICE = Table(
    {
        "name": NAME,
        "hosts": Items(HOST, minimum=1),
        "priority": ROUTE.fields["priority"],
        "places": Items(PLACE),
        "routes": Items(ROUTE),
        "policy": POLICY,
        "presets": Table({preset.value: POLICY for preset in Preset}),
    },
    required=frozenset(("name", "hosts")),
)
BRAND = Table({"brand": NAME, "services": Items(SERVICE)}, required=frozenset(("brand",)))


def _duplicates(document: Mapping[str, Any]) -> tuple[Fault, ...]:
    services = list(enumerate(document.get("services", ())))
    names = [(f"services[{index}].name", item["name"]) for index, item in services]
    hosts = [
        (f"services[{index}].hosts[{place}]", host)
        for index, item in services
        for place, host in enumerate(item["hosts"])
    ]
    faults = list(duplicate_faults(names, "service name"))
    faults.extend(duplicate_faults(hosts, "host name"))
    for index, item in services:
        faults.extend(_place_faults(f"services[{index}]", item.get("places", ())))
        prefixes = [
            (f"services[{index}].routes[{place}].path_prefix", route["path_prefix"])
            for place, route in enumerate(item.get("routes", ()))
        ]
        faults.extend(duplicate_faults(prefixes, "path prefix"))
    return tuple(faults)


def _place_faults(key: str, places: Sequence[Mapping[str, Any]]) -> Iterator[Fault]:
    endpoints = [
        (f"{key}.places[{index}].endpoints[{item}]", address)
        for index, place in enumerate(places)
        for item, address in enumerate(place["endpoints"])
    ]
    yield from duplicate_faults(endpoints, "address")
    for index, place in enumerate(places):
        for item, address in enumerate(place.get("leaving", ())):
            if address not in place["endpoints"]:
                name = f"{key}.places[{index}].leaving[{item}]"
                yield Fault(name, repr(address), "one of this place's endpoints")


def _service(item: Mapping[str, Any]) -> Service:
    presets = item.get("presets", {})
    return Service(
        name=item["name"],
        hosts=tuple(item["hosts"]),
        endpoints=tuple(
            endpoint for place in item.get("places", ()) for endpoint in _endpoints(place)
        ),
        priority=Priority[item.get("priority", "normal").upper()],
        routes=tuple(
            Route(route["path_prefix"], Priority[route["priority"].upper()])
            for route in item.get("routes", ())
        ),
        policies={
            preset: Policy(**{**item.get("policy", {}), **presets.get(preset.value, {})})
            for preset in Preset
        },
    )


def _endpoints(place: Mapping[str, Any]) -> Iterator[Endpoint]:
    limits = {name: place[name] for name in ("slots", "connections") if name in place}
    leaving = place.get("leaving", ())
    for address in place["endpoints"]:
        yield Endpoint(address, place["data_center"], leaving=address in leaving, **limits)
