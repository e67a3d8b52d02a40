"""Daemons of cloverhookd in the test's process, with an in-memory platform and cuts of links."""

import asyncio
import os
import random
from dataclasses import dataclass

from cloverhook import porcelain
from cloverhook.clock import monotonic_ms
from cloverhook.daemon import Daemon
from cloverhook.errors import ConnectError
from cloverhook.platform_api import MemoryPlatform
from cloverhook.settings import DaemonSettings
from cloverhook.upstream import CONNECT_TIMEOUT_MS
from cloverhook_emulator.fleet_runner import OPERATOR_TOKEN, PEER_KEY
from features.http_peers import HOST, ScriptedBackend, call, request
from features.shared import eventually

__all__ = ["DaemonFleet"]

ANY_PORT = "127.0.0.1:0"
SERVICE = "booking"


@dataclass(frozen=True, slots=True)
class DaemonCall:
    """A request of a caller, the daemon it was sent to, and the reply."""

    vm: str
    sent_ms: float
    reply: object


class DaemonFleet:
    """Daemons and backend servers; `cut` maps the daemons without links to how they lost them."""

    def __init__(self):
        self.daemons = {}
        self.backends = []
        self.calls = []
        self.cut = {}
        self._random = random.Random(1)

    @classmethod
    async def start(cls, stack, daemons, endpoints):
        """Start a fleet that ends with the stack."""
        os.environ.setdefault("CLOVERHOOK_PEER_KEY", PEER_KEY)
        os.environ.setdefault("CLOVERHOOK_OPERATOR_TOKEN", OPERATOR_TOKEN)
        self, platform, peers = cls(), MemoryPlatform(), []
        self.backends = [
            await stack.enter_async_context(ScriptedBackend()) for _ in range(endpoints)
        ]
        for index in range(daemons):
            settings = DaemonSettings(
                f"vm-{index}",
                "papine",
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                "http://127.0.0.1:1",
                drain_ms=0,
                peer_addresses=",".join(peers),
            )
            daemon = Daemon(settings, platform)
            await daemon.start()
            stack.push_async_callback(_stop, daemon)
            peers.append(daemon._cluster.links.address)
            self.daemons[settings.vm] = daemon
            self._install(settings.vm, daemon._pool)
        addresses = [backend.address for backend in self.backends]
        document = {
            "brand": "brathwaite",
            "services": [
                {
                    "name": SERVICE,
                    "hosts": [HOST],
                    "places": [{"data_center": "papine", "endpoints": addresses}],
                }
            ],
        }
        await porcelain.publish(platform, document, porcelain.Operator("test", {}))

        async def serves():
            members = [len(item._cluster.membership.serving()) for item in self.daemons.values()]
            ready = all(item.ready() for item in self.daemons.values())
            return ready and members == [daemons] * daemons

        await eventually(serves)
        return self

    def _install(self, vm, pool):
        connect = pool._connect

        async def connect_if_linked(address, address_pool):
            how = self.cut.get(vm)
            if how == "hang":
                await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000)
            if how is not None:
                raise ConnectError(f"no way to {address}", refused=how == "reset")
            return await connect(address, address_pool)

        pool._connect = connect_if_linked

    def lose(self, vms, how):
        """Cut daemons from all backend servers; open connections are closed."""
        for vm in vms:
            self.cut[vm] = how
            for address_pool in self.daemons[vm]._pool._address_pools.values():
                address_pool.close_idle_before(float("inf"))

    async def send(self, vm, data):
        """Send a request to a daemon and record the reply."""
        sent_ms = monotonic_ms()
        reply = await call(self.daemons[vm]._caller_listener.address, data)
        self.calls.append(DaemonCall(vm, sent_ms, reply))
        return reply

    async def load(self, requests_per_s, time_s):
        """Send requests evenly, each to a random daemon, and wait for the answers."""
        tasks = []
        end_ms = monotonic_ms() + 1_000 * time_s
        while monotonic_ms() < end_ms:
            vm = self._random.choice(list(self.daemons))
            method = self._random.choice(("GET", "GET", "POST"))
            headers = (b"Content-Length: 1",) if method == "POST" else ()
            body = b"x" if method == "POST" else b""
            data = request(method, f"/echo/{len(tasks)}", *headers, body=body)
            tasks.append(asyncio.create_task(self.send(vm, data)))
            await asyncio.sleep(1 / requests_per_s)
        await asyncio.gather(*tasks)

    def served(self, vms, from_ms, to_ms):
        """Return how many requests at some daemons were answered 200, and how many were sent."""
        calls = [item for item in self.calls if item.vm in vms and from_ms <= item.sent_ms < to_ms]
        return sum(item.reply.status == 200 for item in calls), len(calls)


async def _stop(daemon):
    daemon.drain()
    await daemon.run_until_stopped()
