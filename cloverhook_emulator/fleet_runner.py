"""Starts a small fleet on loopback: a platform, backend servers and daemons as processes.

The benches, the demo and the features share it.  Ports are ephemeral: a process binds any free port
and prints its address on standard output.  Only processes that were started here are ended, by
their pid.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from cloverhook_emulator.run_record import RunJournal, RunRecord

__all__ = ["DaemonProcess", "Fleet", "Process"]

PEER_KEY = "peer-key-for-loopback"
OPERATOR_TOKEN = "operator-token-for-loopback"
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30
LISTENING = re.compile(r"^[a-z ]+: listening on (\S+)$", re.MULTILINE)


@dataclass(slots=True)
class Process:
    """A process started by this module, with its log file and the addresses it printed."""

    name: str
    process: asyncio.subprocess.Process
    log: Path
    addresses: list[str] = field(default_factory=list)

    @classmethod
    async def start(cls, name: str, folder: Path, module: str, *arguments: str) -> "Process":
        """Start a Python module as a separate process, with its output in a log file."""
        log = folder / f"{name}.log"
        environment = os.environ | {
            "CLOVERHOOK_PEER_KEY": PEER_KEY,
            "CLOVERHOOK_OPERATOR_TOKEN": OPERATOR_TOKEN,
        }
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )
        return cls(name, process, log)

    async def wait_until_listening(self, count: int = 1) -> list[str]:
        """Wait until the process has printed at least `count` addresses, and return them all.

        Raises `TimeoutError`, or `RuntimeError` when the process ends first.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                self.addresses = LISTENING.findall(self.log.read_text())
                if len(self.addresses) >= count:
                    return self.addresses
                if self.process.returncode is not None:
                    raise RuntimeError(
                        f"{self.name} ended before it listened:\n{self.log.read_text()}"
                    )
                await asyncio.sleep(0.02)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended.

        It uses `os.kill`, because `subprocess` would first poll the process for its end and take
        its exit code away from the event loop.
        """
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal, wait for the process to end and return its exit code.

        A process that has not ended within `STOP_TIMEOUT_S` is killed.
        """
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


@dataclass(slots=True)
class DaemonProcess:
    """The process of a daemon and the addresses it listens on."""

    vm: str
    data_center: str
    process: Process
    caller_address: str
    operator_address: str
    peer_address: str


