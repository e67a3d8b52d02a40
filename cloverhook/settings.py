"""A daemon's settings: a TOML file, checked whole.

Layer: state.  All faults are reported at once, each with its key, what was found and what is
allowed. Secrets never stand in the settings: a setting names the file or the environment
variable that holds one.
"""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any

from cloverhook.errors import Fault, SettingsError

__all__ = ["DaemonSettings"]


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """What a daemon has to know before it starts.

    Addresses are `ip:port`; port 0 takes any free one.  A secret is read from the file that
    `peer_key_file` or `operator_token_file` names, or else from the environment variable
    `CLOVERHOOK_PEER_KEY` or `CLOVERHOOK_OPERATOR_TOKEN`.
    """

    vm: str
    data_center: str
    caller_address: str
    operator_address: str
    peer_address: str
    platform_url: str
    peer_key_file: str = ""
    operator_token_file: str = ""
    header_limit_bytes: int = 32_768
    header_limit_count: int = 100
    url_limit_bytes: int = 8_192
    body_limit_bytes: int = 1_073_741_824
    kept_body_bytes: int = 65_536
    header_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    caller_idle_ms: int = 30_000
    heartbeat_ms: int = 250
    drain_ms: int = 6_000
    log_format: str = "text"

    @classmethod
    def from_file(cls, path: str) -> "DaemonSettings":
        """Read settings from a TOML file.  Raises `SettingsError` with every fault."""
        try:
            document = tomllib.loads(Path(path).read_text())
        except (OSError, tomllib.TOMLDecodeError) as error:
            raise SettingsError((Fault(path, str(error), "a readable TOML file"),)) from error
        return cls.from_document(document)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "DaemonSettings":
        """Build settings from parsed TOML.  Raises `SettingsError` with every fault."""
        known = {field.name: field for field in fields(cls)}
        faults = [
            Fault(key, repr(value), f"one of: {', '.join(known)}")
            for key, value in document.items()
            if key not in known
        ]
        for name, field in known.items():
            if name not in document:
                if field.default is MISSING:
                    faults.append(Fault(name, "nothing", f"a value ({field.type.__name__})"))
            elif type(document[name]) is not field.type:
                faults.append(Fault(name, repr(document[name]), f"a value ({field.type.__name__})"))
        if faults:
            raise SettingsError(tuple(faults))
        return cls(**document)

    def peer_key(self) -> bytes:
        """Return the key that daemons share.  Raises `SettingsError` when there is none."""
        return _secret(self.peer_key_file, "CLOVERHOOK_PEER_KEY", "peer_key_file")

    def operator_token(self) -> bytes:
        """Return the operators' token.  Raises `SettingsError` when there is none."""
        return _secret(self.operator_token_file, "CLOVERHOOK_OPERATOR_TOKEN", "operator_token_file")


def _secret(path: str, variable: str, key: str) -> bytes:
    try:
        value = Path(path).read_bytes().strip() if path else os.environ.get(variable, "").encode()
    except OSError as error:
        raise SettingsError((Fault(key, str(error), "a readable file"),)) from error
    if not value:
        raise SettingsError((Fault(key, "nothing", f"a file, or {variable} set"),))
    return value
