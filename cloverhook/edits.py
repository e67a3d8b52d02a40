"""Edits a brand's document: adds and removes services and the places where they run.

Layer: state.  Each function returns a changed copy.  It raises `ConfigError` when the item to
change does not exist, or when the service to add exists already.
"""

import copy
from collections.abc import Mapping
from typing import Any

from cloverhook.errors import ConfigError, Fault

__all__ = ["add_place", "add_service", "remove_place", "remove_service"]

Document = dict[str, Any]


def add_service(document: Mapping[str, Any], service: str, hosts: list[str]) -> Document:
    """Add a service with its host names and without places."""
    edited = copy.deepcopy(dict(document))
    services = edited.setdefault("services", [])
    if any(item["name"] == service for item in services):
        raise ConfigError((Fault("services", repr(service), "a name that no service has"),))
    services.append({"name": service, "hosts": hosts})
    return edited


def remove_service(document: Mapping[str, Any], service: str) -> Document:
    """Remove a service."""
    edited = copy.deepcopy(dict(document))
    edited["services"].remove(_service(edited, service))
    return edited


def add_place(
    document: Mapping[str, Any],
    service: str,
    data_center: str,
    endpoints: list[str],
    limits: Mapping[str, int],
) -> Document:
    """Add a place to a service; `limits` may hold `slots` and `connections`."""
    edited = copy.deepcopy(dict(document))
    places = _service(edited, service).setdefault("places", [])
    places.append({"data_center": data_center, "endpoints": endpoints, **limits})
    return edited


def remove_place(document: Mapping[str, Any], service: str, data_center: str) -> Document:
    """Remove all places of a service in a data centre."""
    edited = copy.deepcopy(dict(document))
    found = _service(edited, service)
    kept = [item for item in found.get("places", ()) if item["data_center"] != data_center]
    if len(kept) == len(found.get("places", ())):
        allowed = "a data centre where the service has a place"
        raise ConfigError((Fault("data_center", repr(data_center), allowed),))
    found["places"] = kept
    return edited


def _service(document: Document, name: str) -> Document:
    for item in document.get("services", ()):
        if item["name"] == name:
            return item
    raise ConfigError((Fault("service", repr(name), "a service of the brand"),))
