"""Generates configurations of many services, for measurements at planned sizes."""

import uuid
from collections.abc import Iterator, Sequence
from typing import Any

from cloverhook.records import Change, Publish

__all__ = ["ENDPOINTS_PER_SERVICE", "SERVICES_PER_BRAND", "brand_document", "publish_changes"]

SERVICES_PER_BRAND = 10
ENDPOINTS_PER_SERVICE = 8


def brand_document(
    name: str, services: int, addresses: Sequence[str], data_centers: Sequence[str]
) -> dict[str, Any]:
    """Return a brand's document; every service has these addresses, divided among its places."""
    places = len(data_centers)
    return {
        "brand": name,
        "services": [
            {
                "name": f"service-{index}",
                "hosts": [f"service-{index}.{name}.example"],
                "places": [
                    {"data_center": center, "slots": 4, "endpoints": list(addresses[place::places])}
                    for place, center in enumerate(data_centers)
                ],
            }
            for index in range(services)
        ],
    }


def publish_changes(
    services: int, addresses: Sequence[str], data_centers: Sequence[str]
) -> Iterator[Change]:
    """Return changes that publish this many services, one change for each brand."""
    for first in range(0, services, SERVICES_PER_BRAND):
        name = f"brand-{first // SERVICES_PER_BRAND}"
        count = min(SERVICES_PER_BRAND, services - first)
        document = brand_document(name, count, addresses, data_centers)
        yield Change(uuid.uuid4().hex, name, 0, "bench", Publish(document))
