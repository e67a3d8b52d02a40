"""Gateways, backend servers and callers, with cuts between single gateways and backend servers."""

import asyncio
from dataclasses import dataclass, replace

from cloverhook.gateway.routes import GatewayConfig
from features import gateway_fleet as fleet
from features.link_cuts import LinkCuts
from features.notice_fleet import NoticeFleet

__all__ = ["REGIONS", "LinkFleet", "Served"]

REQUESTS_PER_S = 67
STALL_MS = 100.0
"""Requests during a longer stall of the test's process, with all gateways in it, don't count."""
WORK_MS = 40.0
REGIONS = {fleet.DATA_CENTER: "east", fleet.REMOTE_DATA_CENTER: "west"}


@dataclass(frozen=True, slots=True)
class Served:
    """How many of the first tries at some gateways were answered by a backend server."""

    answered: int
    sent: int

    @property
    def share(self):
        """The share that was answered; 1 if none was sent."""
        return self.answered / self.sent if self.sent else 1.0


class LinkFleet(NoticeFleet):
    """A fleet whose links can be cut; `cuts` holds the `LinkCuts` of each gateway by its name."""

    @classmethod
    async def start(cls, gateways, backends, seed=1, work_ms=WORK_MS, remote_vms=(), **fields):
        """Start gateways that know each other and all backend servers.

        The gateways named by `remote_vms` are in another data centre than the rest.
        """
        self = await super().start(gateways, backends, seed, work_ms, remote_vms, **fields)
        self.cuts = {settings.vm: LinkCuts(item) for item, settings in self.gateways}
        for gateway, _ in self.gateways:
            gateway._pool.close()
            gateway._prober._pool.close()
        return self

    async def drain(self, backends):
        """Let backend servers drain, and wait until all gateways know it."""
        for backend in backends:
            self.store.put_server(backend.entry(draining=True))
        await self._until_known(backends, lambda server: server.draining)

    async def restrict_routes(self, backends):
        """Move backend servers to the other data centre, and let no route be served there."""
        for backend in backends:
            self.store.put_server(backend.entry(data_center=fleet.REMOTE_DATA_CENTER))
        usual = fleet.config()
        regions = (REGIONS[fleet.DATA_CENTER],)
        routes = tuple(replace(item, regions=regions) for item in usual.routes)
        services = tuple(usual.services.values())
        self.store.put_config(GatewayConfig.of(2, routes, services, usual.limits))
        await fleet.until(
            lambda: all(item._gateway_state.config_version == 2 for item, _ in self.gateways)
        )
        await self._until_known(
            backends, lambda server: server.data_center == fleet.REMOTE_DATA_CENTER
        )

    async def _until_known(self, backends, accepts):
        """Wait until all gateways hold entries of backend servers that are accepted."""

        def known():
            return all(
                accepts(gateway._gateway_state.registry.get(backend.incarnation))
                for gateway, _ in self.gateways
                for backend in backends
            )

        await fleet.until(known)

    def probing(self):
        """Return how many probes each gateway has sent, by its name."""
        return {settings.vm: item._prober.probe_count for item, settings in self.gateways}

    def named(self, vms):
        """Return the gateways with these names."""
        return [item for item in self.gateways if item[1].vm in vms]

    async def metric(self, vm, name):
        """Return the value of a metric of a gateway."""
        answer = await self.named([vm])[0][0]._serve_metrics(None)
        for line in answer.body.decode().splitlines():
            if line.startswith(f"cloverhook_gateway_{name} "):
                return float(line.rpartition(" ")[2])
        return 0.0

    def served(self, vms, from_ms, to_ms=float("inf")):
        """Return how the requests were served that were sent to some gateways in a time."""
        calls = [
            item
            for item in self.calls
            if item.vm in vms
            and from_ms <= item.sent_ms < to_ms
            and self.stalls.lost_ms(item.sent_ms - STALL_MS, item.ended_ms) < STALL_MS
        ]
        answered = sum(1 for item in calls if item.answer.status == 200)
        return Served(answered, len(calls))

    async def load_for(self, time_s):
        """Send requests for some time, and wait for the answers."""
        await self.load(REQUESTS_PER_S, time_s)

    def begin_load(self):
        """Send requests until `end_load` is called."""
        self._stop = asyncio.Event()
        self._loading = asyncio.create_task(self._load_until_stopped())

    async def end_load(self):
        """Send no more requests, and wait for the answers."""
        self._stop.set()
        await self._loading

    async def _load_until_stopped(self):
        tasks = []
        while not self._stop.is_set():
            tasks.append(asyncio.create_task(self.send()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def wait_for_log(self, kind, count, **fields):
        """Wait until there are so many log lines of a kind with these fields; return them."""

        def found():
            return [
                line
                for line in self.log_lines(kind)
                if all(line.get(name) == value for name, value in fields.items())
            ]

        async with asyncio.timeout(fleet.WAIT_S):
            while len(found()) < count:
                await asyncio.sleep(0.02)
        return found()
