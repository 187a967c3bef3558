"""gRPC channels to other processes."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import grpc
import grpc.aio

from laburnumbridge.core import LaburnumbridgeError

if TYPE_CHECKING:
    from laburnumbridge.wire.certificate_source import CertificateSource
    from laburnumbridge.wire.certificates import Certificates
    from laburnumbridge.wire.endpoint import Endpoint

# The name in every certificate of the fleet. Addresses are reused, so they are not in it.
PEER_NAME = "laburnumbridge"
MAX_CHANNELS = 256
# Longer than any control call takes; calls on a replaced channel end by then.
CLOSE_GRACE_S = 30.0


class ChannelPool:
    """Keeps a bounded set of channels, one per endpoint; new certificates replace all of them."""

    def __init__(
        self,
        *,
        source: CertificateSource,
        peer_name: str = PEER_NAME,
        max_channels: int = MAX_CHANNELS,
    ) -> None:
        self._source = source
        self._certificates = source.load()
        self._options = (("grpc.ssl_target_name_override", peer_name),)
        self._max_channels = max_channels
        self._channel_by_endpoint: OrderedDict[Endpoint, grpc.aio.Channel] = OrderedDict()
        self._retired: list[grpc.aio.Channel] = []
        self.reloads = 0
        self.failed_reloads = 0

    def channel(self, endpoint: Endpoint) -> grpc.aio.Channel:
        """Return the channel to ``endpoint``; don't keep it beyond one call."""
        channel = self._channel_by_endpoint.get(endpoint)
        if channel is None:
            channel = grpc.aio.secure_channel(
                str(endpoint), _credentials(self._certificates), options=self._options
            )
            self._channel_by_endpoint[endpoint] = channel
        self._channel_by_endpoint.move_to_end(endpoint)
        if len(self._channel_by_endpoint) > self._max_channels:
            self._retired.append(self._channel_by_endpoint.popitem(last=False)[1])
        return channel

    async def reload(self, *, grace_s: float = CLOSE_GRACE_S) -> bool:
        """Read the certificates again and close replaced channels once their calls have ended.

        Returns whether the certificates are new. While the source fails, the last usable ones
        stay in use and ``failed_reloads`` grows. Call it periodically.
        """
        changed = self._load()
        retired, self._retired = self._retired, []
        await asyncio.gather(*(channel.close(grace_s) for channel in retired))
        return changed

    async def close(self) -> None:
        """Close every channel at once."""
        channels = [*self._channel_by_endpoint.values(), *self._retired]
        self._channel_by_endpoint.clear()
        self._retired.clear()
        await asyncio.gather(*(channel.close(None) for channel in channels))

    def _load(self) -> bool:
        try:
            loaded = self._source.load()
        except LaburnumbridgeError:
            self.failed_reloads += 1
            return False
        if loaded == self._certificates:
            return False
        self._certificates = loaded
        self.reloads += 1
        self._retired.extend(self._channel_by_endpoint.values())
        self._channel_by_endpoint.clear()
        return True


def _credentials(certificates: Certificates) -> grpc.ChannelCredentials:
    return grpc.ssl_channel_credentials(
        certificates.authorities, certificates.private_key, certificates.chain
    )
