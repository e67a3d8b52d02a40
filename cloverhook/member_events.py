"""What `Membership` is told and what it asks for.

Layer: coordination.
"""

from dataclasses import dataclass

from cloverhook.messages import Hello, Message
from cloverhook.platform_api import ListedVm

__all__ = [
    "CallerConnectFailed",
    "ConfigFolded",
    "Dial",
    "LinkLost",
    "LinkOpened",
    "LoadChanged",
    "MemberAction",
    "MemberEvent",
    "MessageReceived",
    "ProcessResumed",
    "Replaced",
    "SendMessage",
    "ShutdownStarted",
    "Stopped",
    "Tick",
    "VmListRead",
]


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list has been read."""

    vms: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """A link to a peer that has proved itself is open."""

    hello: Hello


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to a peer has closed or has gone silent."""

    vm: str


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A peer has sent a message."""

    vm: str
    message: Message


@dataclass(frozen=True, slots=True)
class CallerConnectFailed:
    """A caller could not connect to an address that it had been given."""

    caller_address: str


@dataclass(frozen=True, slots=True)
class ConfigFolded:
    """The configuration has been folded up to an offset."""

    next_offset: int


@dataclass(frozen=True, slots=True)
class ProcessResumed:
    """This process was paused for longer than its peers wait."""


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This daemon begins a planned stop."""


@dataclass(frozen=True, slots=True)
class LoadChanged:
    """This daemon's process uses another share of a core, in tenths."""

    load_tenths: int


@dataclass(frozen=True, slots=True)
class Stopped:
    """This daemon has ended its planned stop and is about to exit."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


MemberEvent = (
    CallerConnectFailed
    | ConfigFolded
    | ShutdownStarted
    | LinkLost
    | LinkOpened
    | LoadChanged
    | VmListRead
    | MessageReceived
    | Stopped
    | Tick
    | ProcessResumed
)


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer, over a new link if there is none."""

    vm: str
    message: Message


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a link to a peer unless there is one."""

    vm: str


@dataclass(frozen=True, slots=True)
class Replaced:
    """Another process has taken this VM's name: this one has to leave."""


MemberAction = SendMessage | Dial | Replaced
