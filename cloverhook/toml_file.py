"""Reads TOML files for all programs of the project.

Layer: state.
"""

import tomllib
from pathlib import Path
from typing import Any

from cloverhook.errors import ConfigError, Fault, SettingsError

__all__ = ["read_toml"]


def read_toml(path: str, failure: type[SettingsError | ConfigError]) -> dict[str, Any]:
    """Return a file's document.  Raises `failure` if it can't be read or is not valid TOML text."""
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise failure((Fault(path, str(error), "a readable TOML file"),)) from error
