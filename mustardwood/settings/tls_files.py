"""The files for TLS of one VM."""

import msgspec


class TlsFiles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of the PEM files with a certificate and its private key.

    Attributes:
        certificate: Path of this side's certificate chain.
        key: Path of this side's private key.
        authority: Path of the certificates of the authorities, one of which
            must have signed the certificate of the other side. If empty, the
            certificate of the other side is not verified.
    """

    certificate: str
    key: str
    authority: str = ""
