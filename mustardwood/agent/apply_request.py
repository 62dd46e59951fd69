"""An operator's request to apply a document, and its results."""

import msgspec

from mustardwood import configuration


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /v1/configuration``.

    Attributes:
        apply_id: Unique id; a request repeated with the same id is applied
            only once.
        text: The document as JSON, which may hold comments.
        author: Name of the operator.
        expected_version: Version that the operator read before the change, 0
            if there was none. The document is applied only if this version is
            still in force. None skips this check.
    """

    apply_id: str
    text: str
    author: str = ""
    expected_version: int | None = None


class Applied(msgspec.Struct, frozen=True):
    """The document was accepted.

    Attributes:
        version: The version that the document received.
    """

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """Another document was applied first; nothing was written.

    Attributes:
        winner: The document that was found instead; None when there is none.
    """

    winner: configuration.VersionedDocument | None


class NotWritten(msgspec.Struct, frozen=True):
    """The platform could not be reached; nothing was written.

    Attributes:
        reason: Message of the last error.
    """

    reason: str


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """A write was sent, but whether it took effect could not be read back.

    Attributes:
        reason: Message of the last error.
    """

    reason: str


ApplyResult = Applied | Conflict | NotWritten | OutcomeUnknown
