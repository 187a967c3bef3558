from __future__ import annotations

import pytest

from laburnumbridge.forwarding.event_loop import EventLoop
from laburnumbridge.forwarding.http_client import HttpClient
from laburnumbridge.forwarding.http_server import HttpServer
from laburnumbridge.forwarding.socket_network import SocketNetwork
from laburnumbridge.forwarding.upstream_probe import ProbeOutcome
from laburnumbridge.forwarding.upstream_probe import UpstreamProbe

TEST_TIMEOUT_S = 20.0


@pytest.fixture
def loop():
    loop = EventLoop()
    loop.call_later(TEST_TIMEOUT_S, loop.stop)
    yield loop
    loop.close()


@pytest.fixture
def network(loop):
    return SocketNetwork(loop=loop)


@pytest.fixture
def free_port(unused_tcp_port):
    return unused_tcp_port


class TestDatagrams:
    def test_a_datagram_arrives_with_its_sender(self, loop, network, unused_udp_port_factory):
        # Guards against datagrams that are lost or changed, or that have the wrong sender.
        received = []
        first = ("127.0.0.1", unused_udp_port_factory())
        second = ("127.0.0.1", unused_udp_port_factory())

        def on_datagram(datagram, sender):
            received.append((datagram, sender))
            loop.stop()

        receiver = network.datagram_port(second, on_datagram)
        sender = network.datagram_port(first, lambda _datagram, _sender: None)
        receiver.start()
        sender.start()
        assert sender.send(b"packet", second)
        loop.run()
        assert received == [(b"packet", first)]
        sender.close()
        receiver.close()
        assert not sender.send(b"packet", second)

    def test_a_refused_send_is_reported(self, loop, network, unused_udp_port_factory):
        # Guards against packets that the system refuses without a line in the log or metrics.
        faults = []
        network.on_fault = lambda operation, reason: faults.append((operation, reason))
        port = network.datagram_port(
            ("127.0.0.1", unused_udp_port_factory()), lambda _datagram, _sender: None
        )
        port.start()
        assert not port.send(bytes(70_000), ("127.0.0.1", 9))
        assert faults == [("send", "EMSGSIZE")]
        port.close()


class TestHttp:
    def test_two_calls_on_one_connection(self, loop, network, free_port):
        # Guards against a new connection for each call, and against responses to the wrong call.
        endpoint = ("127.0.0.1", free_port)
        server = HttpServer(
            network=network, endpoint=endpoint, handler=lambda path: (200, path.encode() * 9_000)
        )
        server.start()
        client = HttpClient(loop=loop, network=network, endpoint=endpoint)
        answers = []

        def call(path):
            client.get(path, timeout_s=TEST_TIMEOUT_S, on_answer=on_answer, on_failure=fail)

        def on_answer(status, _headers, body):
            answers.append((status, body[:2], len(body)))
            loop.call_later(0.0, lambda: call("/b") if len(answers) == 1 else loop.stop())

        def fail(error):
            answers.append(error)
            loop.stop()

        call("/a")
        loop.run()
        client.close()
        server.close()
        assert answers == [(200, b"/a", 18_000), (200, b"/b", 18_000)]

    def test_a_refused_connection_fails_the_call(self, loop, network, free_port):
        # Guards against a call that never ends.
        failures = []
        client = HttpClient(loop=loop, network=network, endpoint=("127.0.0.1", free_port))
        client.get(
            "/",
            timeout_s=TEST_TIMEOUT_S,
            on_answer=lambda _status, _headers, _body: loop.stop(),
            on_failure=lambda error: (failures.append(error), loop.stop()),
        )
        loop.run()
        assert "ECONNREFUSED" in str(failures[0])
        assert not client.is_calling

    def test_a_missing_response_times_out(self, loop, network, free_port):
        # Guards against a watch that hangs on a connection whose peer is unresponsive.
        listener = network.listener(("127.0.0.1", free_port), lambda _stream, _endpoint: None)
        listener.start()
        failures = []
        client = HttpClient(loop=loop, network=network, endpoint=("127.0.0.1", free_port))
        client.get(
            "/",
            timeout_s=0.01,
            on_answer=lambda _status, _headers, _body: loop.stop(),
            on_failure=lambda error: (failures.append(error.reason), loop.stop()),
        )
        loop.run()
        listener.close()
        assert failures == ["timeout"]


class TestProbe:
    @pytest.mark.parametrize("is_listening", [True, False])
    def test_the_outcome_shows_whether_a_process_listens(
        self, loop, network, free_port, is_listening
    ):
        # Guards against flows that are reset although their upstream is running.
        endpoint = ("127.0.0.1", free_port)
        listener = network.listener(endpoint, lambda _stream, _endpoint: None)
        if is_listening:
            listener.start()
        outcomes = []
        probe = UpstreamProbe(
            loop=loop,
            network=network,
            endpoint=endpoint,
            on_outcome=lambda outcome: (outcomes.append(outcome), loop.stop()),
        )
        probe.start()
        loop.run()
        listener.close()
        assert outcomes == [ProbeOutcome.LISTENING if is_listening else ProbeOutcome.REFUSED]
