"""TLS of servers."""

import pathlib
import typing

from OpenSSL import crypto
from twisted.internet import ssl

from mustardwood import settings as settings_module


def make_tls_context(tls: settings_module.TlsFiles) -> ssl.CertificateOptions:
    """Makes the TLS of a server.

    Args:
        tls: Certificate chain and key; with an authority, clients must show a
            certificate of it.
    """
    chain = ssl.CertificateOptions(
        privateKey=crypto.load_privatekey(crypto.FILETYPE_PEM,
                                          _read_bytes(tls.key)),
        certificate=_read_certificates(tls.certificate)[0],
        extraCertChain=_read_certificates(tls.certificate)[1:],
        trustRoot=_read_authority(tls.authority),
        raiseMinimumTo=ssl.TLSVersion.TLSv1_2)
    return chain


def _read_authority(path: str) -> typing.Any:
    if not path:
        return None
    return ssl.trustRootFromCertificates(
        [ssl.Certificate(each) for each in _read_certificates(path)])


def _read_certificates(path: str) -> list[crypto.X509]:
    end = b"-----END CERTIFICATE-----"
    parts = _read_bytes(path).split(end)[:-1]
    return [
        crypto.load_certificate(crypto.FILETYPE_PEM, part + end)
        for part in parts
    ]


def _read_bytes(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
