"""Signal handlers for a gateway's process until the gateway installs its own.

Layer: transport.  Import this module before everything else: the imports take a third of a second,
and a signal received during that time would end the process as if it had crashed.
"""

import os
import signal

__all__ = ["install_early_signal_handlers"]


def install_early_signal_handlers() -> None:
    """Install the handlers: SIGTERM exits at once with status 0, and SIGHUP is ignored.

    Nothing is served yet, so an immediate exit is a clean stop.  The settings are read later, so a
    change announced by SIGHUP now is not missed.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
