"""TLS contexts of servers."""

import pathlib
import typing

from OpenSSL import crypto
from twisted.internet import ssl

from mustardwood import settings as settings_module


def make_tls_context(tls: settings_module.TlsFiles) -> ssl.CertificateOptions:
    """Creates the TLS context of a server.

    Args:
        tls: Certificate chain and private key. If it names an authority,
            clients must present a certificate signed by that authority.
    """
    options = ssl.CertificateOptions(
        privateKey=crypto.load_privatekey(crypto.FILETYPE_PEM,
                                          _read_bytes(tls.key)),
        certificate=_read_certificates(tls.certificate)[0],
        extraCertChain=_read_certificates(tls.certificate)[1:],
        trustRoot=_make_trust_root(tls.authority),
        raiseMinimumTo=ssl.TLSVersion.TLSv1_2)
    return options


def _make_trust_root(path: str) -> typing.Any:
    if not path:
        return None
    return ssl.trustRootFromCertificates(
        [ssl.Certificate(each) for each in _read_certificates(path)])


def _read_certificates(path: str) -> list[crypto.X509]:
    end_marker = b"-----END CERTIFICATE-----"
    parts = _read_bytes(path).split(end_marker)[:-1]
    return [
        crypto.load_certificate(crypto.FILETYPE_PEM, part + end_marker)
        for part in parts
    ]


def _read_bytes(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
