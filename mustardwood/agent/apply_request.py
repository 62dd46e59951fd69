"""An operator's apply and its outcomes."""

import msgspec

from mustardwood import configuration


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /v1/configuration``.

    Attributes:
        apply_id: Unique id; a repeat with the same id is the same apply.
        text: The document, as JSON with comments.
        author: Who applies it.
        expected_version: Version that the operator saw, 0 for none; None to
            apply whatever is in force.
    """

    apply_id: str
    text: str
    author: str = ""
    expected_version: int | None = None


class Applied(msgspec.Struct, frozen=True):
    """The document was accepted.

    Attributes:
        version: Its version.
    """

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """Another apply came first; nothing was written.

    Attributes:
        winner: What is in force instead; None when nothing is.
    """

    winner: configuration.VersionedDocument | None


class NotWritten(msgspec.Struct, frozen=True):
    """The platform could not be reached; nothing was written.

    Attributes:
        reason: Why.
    """

    reason: str


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """A write was sent and its outcome could not be read back.

    Attributes:
        reason: Why.
    """

    reason: str


ApplyResult = Applied | Conflict | NotWritten | OutcomeUnknown
