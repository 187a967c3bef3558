"""The interface of a source of certificates."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.wire.certificates import Certificates


class CertificateSource(ABC):
    """Supplies the certificates that are valid at present."""

    @abstractmethod
    def load(self) -> Certificates:
        """Return the certificates; may be called from any thread.

        Raises CertificateUnreadableError or InvalidCertificateError.
        """
