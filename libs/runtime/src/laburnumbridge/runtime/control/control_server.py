"""The gRPC server of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc

from laburnumbridge.runtime.errors import AddressInUseError
from laburnumbridge.telemetry.errors import InvalidSubjectError
from laburnumbridge.wire import control_pb2
from laburnumbridge.wire import control_pb2_grpc

if TYPE_CHECKING:
    from laburnumbridge.runtime.client_requests.forwarded_requests import ForwardedRequests
    from laburnumbridge.runtime.published_lists.configuration_driver import ConfigurationDriver
    from laburnumbridge.runtime.telemetry_service import TelemetryService
    from laburnumbridge.wire import Endpoint
    from laburnumbridge.wire import ServerCertificates

STOP_GRACE_S = 1.0


class ControlServicer(control_pb2_grpc.ControlServicer):
    """Handles calls of other processes and of the operators' commands."""

    def __init__(
        self,
        *,
        configuration: ConfigurationDriver,
        forwarded: ForwardedRequests | None,
        telemetry: TelemetryService,
    ) -> None:
        self._configuration = configuration
        self._telemetry = telemetry
        self._forwarded = forwarded

    async def ForwardRequest(  # noqa: N802, named by the schema
        self,
        request: control_pb2.ForwardRequestRequest,
        context: grpc.aio.ServicerContext[
            control_pb2.ForwardRequestRequest, control_pb2.ForwardRequestResponse
        ],
    ) -> control_pb2.ForwardRequestResponse:
        """Run a request that a sibling forwards; aborts the call on a balancer."""
        if self._forwarded is None:
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, "this process is not an agent")
        assert self._forwarded is not None
        return await self._forwarded.run(request)

    async def GetValue(  # noqa: N802, named by the schema
        self,
        request: control_pb2.GetValueRequest,
        context: grpc.aio.ServicerContext[
            control_pb2.GetValueRequest, control_pb2.GetValueResponse
        ],
    ) -> control_pb2.GetValueResponse:
        """Return a configuration value."""
        return self._configuration.answer_request(request)

    async def Status(  # noqa: N802, named by the schema
        self,
        request: control_pb2.StatusRequest,
        context: grpc.aio.ServicerContext[control_pb2.StatusRequest, control_pb2.JsonResponse],
    ) -> control_pb2.JsonResponse:
        """Return a snapshot without series, as JSON."""
        return control_pb2.JsonResponse(json=self._telemetry.status())

    async def Metrics(  # noqa: N802, named by the schema
        self,
        request: control_pb2.MetricsRequest,
        context: grpc.aio.ServicerContext[control_pb2.MetricsRequest, control_pb2.JsonResponse],
    ) -> control_pb2.JsonResponse:
        """Return a snapshot with series, as JSON."""
        return control_pb2.JsonResponse(json=self._telemetry.metrics())

    async def Explain(  # noqa: N802, named by the schema
        self,
        request: control_pb2.ExplainRequest,
        context: grpc.aio.ServicerContext[control_pb2.ExplainRequest, control_pb2.JsonResponse],
    ) -> control_pb2.JsonResponse:
        """Return the decisions about a subject as JSON; aborts the call for an invalid subject."""
        try:
            return control_pb2.JsonResponse(json=self._telemetry.explain(request.subject))
        except InvalidSubjectError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise


class ControlServer:
    """Serves ``Control`` over mutual TLS at the control address."""

    def __init__(
        self, *, address: Endpoint, certificates: ServerCertificates, servicer: ControlServicer
    ) -> None:
        self._address = address
        self._certificates = certificates
        self._servicer = servicer
        self._server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Bind the address and start serving; raises AddressInUseError."""
        server = grpc.aio.server()
        control_pb2_grpc.add_ControlServicer_to_server(self._servicer, server)
        try:
            server.add_secure_port(str(self._address), self._certificates.credentials())
        except RuntimeError as error:
            raise AddressInUseError(address=str(self._address), reason=str(error)) from error
        await server.start()
        self._server = server

    async def close(self) -> None:
        """Stop serving; running calls have STOP_GRACE_S seconds to finish."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)
