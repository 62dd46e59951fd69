"""An accepted configuration document with its version."""

import msgspec


class VersionedDocument(msgspec.Struct, frozen=True):
    """A configuration as it is stored and passed between VMs.

    Attributes:
        version: Number of the configuration, from 1; grows with each apply.
        apply_id: Unique id of the apply that wrote it.
        text: The document as compact JSON.
        author: Who applied it.
        applied_at: Wall-clock time of the apply, ISO 8601 in UTC.
    """

    version: int
    apply_id: str
    text: str
    author: str = ""
    applied_at: str = ""
