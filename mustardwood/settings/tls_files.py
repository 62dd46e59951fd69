"""Files of a TLS identity."""

import msgspec


class TlsFiles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of PEM files.

    Attributes:
        certificate: Certificate chain of this side.
        key: Private key of this side.
        authority: Certificates that the other side must be signed by; empty
            for none.
    """

    certificate: str
    key: str
    authority: str = ""
