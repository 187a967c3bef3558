"""The certificates of one process."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from laburnumbridge.wire.errors import InvalidCertificateError


@dataclass(frozen=True, slots=True)
class Certificates:
    """PEM data: trusted authorities, the process's certificate chain and its private key."""

    authorities: bytes
    chain: bytes
    private_key: bytes = field(repr=False)

    def check(self) -> None:
        """Raise InvalidCertificateError where the parts are malformed or don't belong together.

        Files replaced one after the other are briefly inconsistent, which this detects.
        """
        try:
            x509.load_pem_x509_certificates(self.authorities)
            chain = x509.load_pem_x509_certificates(self.chain)
            key = load_pem_private_key(self.private_key, password=None)
        except (ValueError, TypeError, UnsupportedAlgorithm) as error:
            raise InvalidCertificateError(cause=str(error)) from error
        if chain[0].public_key() != key.public_key():
            raise InvalidCertificateError(cause="the private key is not that of the certificate")
