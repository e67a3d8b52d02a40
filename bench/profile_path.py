"""Profiles the request path of a daemon and prints the functions that cost most per call.

Run it with `python -m bench.profile_path`.  The profiler slows the daemon down, so only relative
times are meaningful, not absolute ones.
"""

import asyncio
import pstats
import signal
import sys
from collections import Counter

from bench.added import run_closed_loop, start_daemon
from cloverhook_emulator.fleet_runner import Fleet

__all__ = ["profile_path"]

CONNECTIONS = 1
SECONDS = 6.0
LINES = 45


async def profile_path() -> None:
    """Run a load on a profiled daemon; print the time per call spent in each function itself."""
    async with Fleet() as fleet:
        path = fleet.folder / "profile.out"
        _, address = await start_daemon(fleet, ("--run_with_profiling", f"--profile_file={path}"))
        calls = len(await run_closed_loop(address, CONNECTIONS, SECONDS, Counter()))
        daemon = fleet.daemons["vm-0"].process
        await daemon.stop(signal.SIGTERM)
        stats = pstats.Stats(str(path)).stats
    rows = sorted(((item[2], key, item) for key, item in stats.items()), reverse=True)
    print(f"{calls} calls; microseconds per call under the profiler")
    print("  own us  with callees  times/call  function")
    for own_s, (file, line, name), (_, count, _, total_s, _) in rows[:LINES]:
        where = f"{'/'.join(file.split('/')[-2:])}:{line} {name}"
        scale = 1_000_000 / calls
        print(f"{own_s * scale:8.1f}  {total_s * scale:12.1f}  {count / calls:10.2f}  {where}")


if __name__ == "__main__":
    sys.exit(asyncio.run(profile_path()))
