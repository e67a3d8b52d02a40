"""A daemon's settings, read from a TOML file and validated.

Layer: state.  All faults are reported at once, each with its key, the value found and what is
allowed.  The settings never contain secrets: a secret is in a file that a setting names, or in an
environment variable.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cloverhook.checking import (
    NAME,
    Address,
    Choice,
    Integer,
    Number,
    Text,
    faults_of,
    kind_field,
    table_of,
)
from cloverhook.errors import Fault, SettingsError
from cloverhook.toml_file import read_toml

__all__ = ["DaemonSettings"]

HOUR_MS = 3_600_000
MEBIBYTE = 1_048_576
LISTENER = Address(minimum_port=0)
URL = Text("an http:// or https:// address", r"https?://[^\s]{1,1024}")


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """The settings that a daemon needs before it starts.

    Addresses are `ip:port`; port 0 means any free port.  A secret is read from the file that
    `peer_key_file` or `operator_token_file` names, or else from the environment variable
    `CLOVERHOOK_PEER_KEY` or `CLOVERHOOK_OPERATOR_TOKEN`.

    `drain_ms` limits how long requests are still accepted during a planned shutdown.  Requests that
    are still in flight `drain_in_flight_ms` after that are reported but not cut off.
    `peer_addresses` lists peers, separated by commas, for starts at which the platform's list can't
    be read.
    """

    vm: str = kind_field(NAME)
    data_center: str = kind_field(NAME)
    caller_address: str = kind_field(LISTENER)
    operator_address: str = kind_field(LISTENER)
    peer_address: str = kind_field(LISTENER)
    platform_url: str = kind_field(URL)
    peer_key_file: str = ""
    operator_token_file: str = ""
    header_limit_bytes: int = kind_field(Integer(1_024, MEBIBYTE), 32_768)
    header_limit_count: int = kind_field(Integer(1, 10_000), 100)
    url_limit_bytes: int = kind_field(Integer(64, MEBIBYTE), 8_192)
    body_limit_bytes: int = kind_field(Integer(0), 1_073_741_824)
    requests_limit: int = kind_field(Integer(1, 100_000), 1_000)
    kept_body_bytes: int = kind_field(Integer(0, 16 * MEBIBYTE), 65_536)
    header_timeout_ms: int = kind_field(Integer(10, HOUR_MS), 10_000)
    body_timeout_ms: int = kind_field(Integer(10, HOUR_MS), 30_000)
    claim_window_ms: int = kind_field(Integer(1_000, 24 * HOUR_MS), 300_000)
    claim_wait_ms: int = kind_field(Integer(10, HOUR_MS), 1_000)
    claim_appends_per_s: int = kind_field(Integer(1, 100), 10)
    replay_limit_bytes: int = kind_field(Integer(0, 64 * MEBIBYTE), 8_388_608)
    caller_idle_ms: int = kind_field(Integer(1_000, HOUR_MS), 30_000)
    heartbeat_ms: int = kind_field(Integer(10, 10_000), 250)
    drain_ms: int = kind_field(Integer(0, HOUR_MS), 30_000)
    drain_in_flight_ms: int = kind_field(Integer(10, HOUR_MS), 10_000)
    peer_addresses: str = ""
    log_format: str = kind_field(Choice(("text", "json")), "text")
    time_line_events: int = kind_field(Integer(100, 1_000_000), 20_000)
    time_line_sample_ratio: float = kind_field(Number(0, 1), 1.0)

    @classmethod
    def from_file(cls, path: str) -> "DaemonSettings":
        """Read settings from a TOML file.  Raises `SettingsError` with every fault."""
        return cls.from_document(read_toml(path, SettingsError))

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "DaemonSettings":
        """Build settings from parsed TOML.  Raises `SettingsError` with every fault."""
        faults = faults_of(table_of(cls), "", document)
        if faults:
            raise SettingsError(faults)
        return cls(**document)

    def peer_key(self) -> bytes:
        """Return the key that all daemons share.  Raises `SettingsError` if there is none."""
        return _secret(self.peer_key_file, "CLOVERHOOK_PEER_KEY", "peer_key_file")

    def operator_token(self) -> bytes:
        """Return the operators' token.  Raises `SettingsError` if there is none."""
        return _secret(self.operator_token_file, "CLOVERHOOK_OPERATOR_TOKEN", "operator_token_file")


def _secret(path: str, variable: str, key: str) -> bytes:
    try:
        value = Path(path).read_bytes().strip() if path else os.environ.get(variable, "").encode()
    except OSError as error:
        raise SettingsError((Fault(key, str(error), "a readable file"),)) from error
    if not value:
        raise SettingsError((Fault(key, "nothing", f"a file, or {variable} set"),))
    return value
