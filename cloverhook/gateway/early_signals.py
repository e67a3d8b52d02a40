"""What a gateway's process does with signals until the gateway takes them over.

Layer: transport.  To be imported before everything else: the imports take a third of a second, and
a signal that comes meanwhile would end the process as if it had crashed.
"""

import os
import signal

__all__ = ["install_early_signal_handlers"]


def install_early_signal_handlers() -> None:
    """Make a stop clean at once, as nothing is served yet, and ignore that settings have changed.

    They are read later, so a change that is announced now is not missed.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
