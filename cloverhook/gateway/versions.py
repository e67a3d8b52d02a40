"""Versions of the store's data: the store's era and an offset, combined into one number.

Layer: state.  A store that is restored from an older copy assigns the same offsets again, under a
later era.  As the era is the upper part of the number, everything of a later era is newer, in
heartbeats, states and comparisons alike.

>>> version_of(0, 7), version_of(1, 7) < version_of(2, 0), era_of(version_of(2, 0))
(7, True, 2)
>>> era_of(version_of(3, -1)), version_of(0, -1)
(3, -1)
>>> [offset_of(version_of(era, 7)) for era in (0, 3)], offset_of(version_of(3, -1))
([7, 7], -1)
"""

__all__ = ["ERA_LIMIT", "era_of", "offset_of", "version_of"]

OFFSET_BITS = 36
ERA_LIMIT = 2**16
"""With more eras, versions would exceed the largest integer that messages may hold."""


def version_of(era: int, offset: int) -> int:
    """Return the version for an offset, which is -1 where there is no record yet."""
    if era == 0:
        return offset
    return (era << OFFSET_BITS) + offset + 1


def era_of(version: int) -> int:
    """Return the era that a version belongs to."""
    return max(version, 0) >> OFFSET_BITS


def offset_of(version: int) -> int:
    """Return the offset of a version within its era, or -1 where there is no record yet."""
    era = era_of(version)
    return version if era == 0 else version - (era << OFFSET_BITS) - 1
