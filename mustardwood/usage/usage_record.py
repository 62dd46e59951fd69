"""The windows that have been finalized, as the store holds them."""

import collections.abc

import msgspec

from mustardwood import decoding

_KEPT_WINDOWS = 4
"""Number of windows that are kept although they were accepted.

They tell successors and operators what was reported last.
"""
_MAX_WINDOWS = 60
"""Maximum number of windows; older ones are dropped although nobody accepted
them. With windows of 5 s, it covers an outage of the API of five minutes."""


class UsageRecord(msgspec.Struct, frozen=True):
    """The windows that have been finalized, and which of them were accepted.

    The counts of a finalized window never change.

    Attributes:
        era: The store's era for which the record is complete: all that was
            finalized before this era began is in it, or is left out for good.
        token: Token of the term in which it was written.
        through: Last window that was finalized or left out.
        accepted: Last window up to which all finalized ones were accepted by
            the platform; further ones may have been.
        windows: Counts by window and organisation of the last finalized
            windows. Windows up to `through` that are missing are left out, or
            were accepted long before.
    """

    era: int = 0
    token: int = 0
    through: int = -1
    accepted: int = -1
    windows: dict[int, dict[str, int]] = {}

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of records; the higher one is the later."""
        return self.era, self.token, self.through

    def encode(self) -> bytes:
        """Returns the value to be stored."""
        return msgspec.json.encode(self)

    def merge(self, found: "UsageRecord") -> "UsageRecord":
        """Returns what this record and one that the store shows say together.

        Failure: a restored store shows an older record, or a write of an
        earlier era takes effect late. What has been finalized remains so. If
        both hold a window, this record decides, since it was shown before.
        Accepted windows are dropped as in `add_windows`, since every VM merges
        each change that the watch shows.

        Args:
            found: The record that the store shows.
        """
        newer, older = ((self, found) if self.rank >= found.rank else
                        (found, self))
        windows = {
            window: counts
            for window, counts in older.windows.items()
            if window > newer.through
        }
        windows.update(newer.windows)
        windows.update(self.windows)
        accepted = max(newer.accepted, older.accepted)
        return UsageRecord(newer.era, newer.token,
                           max(newer.through, older.through), accepted,
                           _drop_windows(windows, accepted))

    def add_windows(self, era: int, token: int, through: int,
                    windows: collections.abc.Mapping[int, dict[str, int]],
                    accepted: int) -> "UsageRecord":
        """Returns the record after further windows were finalized.

        Args:
            era: The store's present era.
            token: Token of the present term.
            through: Last window that is finalized or left out.
            windows: The windows that are finalized.
            accepted: Last window up to which all were accepted.
        """
        return UsageRecord(era, token, through, accepted,
                           _drop_windows({
                               **self.windows,
                               **windows
                           }, accepted))


def decode_record(value: bytes) -> UsageRecord | None:
    """Returns the record in a stored value; None if it is malformed."""
    try:
        return decoding.decode_json(value, UsageRecord)
    except decoding.DecodingError:
        return None


def _drop_windows(windows: collections.abc.Mapping[int, dict[str, int]],
                  accepted: int) -> dict[int, dict[str, int]]:
    """Returns the windows that need to be kept.

    Args:
        windows: Counts by window.
        accepted: Last window up to which all were accepted.
    """
    numbers = sorted(windows)[-_MAX_WINDOWS:]
    kept = numbers[-_KEPT_WINDOWS:]
    return {
        window: windows[window]
        for window in numbers
        if window > accepted or window in kept
    }
