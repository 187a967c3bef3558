"""Stand-in for an upstream: streams, requests and faults on demand.

``/readings`` answers each line of the body with a line, ``/requests/<id>`` runs for ``work_ms``
(a query parameter overrides it) and counts how often each id ran, ``/documents/<bytes>`` sends
that many bytes, with ``pause_ms`` (a query parameter) after each chunk.
``GET /operator/runs`` gives the counts and ``PUT /operator/faults`` sets ``{"shed": bool}``.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import typer
from aiohttp import web

_CHUNK = b"d" * 16384


class UpstreamStandIn:
    """One upstream; ``name`` and ``service`` are headers of every answer."""

    def __init__(self, *, name: str, service: str, work_ms: float) -> None:
        self._name = name
        self._service = service
        self._work_s = work_ms / 1000
        self._runs_by_id: Counter[str] = Counter()
        self._shed = False
        self._busy = 0
        self._busy_max = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.post("/readings", self._stream),
                web.route("*", "/requests/{id}", self._run),
                web.get("/documents/{size}", self._document),
                web.get("/operator/runs", self._runs),
                web.put("/operator/faults", self._set_faults),
            ]
        )
        return application

    def _headers(self) -> dict[str, str]:
        return {"upstream": self._name, "service": self._service}

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        answer = web.StreamResponse(headers=self._headers())
        await answer.prepare(request)
        async for line in request.content:
            await answer.write(self._name.encode() + b" " + line)
        await answer.write_eof()
        return answer

    async def _run(self, request: web.Request) -> web.Response:
        if self._shed:
            return web.Response(status=503, headers={"retry-after": "1", **self._headers()})
        request_id = request.match_info["id"]
        self._runs_by_id[request_id] += 1
        self._busy += 1
        self._busy_max = max(self._busy_max, self._busy)
        try:
            await asyncio.sleep(_query_seconds(request, "work_ms", self._work_s))
        finally:
            self._busy -= 1
        return web.json_response({"id": request_id}, headers=self._headers())

    async def _document(self, request: web.Request) -> web.StreamResponse:
        size = int(request.match_info["size"])
        pause_s = _query_seconds(request, "pause_ms", 0.0)
        answer = web.StreamResponse(headers=self._headers())
        answer.content_length = size
        await answer.prepare(request)
        while size > 0:
            await answer.write(_CHUNK[:size])
            size -= len(_CHUNK)
            await asyncio.sleep(pause_s)
        return answer

    async def _runs(self, _request: web.Request) -> web.Response:
        return web.json_response({"runs": self._runs_by_id, "busy_max": self._busy_max})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._shed = bool((await request.json()).get("shed", False))
        return web.Response()


def _query_seconds(request: web.Request, name: str, default_s: float) -> float:
    value = request.query.get(name)
    return default_s if value is None else float(value) / 1000


def main(host: str, port: int, name: str, service: str, work_ms: float = 20.0) -> None:
    """Serve as one upstream; a request runs for ``work_ms`` milliseconds."""
    standin = UpstreamStandIn(name=name, service=service, work_ms=work_ms)
    web.run_app(
        standin.application(),
        host=host,
        port=port,
        print=None,
        access_log=None,
        handler_cancellation=True,
    )


if __name__ == "__main__":
    typer.run(main)
