"""Client accounts in a soak run: keys that come and go, pipelined requests and large answers.

A key is held from the moment at which the store has accepted a configuration with it.  Each
account keeps one key for the whole run; the others change.
"""

import asyncio
import contextlib
import random
import sys
import zlib
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import features
from cloverhook.clock import monotonic_ms
from features import gateway_fleet as fleet

sys.path.append(str(Path(features.__file__).resolve().parent.parent / "platform"))

from cloverhook_platform.names import HEADERS

__all__ = [
    "LARGE",
    "AccountChecks",
    "Accounts",
    "PipelineCaller",
    "key_lines",
    "leaked_keys",
    "make_body",
]

LARGE = "/large/"
LARGE_PREFIX, PIPELINED_PREFIX = "large-", "piped-"
KEY_MARK = "soak-key-"
MEAN_BYTES, MAX_BYTES = 90_000, 540_000
DEPTH_MAX = 6
LARGE_SHARE = 0.2
WINDOW_MS = 5_000.0
OVERSHOOT, SLACK = 1.1, 20
"""An account may exceed its rate and burst by a tenth and this many requests in a window."""
CALLERS_PER_ACCOUNT = {"mill": 6, "dock": 3, "farm": 3}
RATES = {"mill": (15.0, 5.0), "dock": (40.0, 20.0), "farm": (0.0, 0.0)}
"""Requests per second and burst, if the accounts of a run have rates; mill's callers exceed it."""
UNLIMITED = "farm"
REJECTED_STATUS, OVER_STATUS = 401, 429


@dataclass
class Account:
    """An account with the keys that the newest configuration holds; the first one stays."""

    name: str
    keys: list[str]
    rate_per_s: float = 0.0
    burst: float = 0.0

    def to_document(self):
        """Return the account as the store's configuration has it."""
        document = {"name": self.name, "apiKeys": list(self.keys)}
        if self.rate_per_s:
            document |= {"ratePerS": self.rate_per_s, "burst": self.burst}
        return document


class Accounts:
    """The accounts of a run with all their keys: held ones, revoked ones and others."""

    def __init__(self, with_rates):
        self._count = 0
        self.accounts = []
        for name, rate in RATES.items():
            account = Account(name, [self._new_key(name), self._new_key(name)])
            if with_rates:
                account.rate_per_s, account.burst = rate
            self.accounts.append(account)
        self.by_name = {item.name: item for item in self.accounts}
        self.lasting_keys = {item.keys[0]: item.name for item in self.accounts}
        self.held = {}
        self.revoked_ms = {}
        self._next_keys = {item.name: self._new_key(item.name) for item in self.accounts}

    def _new_key(self, name):
        self._count += 1
        return f"{KEY_MARK}{name}-{self._count}"

    @property
    def calm_key(self):
        """The lasting key of the account that never has a rate."""
        return self.by_name[UNLIMITED].keys[0]

    def document(self):
        """Return the accounts for the store's configuration; their keys count as held."""
        for account in self.accounts:
            self.held |= dict.fromkeys(account.keys, account.name)
        return [item.to_document() for item in self.accounts]

    def change_keys(self, source):
        """Revoke a key of an account and add another one; return the key that was revoked."""
        account = source.choice(self.accounts)
        revoked = account.keys.pop()
        account.keys.append(self._next_keys[account.name])
        self._next_keys[account.name] = self._new_key(account.name)
        return revoked

    def pick_key(self, source):
        """Return the key of a request, which may be revoked, unknown, not held yet or missing."""
        roll = source.random()
        if roll < 0.05:
            return ""
        if roll < 0.10:
            return f"{KEY_MARK}unknown-{source.randrange(9)}"
        names = list(CALLERS_PER_ACCOUNT)
        (name,) = source.choices(names, CALLERS_PER_ACCOUNT.values())
        if roll < 0.14:
            return self._next_keys[name]
        if roll < 0.22 and self.revoked_ms:
            return source.choice(list(self.revoked_ms))
        return source.choice(self.by_name[name].keys)


