"""Reads the platform's store into the catalog."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.catalog import ReadPlan
from laburnumbridge.catalog.read_plan import WATCH_WAIT_MS
from laburnumbridge.core import Event
from laburnumbridge.core import LaburnumbridgeError
from laburnumbridge.forwarding.errors import UnexpectedAnswerError
from laburnumbridge.forwarding.http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.catalog import Catalog
    from laburnumbridge.catalog import CatalogUpdate
    from laburnumbridge.catalog import PlatformCodec
    from laburnumbridge.catalog import PlatformItems
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
        self._is_running = False
        self._is_call_scheduled = False

    @property
    def is_running(self) -> bool:
        """True between ``start`` and ``stop``."""
        return self._is_running

    def start(self) -> None:
        """Start to read; a call or pause of an earlier start that is under way goes on instead."""
        if self._is_running:
            return
        self._is_running = True
        if not self._is_call_scheduled and not self._client.is_calling:
            self._plan.restart()
            self._call()

    def stop(self) -> None:
        """Make no further call; one that is under way may still end."""
        self._is_running = False

    def close(self) -> None:
        """Stop and close the connection."""
        self._is_running = False
        self._client.close()

    def _call(self) -> None:
        self._is_call_scheduled = False
        if not self._is_running:
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
            first_answer_timeout_s=call.first_answer_timeout_s,
            on_answer=lambda status, headers, body: self._on_answer(
                is_watch, status, headers, body
            ),
            on_failure=self._on_failure,
        )

    def _on_answer(self, is_watch: bool, status: int, headers: dict[str, str], body: bytes) -> None:
        # An unexpected error must not end the reading: no other call is scheduled then.
        if not self._loop.guard(self._handle_answer, is_watch, status, headers, body):
            self._plan.restart()
            self._on_failure(UnexpectedAnswerError(status=status, size=len(body)))

    def _handle_answer(
        self, is_watch: bool, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        decode = self._codec.decode_watch if is_watch else self._codec.decode_listing
        try:
            items = decode(status, headers, body)
            self._log_items(items)
            update = self._plan.on_items(items, self._loop.now())
        except LaburnumbridgeError as error:
            self._on_failure(error)
            return
        self._on_update(update)
        # Scheduled on the loop, so that calls that are answered at once don't nest.
        self._schedule_call(0.0)

    def _schedule_call(self, delay_s: float) -> None:
        self._is_call_scheduled = True
        self._loop.call_later(delay_s, self._call)

    def _log_items(self, items: PlatformItems) -> None:
        for malformed in items.malformed:
            self._metrics.count("platform_items_ignored_total")
            self._log.write(Event.ITEM_IGNORED, key=malformed.key, reason=malformed.reason)
        if self._plan.is_failing:
            self._log.write(Event.PLATFORM_AVAILABLE, revision=items.revision)

    def _on_failure(self, error: LaburnumbridgeError) -> None:
        was_failing = self._plan.is_failing
        pause_s = self._plan.on_failure(error)
        self._metrics.count("platform_failures_total")
        if not was_failing:
            self._log.write(Event.PLATFORM_UNAVAILABLE, reason=str(error), retry_s=pause_s)
        self._schedule_call(pause_s)
