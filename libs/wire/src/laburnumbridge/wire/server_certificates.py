"""Mutual TLS of a gRPC server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc

from laburnumbridge.core import LaburnumbridgeError

if TYPE_CHECKING:
    from laburnumbridge.wire.certificate_source import CertificateSource
    from laburnumbridge.wire.certificates import Certificates


class ServerCertificates:
    """Reads the certificates for each handshake, so that new ones are used without a restart.

    Open connections keep the certificates of their handshake. While the source fails, the last
    usable certificates stay in use and ``failed_reloads`` grows.
    """

    def __init__(self, *, source: CertificateSource) -> None:
        self._source = source
        self._certificates = source.load()
        self.reloads = 0
        self.failed_reloads = 0

    def credentials(self) -> grpc.ServerCredentials:
        """Return credentials that demand a certificate of every client."""
        return grpc.dynamic_ssl_server_credentials(
            _configuration(self._certificates), self._fetch, require_client_authentication=True
        )

    def _fetch(self) -> grpc.ServerCertificateConfiguration | None:
        try:
            loaded = self._source.load()
        except LaburnumbridgeError:
            self.failed_reloads += 1
            return None
        if loaded == self._certificates:
            return None
        self._certificates = loaded
        self.reloads += 1
        return _configuration(loaded)


def _configuration(certificates: Certificates) -> grpc.ServerCertificateConfiguration:
    pair = (certificates.private_key, certificates.chain)
    return grpc.ssl_server_certificate_configuration(
        [pair], root_certificates=certificates.authorities
    )