def key_lines(key):
    """Return the header lines by which a request sends its key."""
    return (f"Authorization: Token {key}",) if key else ()


def body_of(request_id):
    """Return the body that belongs to a pipelined or large request; its size is seeded by it."""
    source = random.Random(request_id)
    if not request_id.startswith(LARGE_PREFIX):
        return request_id.encode() + source.randbytes(64)
    size = min(MAX_BYTES, round(source.expovariate(1 / MEAN_BYTES)))
    return request_id.encode() + source.randbytes(size)


def make_body(backend, request_id):
    """Return the body of a backend server's answer."""
    name = request_id.decode()
    if name.startswith((LARGE_PREFIX, PIPELINED_PREFIX)):
        return body_of(name)
    return backend.incarnation.encode()


@dataclass
class AccountChecks:
    """What endpoints and callers have seen of the accounts, and what of that breaks a promise."""

    accounts: Accounts
    wrong: list[str] = field(default_factory=list)
    run_ms: dict[str, float] = field(default_factory=dict)
    pipelines: list[list] = field(default_factory=list)
    whole_bodies: Counter = field(default_factory=Counter)

    def record_arrival(self, call, headers, body):
        """Record a request that reaches an endpoint."""
        key, name = call.key, headers.get(HEADERS.account, b"").decode()
        if key not in self.accounts.held:
            self.wrong.append(f"{call.request_id} reached an endpoint with the key {key!r}")
        elif name != self.accounts.held[key]:
            self.wrong.append(f"{call.request_id} with {key} ran as {name!r}")
        mark = KEY_MARK.encode()
        leaks = HEADERS.authorization in headers or mark in b"\n".join((*headers.values(), body))
        if leaks:
            self.wrong.append(f"{call.request_id}: the endpoint got the key")

    def record_run(self, request_id):
        """Record when a request has first run."""
        self.run_ms.setdefault(request_id, monotonic_ms())

    def record_body(self, call):
        """Check the body of a pipelined or large request's answer."""
        answer = call.answer
        if answer.status != 200 or not answer.whole:
            return
        kind = call.request_id.partition("-")[0]
        self.whole_bodies[kind] += 1
        expected = body_of(call.request_id)
        if answer.body != expected:
            self.wrong.append(
                f"{call.request_id} got {len(answer.body)} bytes with checksum"
                f" {zlib.crc32(answer.body):08x} instead of its {len(expected)}"
            )

    def can_be_served(self, call):
        """Return whether a call should be served as soon as there is capacity for it."""
        over = call.answer is not None and call.answer.status == OVER_STATUS
        return call.key in self.accounts.lasting_keys and not over

    def summary(self, calls):
        """Return how much of what the checks look at has occurred."""
        statuses = Counter(call.answer.status for call in calls if call.answer is not None)
        revoked = sum(1 for call in calls if call.key in self.accounts.revoked_ms)
        return (
            f"{len(self.pipelines)} pipelines, whole answers {dict(self.whole_bodies)},"
            f" {statuses[REJECTED_STATUS]} answered 401, {statuses[OVER_STATUS]} answered 429,"
            f" {revoked} calls with revoked keys"
        )

    def violations(self, calls):
        """Yield a description of each broken promise."""
        yield from self.wrong
        for call in calls:
            yield from self._call_violations(call)
        for account in self.accounts.accounts:
            if account.rate_per_s:
                yield from self._rate_violations(account, calls)
        for pipeline in self.pipelines:
            yield from self._pipeline_violations(pipeline)
        for kind in (LARGE_PREFIX, PIPELINED_PREFIX):
            if not self.whole_bodies[kind.removesuffix("-")]:
                yield f"no request {kind}* got a whole answer, so nothing was checked"

    def _call_violations(self, call):
        if call.answer is None or not call.answer.status:
            return
        status = call.answer.status
        lasting = self.accounts.lasting_keys.get(call.key)
        if lasting and status == REJECTED_STATUS:
            yield f"{call.request_id} was answered 401 with {call.key}, which was always held"
        if status == 200 and call.key not in self.accounts.held:
            yield f"{call.request_id} was answered 200 with the key {call.key!r}"
        body = call.answer.body
        if status == OVER_STATUS and body == b"over-allotment":
            name = self.accounts.held.get(call.key)
            if name is None or not self.accounts.by_name[name].rate_per_s:
                yield f"{call.request_id} of {name}, which has no rate, was over its allotment"

    def _rate_violations(self, account, calls):
        """Yield the window in which the most requests above the account's allotment have run."""
        window_s = WINDOW_MS / 1_000
        limit = (account.rate_per_s * window_s + account.burst) * OVERSHOOT + SLACK
        times = sorted(
            self.run_ms[call.request_id]
            for call in calls
            if call.request_id in self.run_ms and self.accounts.held.get(call.key) == account.name
        )
        counts = [
            (bisect_right(times, at_ms + WINDOW_MS) - index, at_ms)
            for index, at_ms in enumerate(times)
        ]
        most, at_ms = max(counts, default=(0, 0.0))
        if most > limit:
            after_s = (at_ms - times[0]) / 1_000
            yield (
                f"{most} requests of {account.name} ran within {window_s:g} s, {limit:g} allowed;"
                f" {after_s:.1f} s after its first one"
            )

    def _pipeline_violations(self, pipeline):
        """Yield the requests that ran although an answer before them closed the connection."""
        closed = False
        for call in pipeline:
            if closed and call.request_id in self.run_ms:
                yield f"{call.request_id} ran behind an answer that closed the connection"
            answer = call.answer
            if answer is not None and answer.whole:
                closed = closed or answer.headers.get("connection") == "close"


