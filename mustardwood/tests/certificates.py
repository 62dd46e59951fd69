"""TLS certificates for tests."""

import dataclasses
import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from mustardwood import settings

_DAY = datetime.timedelta(days=1)


@dataclasses.dataclass(frozen=True)
class Authority:
    """A certificate authority that writes its files into a folder.

    Attributes:
        name: Common name; also the base name of its files.
        folder: Folder of the files.
        key: Private key.
        certificate: Self-signed certificate.
    """

    name: str
    folder: pathlib.Path
    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate

    @classmethod
    def from_name(cls, name, folder):
        """Creates an authority and writes its certificate."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = _make_x509_name(name)
        signed = _make_builder(subject, subject,
                               key).add_extension(
                                   x509.BasicConstraints(ca=True,
                                                         path_length=None),
                                   critical=True).sign(key, hashes.SHA256())
        authority = cls(name, folder, key, signed)
        authority.path.write_bytes(_encode(signed))
        return authority

    @property
    def path(self):
        """Path of the authority's certificate file."""
        return self.folder / f"{self.name}.pem"

    def issue(self, ip, authority=None):
        """Issues a certificate for the IP address of a VM.

        The files that it returns hold it, its key and the authority that the VM
        trusts, which is this one by default.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        address = x509.IPAddress(ipaddress.ip_address(ip))
        signed = _make_builder(
            _make_x509_name(ip), self.certificate.subject,
            key).add_extension(x509.SubjectAlternativeName([address]),
                               critical=False).sign(self.key, hashes.SHA256())
        certificate = self.folder / f"{self.name}-{ip}.pem"
        certificate.write_bytes(_encode(signed))
        private = self.folder / f"{self.name}-{ip}.key"
        private.write_bytes(
            key.private_bytes(serialization.Encoding.PEM,
                              serialization.PrivateFormat.PKCS8,
                              serialization.NoEncryption()))
        verified = self if authority is None else authority
        return settings.TlsFiles(str(certificate), str(private),
                                 str(verified.path))


def _make_x509_name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _make_builder(subject, issuer, key):
    now = datetime.datetime.now(datetime.UTC)
    return x509.CertificateBuilder().subject_name(subject).issuer_name(
        issuer).public_key(key.public_key()).serial_number(
            x509.random_serial_number()).not_valid_before(
                now - _DAY).not_valid_after(now + _DAY)


def _encode(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
