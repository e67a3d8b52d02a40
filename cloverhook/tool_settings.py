"""The settings of the operators' tool: a TOML file, and flags that override it.

Layer: state.  The operators' token is read only from a file or the environment.
"""

import os
from dataclasses import dataclass
from pathlib import Path

from cloverhook.checking import Address, Items, Table, Text, faults_of
from cloverhook.errors import Fault, SettingsError
from cloverhook.settings import URL
from cloverhook.toml_file import read_toml

__all__ = ["ToolSettings"]

TOKEN_VARIABLE = "CLOVERHOOK_OPERATOR_TOKEN"
DEFAULT_PLATFORM = "http://127.0.0.1:7000"
SETTINGS = Table(
    {"platform": URL, "daemons": Items(Address()), "operator": Text(), "token_file": Text()}
)


@dataclass(frozen=True, slots=True)
class ToolSettings:
    """The addresses of the platform and the daemons, and the operator's name and token file."""

    platform: str = DEFAULT_PLATFORM
    daemons: tuple[str, ...] = ()
    operator: str = ""
    token_file: str = ""

    @classmethod
    def from_file(cls, path: str) -> "ToolSettings":
        """Read settings from a TOML file.  Raises `SettingsError` with every fault."""
        document = read_toml(path, SettingsError)
        faults = faults_of(SETTINGS, "", document)
        if faults:
            raise SettingsError(faults)
        return cls(**{**document, "daemons": tuple(document.get("daemons", ()))})

    def token(self) -> str:
        """Return the operators' token, or an empty string if there is none."""
        if not self.token_file:
            return os.environ.get(TOKEN_VARIABLE, "")
        try:
            return Path(self.token_file).read_text().strip()
        except OSError as error:
            raise SettingsError((Fault("token_file", str(error), "a readable file"),)) from error
