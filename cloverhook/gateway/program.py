"""Runs a gateway as a process: its signals, its start and its exit code.

Layer: transport.
"""

import asyncio
import contextlib
import gc
import os
import signal
from collections.abc import Callable

from cloverhook.errors import SettingsError
from cloverhook.gateway.daemon import Gateway
from cloverhook.gateway.settings import GatewaySettings

__all__ = ["serve"]

EXIT_CANT_LISTEN = 3


async def serve(gateway: Gateway, read_settings: Callable[[], GatewaySettings]) -> int:
    """Run a gateway until it is told to stop, and return the process's exit code."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        os.set_blocking(1, False)

    def reload() -> None:
        try:
            gateway.reload(read_settings())
        except SettingsError as error:
            gateway.log_reload_failure(error)

    loop.add_signal_handler(signal.SIGTERM, gateway.begin_shutdown)
    loop.add_signal_handler(signal.SIGINT, gateway.begin_shutdown)
    loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        await gateway.start()
    except OSError as error:
        gateway.log_start_failure(error)
        return EXIT_CANT_LISTEN
    gc.collect()
    gc.freeze()
    await gateway.run_until_stopped()
    return 0
