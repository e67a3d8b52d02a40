"""What operators configure: brands, services, the places where they run, and presets.

Layer: state.  Everything here is frozen.  A brand is built from a document (the parsed TOML of an
operator's file, which is also what the log carries) by `Brand.from_document`, which reports all
faults at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any

from cloverhook.errors import ConfigError, Fault

__all__ = ["Brand", "Endpoint", "Policy", "Preset", "Priority", "Route", "Service"]


class Preset(Enum):
    """The three presets; exactly one is in force for a brand at a time."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


class Priority(IntEnum):
    """How important a request is.  Under overload the largest value is refused first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One backend server's address (`ip:port`), its data centre and what it can take at once."""

    address: str
    data_center: str
    slots: int = 4
    connections: int = 200
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """Requests whose path starts with `path_prefix` have this priority."""

    path_prefix: str
    priority: Priority


@dataclass(frozen=True, slots=True)
class Policy:
    """What a preset may change for a service.  Times are milliseconds, ratios are 0 to 1.

    `measuring_ms_per_s` is the measuring budget: the time of probes, all VMs together, per second.
    """

    timeout_ms: float = 10_000
    wait_limit_ms: float = 1_000
    retry_ratio: float = 0.1
    measuring_ms_per_s: float = 60
    lifetime_ms: float = 5_000
    home_vms: int = 3


@dataclass(frozen=True, slots=True)
class Service:
    """A service of a brand: the host names that callers use, its endpoints and its policies."""

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
        """Return the priority of the longest route that matches a path, else the service's."""
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
        faults: list[Fault] = []
        name = document.get("brand")
        if not isinstance(name, str) or not name:
            faults.append(Fault("brand", repr(name), "a non-empty string"))
        services = tuple(
            _service(f"services[{index}]", item, faults)
            for index, item in enumerate(document.get("services", ()))
        )
        if faults:
            raise ConfigError(tuple(faults))
        return cls(name, services)


def _service(key: str, item: Mapping[str, Any], faults: list[Fault]) -> Service:
    endpoints = tuple(
        Endpoint(
            address, place["data_center"], place.get("slots", 4), place.get("connections", 200)
        )
        for place in item.get("places", ())
        for address in place["endpoints"]
    )
    routes = tuple(
        Route(route["path_prefix"], Priority[route["priority"].upper()])
        for route in item.get("routes", ())
    )
    if not item.get("hosts"):
        faults.append(Fault(f"{key}.hosts", repr(item.get("hosts")), "at least one host name"))
    policies = {
        preset: Policy(
            **{**item.get("policy", {}), **item.get("presets", {}).get(preset.value, {})}
        )
        for preset in Preset
    }
    return Service(
        name=item.get("name", ""),
        hosts=tuple(item.get("hosts", ())),
        endpoints=endpoints,
        priority=Priority[item.get("priority", "normal").upper()],
        routes=routes,
        policies=policies,
    )
