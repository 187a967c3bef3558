"""Message formats and connections between the processes of the system."""

from __future__ import annotations

from laburnumbridge.wire.certificate_source import CertificateSource
from laburnumbridge.wire.certificates import Certificates
from laburnumbridge.wire.channel_pool import ChannelPool
from laburnumbridge.wire.datagram_fault import DatagramFault
from laburnumbridge.wire.encapsulation import Encapsulation
from laburnumbridge.wire.encapsulation import Frame
from laburnumbridge.wire.encapsulation import FrameKind
from laburnumbridge.wire.endpoint import Endpoint
from laburnumbridge.wire.errors import DatagramRejectedError
from laburnumbridge.wire.errors import DatagramTooLargeError
from laburnumbridge.wire.errors import FrameFault
from laburnumbridge.wire.errors import FrameRejectedError
from laburnumbridge.wire.file_certificate_source import FileCertificateSource
from laburnumbridge.wire.opened_datagram import OpenedDatagram
from laburnumbridge.wire.sealed_codec import SealedCodec
from laburnumbridge.wire.sealing_key import SealingKey
from laburnumbridge.wire.server_certificates import ServerCertificates

__all__ = [
    "CertificateSource",
    "Certificates",
    "ChannelPool",
    "DatagramFault",
    "DatagramRejectedError",
    "DatagramTooLargeError",
    "Encapsulation",
    "Endpoint",
    "FileCertificateSource",
    "Frame",
    "FrameFault",
    "FrameKind",
    "FrameRejectedError",
    "OpenedDatagram",
    "SealedCodec",
    "SealingKey",
    "ServerCertificates",
]
