"""Certificates for tests and demonstrations."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from datetime import timedelta
from ipaddress import ip_address
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

if TYPE_CHECKING:
    from pathlib import Path

_LIFETIME = timedelta(days=2)


class CertificateAuthority:
    """Issues certificates under a fresh self-signed root."""

    def __init__(self) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test authority")])
        self._certificate = (
            self._builder(self._name, self._key)
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .sign(self._key, hashes.SHA256())
        )

    def write_root(self, path: Path) -> Path:
        """Write the root certificate as PEM and return its path."""
        path.write_bytes(self._certificate.public_bytes(serialization.Encoding.PEM))
        return path

    def issue(self, name: str, *, addresses: list[str], folder: Path) -> tuple[Path, Path]:
        """Write certificate and key for a DNS name and IP addresses; return both paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        alternatives: list[x509.GeneralName] = [x509.DNSName(name)]
        alternatives += [x509.IPAddress(ip_address(address)) for address in addresses]
        certificate = (
            self._builder(subject, key)
            .add_extension(x509.SubjectAlternativeName(alternatives), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        certificate_path = folder / f"{name}.pem"
        key_path = folder / f"{name}.key"
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return certificate_path, key_path

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey
    ) -> x509.CertificateBuilder:
        now = datetime.now(UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(hours=1))
            .not_valid_after(now + _LIFETIME)
        )