class Fleet:
    """The processes of one run, to be used as an asynchronous context manager."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="cloverhook-")
        self.folder = Path(self._folder.name)
        self.platform: Process | None = None
        self.platform_url = ""
        self.backends: list[Process] = []
        self.daemons: dict[str, DaemonProcess] = {}
        self._processes: list[Process] = []

    async def __aenter__(self) -> "Fleet":
        try:
            self.platform = await self.start_process(
                "platform", "cloverhook_emulator.platform_server", "--address=127.0.0.1:0"
            )
            self.platform_url = f"http://{(await self.platform.wait_until_listening())[0]}"
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        for process in self._processes:
            process.send_signal(signal.SIGKILL)
        await asyncio.gather(*(process.stop(signal.SIGKILL) for process in self._processes))
        self._folder.cleanup()

    async def start_process(self, name: str, module: str, *arguments: str) -> Process:
        """Start a Python module as a process that is killed when the fleet ends."""
        process = await Process.start(name, self.folder, module, *arguments)
        self._processes.append(process)
        return process

    async def start_backend(
        self, *arguments: str, count: int = 1, journal: bool = False
    ) -> list[str]:
        """Start a process with `count` backend servers and return their addresses.

        With `journal`, the run records can still be read after the process has been killed.
        """
        addresses = ",".join(["127.0.0.1:0"] * count)
        name = f"backend-{len(self.backends)}"
        if journal:
            arguments = (*arguments, f"--journal={self._journal_path(name)}")
        process = await self.start_process(
            name,
            "cloverhook_emulator.backend_server",
            f"--addresses={addresses}",
            *arguments,
        )
        self.backends.append(process)
        return (await process.wait_until_listening(count + 1))[:count]

    async def set_faults(self, faults: dict[str, object], servers: Sequence[str] = ()) -> None:
        """Set faults on the backend servers with the given addresses, or on all by default."""
        async with aiohttp.ClientSession() as session:
            for process in self.backends:
                named = [address for address in process.addresses[:-1] if address in servers]
                if servers and not named:
                    continue
                query = f"?server={','.join(named)}" if named else ""
                url = f"http://{process.addresses[-1]}/control{query}"
                async with session.put(url, json=faults) as answer:
                    answer.raise_for_status()

    async def counts(self) -> dict[str, dict[str, int]]:
        """Return the counters of handled and rejected work of each backend server, by address."""
        counts: dict[str, dict[str, int]] = {}
        async with aiohttp.ClientSession() as session:
            for process in self.backends:
                url = f"http://{process.addresses[-1]}/control"
                async with session.get(url) as answer:
                    found = await answer.json()
                counts |= {address: item["counts"] for address, item in found.items()}
        return counts

    async def run_records(self) -> list[RunRecord]:
        """Return the run records of the backend servers.

        Those of a process that has ended are read from its journal.
        """
        records: list[RunRecord] = []
        async with aiohttp.ClientSession() as session:
            for process in self.backends:
                if process.process.returncode is not None:
                    records += RunJournal.read(self._journal_path(process.name))
                    continue
                url = f"http://{process.addresses[-1]}/control/ran"
                async with session.get(url) as answer:
                    found = (await answer.json())["ran"]
                records += [RunRecord.from_document(document) for document in found]
        return records

    def _journal_path(self, name: str) -> Path:
        return self.folder / f"{name}.runs"

    async def start_daemon(
        self,
        vm: str,
        data_center: str,
        module: str = "cloverhook.daemon",
        arguments: Sequence[str] = (),
        **settings: object,
    ) -> DaemonProcess:
        """Start a daemon, or a module that replaces it, and wait until it listens."""
        values = {
            "vm": vm,
            "data_center": data_center,
            "caller_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform_url": self.platform_url,
            **settings,
        }
        path = self.folder / f"{vm}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items()))
        process = await self.start_process(
            vm, module, f"--settings={path}", "--stderrthreshold=info", *arguments
        )
        callers, operators, peers = (await process.wait_until_listening(3))[:3]
        daemon = DaemonProcess(vm, data_center, process, callers, operators, peers)
        self.daemons[vm] = daemon
        return daemon

    async def publish_vm_list(self, leaving_vms: frozenset[str] = frozenset()) -> None:
        """Set the platform's list of VMs to the started daemons.

        Those in `leaving_vms` are listed in the phase `leaving`, all others as `live`.
        """
        vms = [
            {
                "vm": daemon.vm,
                "phase": "leaving" if daemon.vm in leaving_vms else "live",
                "data_center": daemon.data_center,
                "caller_address": daemon.caller_address,
                "peer_address": daemon.peer_address,
            }
            for daemon in self.daemons.values()
        ]
        async with (
            aiohttp.ClientSession() as session,
            session.put(f"{self.platform_url}/v1/vms", json={"vms": vms}) as answer,
        ):
            answer.raise_for_status()

    async def run_tool(self, *arguments: str) -> tuple[int, str, str]:
        """Run the command-line tool; return its exit code, standard output and standard error."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cloverhook.cli",
            *arguments,
            f"--platform={self.platform_url}",
            f"--daemons={','.join(d.operator_address for d in self.daemons.values())}",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"CLOVERHOOK_OPERATOR_TOKEN": OPERATOR_TOKEN},
        )
        try:
            output, errors = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        return process.returncode, output.decode(), errors.decode()

    async def status(self, vm: str) -> dict:
        """Return the status document of the daemon on a VM."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        address = self.daemons[vm].operator_address
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.get(f"http://{address}/v1/status") as answer,
        ):
            return await answer.json()
