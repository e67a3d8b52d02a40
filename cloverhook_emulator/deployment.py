"""Starts an example deployment on loopback: backend servers, and the brand file to publish.

The file keeps its text, except that the addresses of its endpoints are replaced by the addresses of
the stand-ins.
"""

import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from cloverhook.fleet import Brand, Service
from cloverhook_emulator.fleet_runner import Fleet

__all__ = ["EXAMPLES", "Deployment"]

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
HOME_VMS = re.compile(r"^home_vms = \d+", re.MULTILINE)
ENDPOINTS = re.compile(r"^endpoints = \[[^\]]*\]", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The text of a brand file from `examples/`, and the brand that it describes."""

    text: str
    brand: Brand

    @classmethod
    def from_file(cls, path: Path) -> "Deployment":
        """Read a brand file.  Raises `ConfigError`, which lists every fault of the file."""
        text = path.read_text()
        return cls(text, Brand.from_document(tomllib.loads(text)))

    @property
    def data_centers(self) -> list[str]:
        """The data centres of the deployment, in the order of the file."""
        services = self.brand.services
        names = (endpoint.data_center for item in services for endpoint in item.endpoints)
        return list(dict.fromkeys(names))

    def service(self, name: str) -> Service:
        """Return a service by its name."""
        return next(service for service in self.brand.services if service.name == name)

    def with_only_service(self, name: str) -> "Deployment":
        """Return the deployment reduced to one service."""
        head, *parts = re.split(r"(?m)^(?=\[\[services\]\]$)", self.text)
        text = head + next(part for part in parts if f'name = "{name}"' in part)
        return Deployment(text, Brand.from_document(tomllib.loads(text)))

    def with_home_vms(self, count: int) -> "Deployment":
        """Return the deployment with `count` home VMs for every service that sets them."""
        text = HOME_VMS.sub(f"home_vms = {count}", self.text)
        return Deployment(text, Brand.from_document(tomllib.loads(text)))

    async def start(
        self, fleet: Fleet, *arguments: str, endpoints_per_data_center: int | None = None
    ) -> Path:
        """Start the backend servers, one process per service, and return the file to publish.

        `arguments` are passed to the processes.  With `endpoints_per_data_center`, each service has
        at most that many endpoints in a data centre.
        """
        addresses: list[list[str]] = []
        for service in self.brand.services:
            counts = [
                min(count, endpoints_per_data_center or count)
                for count in _endpoint_counts(service)
            ]
            first = service.endpoints[0]
            started = iter(
                await fleet.start_backend(
                    f"--brand={self.brand.name}",
                    f"--slots={first.slots}",
                    f"--connections={first.connections}",
                    *arguments,
                    count=sum(counts),
                )
            )
            addresses += [[next(started) for _ in range(count)] for count in counts]
        path = fleet.folder / f"{self.brand.name}.toml"
        path.write_text(self._with_addresses(iter(addresses)))
        return path

    def _with_addresses(self, addresses: Iterator[list[str]]) -> str:
        def endpoints(_: re.Match[str]) -> str:
            return "endpoints = [{}]".format(", ".join(f'"{item}"' for item in next(addresses)))

        return ENDPOINTS.sub(endpoints, self.text)


def _endpoint_counts(service: Service) -> list[int]:
    counts: dict[str, int] = {}
    for endpoint in service.endpoints:
        counts[endpoint.data_center] = counts.get(endpoint.data_center, 0) + 1
    return list(counts.values())
