"""A gateway's settings: a TOML file, checked whole.

Layer: state.  Unlike the settings of `cloverhookd`, they say nothing of brands or endpoints: the
gateway reads both from the platform's store.
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
PLACE = Text("a name", r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
HOUR_S = 3_600


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a gateway has to know before it starts.

    Addresses are `ip:port`.  `seed_addresses` names peers to ask while the store is away;
    `drain_s` is how soon a backend server that leaves must get no more work, `stop_s` how long a
    planned stop may take.  At the `first_start` of a whole fleet there is time to let one VM read
    the store for all; at a later start each reads it once.  Over `retry_window_s`, all
    gateways together may repeat `retry_ratio` of a service's requests and `retry_extra` more.  In a
    second, a cold backend server gets at most `cold_over` times the rate that its service states,
    and `cold_slack` requests more.  `regions` tells the region of each data centre; a route that
    names regions is served by the data centres there alone.
    """

    vm: str = kind(PLACE)
    data_center: str = kind(PLACE)
    caller_address: str = kind(ADDRESS)
    ready_address: str = kind(ADDRESS)
    directory_address: str = kind(ADDRESS)
    peer_address: str = kind(ADDRESS)
    store_address: str = kind(ADDRESS)
    seed_addresses: tuple[str, ...] = kind(Items(ADDRESS), ())
    first_start: bool = False
    metrics_port: int = kind(Integer(0, 65_535), 0)
    drain_s: float = kind(Number(0, HOUR_S), 2)
    stop_s: float = kind(Number(0, HOUR_S), 6)
    retry_ratio: float = kind(Number(0, 1), 0.2)
    retry_window_s: float = kind(Number(0.1, HOUR_S), 10)
    retry_extra: float = kind(Number(0), 20)
    address_ttl_s: float = kind(Number(0.1, HOUR_S), 5)
    probes_per_s: float = kind(Number(0, 1_000), 20)
    cold_over: float = kind(Number(0.1, 1_000), 1.5)
    cold_slack: float = kind(Number(0), 8)
    regions: Mapping[str, str] | None = kind(MapOf(Text()), None)

    @classmethod
    def from_file(cls, path: str) -> "GatewaySettings":
        """Read settings from a TOML file.  Raises `SettingsError` with every fault."""
        return cls.from_document(read_toml(path, SettingsError))

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "GatewaySettings":
        """Build settings from parsed TOML.  Raises `SettingsError` with every fault."""
        faults = faults_of(table_of(cls), "", document)
        if faults:
            raise SettingsError(faults)
        known = {item.name: document[item.name] for item in fields(cls) if item.name in document}
        return cls(**{**known, "seed_addresses": tuple(document.get("seed_addresses", ()))})
