"""The settings of a gateway: a TOML file that is validated as a whole.

Layer: state.  Unlike the settings of `cloverhookd`, they contain no brands or endpoints, because
the gateway reads both from the platform's store.
"""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from cloverhook.checking import Address, Integer, Items, MapOf, Number, Text, faults_of, table_of
from cloverhook.checking import kind_field as kind
from cloverhook.errors import SettingsError
from cloverhook.toml_file import read_toml

__all__ = ["GatewaySettings"]

ADDRESS = Address()
NAME = Text("a name", r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
HOUR_S = 3_600


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings that a gateway needs at its start.

    Addresses are `ip:port`.  `seed_addresses` lists peers to ask while the store is unavailable.
    `drain_s` is the time after which a leaving backend server must get no more work,
    `config_apply_s` that in which a new configuration has to be in force, and `stop_s` the longest
    time for a planned stop.  At the `first_start` of a whole fleet there is time to let
    one VM read the store for all; at a later start each VM reads it once.  Within `retry_window_s`,
    all gateways together may retry the fraction `retry_ratio` of a service's requests and
    `retry_extra` requests more.  In a second, a cold backend server gets at most `cold_over` times
    the rate that its service states, and `cold_slack` requests more.  `regions` maps each data
    centre to its region; a route that lists regions is served only by data centres in those
    regions.  `memory_mb` bounds the bodies of requests; if it is 0, the VM is taken for one of the
    smallest.
    """

    vm: str = kind(NAME)
    data_center: str = kind(NAME)
    caller_address: str = kind(ADDRESS)
    ready_address: str = kind(ADDRESS)
    directory_address: str = kind(ADDRESS)
    peer_address: str = kind(ADDRESS)
    store_address: str = kind(ADDRESS)
    seed_addresses: tuple[str, ...] = kind(Items(ADDRESS), ())
    first_start: bool = False
    metrics_port: int = kind(Integer(0, 65_535), 0)
    drain_s: float = kind(Number(0, HOUR_S), 2)
    config_apply_s: float = kind(Number(0.1, HOUR_S), 2)
    stop_s: float = kind(Number(0, HOUR_S), 6)
    retry_ratio: float = kind(Number(0, 1), 0.2)
    retry_window_s: float = kind(Number(0.1, HOUR_S), 10)
    retry_extra: float = kind(Number(0), 20)
    address_ttl_s: float = kind(Number(0.1, HOUR_S), 5)
    probes_per_s: float = kind(Number(0, 1_000), 20)
    cold_over: float = kind(Number(0.1, 1_000), 1.5)
    cold_slack: float = kind(Number(0), 8)
    regions: Mapping[str, str] | None = kind(MapOf(Text()), None)
    cpu_share: float = kind(Number(0, 1), 0)
    cpu_cores: float = kind(Number(0, 10_000), 1)
    link_mbps: float = kind(Number(0), 0)
    memory_mb: float = kind(Number(0), 0)
    allotment_window_s: float = kind(Number(0.1, HOUR_S), 5)
    allotment_overshoot: float = kind(Number(0, 100), 0.1)
    allotment_slack: float = kind(Number(0), 20)
    strict_revocation: bool = False
    revocation_s: float = kind(Number(0.1, HOUR_S), 5)

    @property
    def processor_cores(self) -> float:
        """The processor time that this VM may use, in cores; 0 if it isn't known."""
        return self.cpu_share * self.cpu_cores

    @classmethod
    def from_file(cls, path: str) -> "GatewaySettings":
        """Read settings from a TOML file.  Raises `SettingsError` that lists every fault."""
        return cls.from_document(read_toml(path, SettingsError))

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "GatewaySettings":
        """Build settings from parsed TOML.  Raises `SettingsError` that lists every fault."""
        faults = faults_of(table_of(cls), "", document)
        if faults:
            raise SettingsError(faults)
        known = {item.name: document[item.name] for item in fields(cls) if item.name in document}
        return cls(**{**known, "seed_addresses": tuple(document.get("seed_addresses", ()))})