class PipelineCaller:
    """Sends pipelined repeatable requests, some with large answers, until it is cancelled."""

    def __init__(self, soak, index):
        self._soak = soak
        self._index = index
        self._source = random.Random(f"{soak.seed}-pipelines-{index}")
        self._count = 0

    async def run(self):
        """Send one pipeline after the other, each on a connection to a random gateway."""
        while True:
            await asyncio.sleep(0.02)
            gateway = self._source.choice(self._soak.gateways)
            if gateway.alive and not gateway.stopping:
                await self._send(gateway)

    async def _send(self, gateway):
        calls = [self._new_call(gateway) for _ in range(self._source.randrange(1, DEPTH_MAX + 1))]
        self._soak.accounts.pipelines.append(calls)
        host, _, port = gateway.addresses["caller_address"].rpartition(":")
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(10):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(b"".join(map(_request, calls)))
                    for call in calls:
                        call.answer = await read_answer(reader)
                        self._soak.accounts.record_body(call)
                        if call.answer.headers.get("connection") == "close":
                            break
                finally:
                    writer.close()

    def _new_call(self, gateway):
        self._count += 1
        large = self._source.random() < LARGE_SHARE
        prefix = LARGE_PREFIX if large else PIPELINED_PREFIX
        key = self._soak.accounts.accounts.pick_key(self._source)
        return self._soak.new_call(gateway, f"{prefix}{self._index}-{self._count}", True, key)


def _request(call):
    path = LARGE if call.request_id.startswith(LARGE_PREFIX) else fleet.SAFE
    lines = (
        f"GET {path} HTTP/1.1",
        f"Host: {fleet.HOST}",
        f"{HEADERS.request_id.decode()}: {call.request_id}",
        f"{HEADERS.timeout_ms.decode()}: 1200",
        *key_lines(call.key),
    )
    return "\r\n".join((*lines, "", "")).encode()


async def read_answer(reader):
    """Read one answer from a connection.  Raises `IncompleteReadError` if it is cut off."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    pairs = (line.partition(b":") for line in lines[1:] if line)
    headers = {name.lower().decode(): value.strip().decode() for name, _, value in pairs}
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers["content-length"]))
    return fleet.Answer(int(lines[0].split()[1]), headers, body, True)


def leaked_keys(folder):
    """Yield the log files of gateways that hold a key."""
    for log in sorted(folder.glob("*.log")):
        if KEY_MARK in log.read_text(errors="replace"):
            yield f"{log.name} holds a key"
