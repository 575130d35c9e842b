"""Order of tables and configurations across restores of the store.

A store that is restored from an older copy raises its era and assigns offsets
anew, so neither offsets nor equal versions compare without their era.
"""

from typing import Final

import attrs


@attrs.frozen(order=True)
class Position:
    """Locate the next record to read of a topic.

    >>> Position(era=1, offset=80) < Position(era=2, offset=41)
    True
    """

    era: int
    offset: int


@attrs.frozen(order=True)
class Edition:
    """Identify a configuration by its version and the era it was read in.

    >>> max(Edition(version=7, era=1), Edition(version=5, era=2)).version
    7
    """

    version: int
    era: int


NO_POSITION: Final = Position(0, -1)
START: Final = Position(0, 0)
NO_EDITION: Final = Edition(0, 0)
