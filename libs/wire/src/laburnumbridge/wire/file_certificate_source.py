"""Certificates in files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.wire.certificate_source import CertificateSource
from laburnumbridge.wire.certificates import Certificates
from laburnumbridge.wire.errors import CertificateUnreadableError

if TYPE_CHECKING:
    from pathlib import Path


class FileCertificateSource(CertificateSource):
    """Reads the PEM files that the settings name."""

    def __init__(self, *, authorities: Path, chain: Path, private_key: Path) -> None:
        self._authorities = authorities
        self._chain = chain
        self._private_key = private_key

    def load(self) -> Certificates:
        """Read the three files and check that they belong together."""
        certificates = Certificates(
            _read(self._authorities), _read(self._chain), _read(self._private_key)
        )
        certificates.check()
        return certificates


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise CertificateUnreadableError(path=str(path), cause=error.strerror or "") from error
