"""Detects which daemons have joined, left or become silent, for the time line.

Layer: coordination, free of input and output.  `MemberWatch.update` compares the current members
with those of the previous update, so membership itself doesn't have to report its changes.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from cloverhook.members import Member, Status
from cloverhook.timeline import EventName

__all__ = ["MemberChange", "MemberWatch"]


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A daemon that has joined, left, become suspect or been lost."""

    name: EventName
    vm: str


class MemberWatch:
    """The members as of the last update."""

    def __init__(self) -> None:
        self._last_events: dict[str, EventName] = {}

    def update(self, members: Iterable[Member]) -> tuple[MemberChange, ...]:
        """Return what has changed since the last update."""
        changes: list[MemberChange] = []
        for member in members:
            name = _event_of(member)
            if name is not None and self._last_events.get(member.vm) is not name:
                self._last_events[member.vm] = name
                changes.append(MemberChange(name, member.vm))
        return tuple(changes)


def _event_of(member: Member) -> EventName | None:
    if member.status is Status.LISTED:
        return None
    if member.status is Status.LOST:
        return EventName.MEMBER_LEFT if member.leaving else EventName.MEMBER_LOST
    if member.leaving:
        return EventName.MEMBER_LEFT
    if member.status is Status.SUSPECT:
        return EventName.MEMBER_SUSPECTED
    return EventName.MEMBER_JOINED
