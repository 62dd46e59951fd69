"""A configuration document with its version."""

import msgspec


class VersionedDocument(msgspec.Struct, frozen=True):
    """A configuration in the form that is stored and sent between VMs.

    Attributes:
        version: Version number, from 1, which grows with each apply.
        apply_id: Unique id of the apply that wrote the configuration.
        text: The document as compact JSON.
        author: Operator who applied the configuration.
        applied_at: Wall-clock time of the apply in UTC, in ISO 8601 format.
    """

    version: int
    apply_id: str
    text: str
    author: str = ""
    applied_at: str = ""
