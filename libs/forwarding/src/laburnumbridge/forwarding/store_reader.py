"""Reads the platform into the catalog."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.catalog import ReadPlan
from laburnumbridge.catalog.read_plan import WATCH_WAIT_MS
from laburnumbridge.core import Event
from laburnumbridge.core import LaburnumbridgeError
from laburnumbridge.forwarding.http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.catalog import Catalog
    from laburnumbridge.catalog import CatalogUpdate
    from laburnumbridge.catalog import PlatformCodec
    from laburnumbridge.forwarding.decision_log import DecisionLog
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.metrics import Metrics
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network


class StoreReader:
    """Makes the calls of a read plan, one at a time, while it is running."""

    def __init__(
        self,
        *,
        loop: Loop,
        network: Network,
        catalog: Catalog,
        codec: PlatformCodec,
        endpoint: Endpoint,
        reader: str,
        log: DecisionLog,
        metrics: Metrics,
        on_update: Callable[[CatalogUpdate], None],
    ) -> None:
        self._loop = loop
        self._codec = codec
        self._plan = ReadPlan(catalog=catalog, reader=reader)
        self._client = HttpClient(loop=loop, network=network, endpoint=endpoint)
        self._log = log
        self._metrics = metrics
        self._on_update = on_update
        self._running = False
        self._waiting = False

    @property
    def is_running(self) -> bool:
        """True between ``start`` and ``stop``."""
        return self._running

    def start(self) -> None:
        """Begin to read, unless a pause or call of an earlier start is still under way."""
        if self._running:
            return
        self._running = True
        if not self._waiting and not self._client.is_calling:
            self._plan.restart()
            self._call()

    def stop(self) -> None:
        """Make no further call; the one under way may still end."""
        self._running = False

    def close(self) -> None:
        """Stop and close the connection."""
        self._running = False
        self._client.close()

    def _call(self) -> None:
        self._waiting = False
        if not self._running:
            return
        call = self._plan.next_call()
        if call.listing is None:
            target = self._codec.watch_target(call.after_revision, WATCH_WAIT_MS)
        else:
            target = self._codec.listing_target(call.listing, call.after_key)
        is_watch = call.listing is None
        self._metrics.count("platform_calls_total")
        self._client.get(
            target,
            timeout_s=call.timeout_s,
            on_answer=lambda status, body: self._on_answer(is_watch, status, body),
            on_failure=self._on_failure,
        )

    def _on_answer(self, is_watch: bool, status: int, body: bytes) -> None:
        decode = self._codec.decode_watch if is_watch else self._codec.decode_listing
        try:
            items = decode(status, body)
        except LaburnumbridgeError as error:
            self._on_failure(error)
            return
        for malformed in items.malformed:
            self._metrics.count("platform_items_ignored_total")
            self._log.write(Event.ITEM_IGNORED, key=malformed.key, reason=malformed.reason)
        if self._plan.is_failing:
            self._log.write(Event.PLATFORM_AVAILABLE, revision=items.revision)
        self._on_update(self._plan.on_items(items, self._loop.now()))
        # Through the loop, so that an answer at once doesn't nest calls.
        self._waiting = True
        self._loop.call_later(0.0, self._call)

    def _on_failure(self, error: LaburnumbridgeError) -> None:
        was_failing = self._plan.is_failing
        pause_s = self._plan.on_failure(error)
        self._metrics.count("platform_failures_total")
        if not was_failing:
            self._log.write(Event.PLATFORM_UNAVAILABLE, reason=str(error), retry_s=pause_s)
        self._waiting = True
        self._loop.call_later(pause_s, self._call)
