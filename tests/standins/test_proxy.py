"""Test the fault-injecting proxy: a real proxy process between sockets of the tests."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from turmericweir_standins.procs import (
    LOOPBACK,
    Process,
    add_route,
    call_json,
    set_faults,
    standin,
    wait_until,
)
from turmericweir_standins.record import read_records

SAFETY_S = 10.0
DATAGRAMS = 50
# Time without data after which a socket counts as silent. On a slow machine a fault of the proxy
# may be missed, but a correct proxy does not fail.
SILENCE_S = 0.2
OTHER_IP = "127.0.0.2"


@pytest.fixture
def proxy(tmp_path: Path) -> Iterator[Process]:
    with standin("proxy", "--record", str(tmp_path / "record"), directory=tmp_path) as process:
        yield process


class ConnectionPair:
    """Both ends of a connection through the proxy."""

    def __init__(self, routed_target: RoutedTarget, source: str) -> None:
        self.client = socket.create_connection(routed_target.route_address, SAFETY_S, (source, 0))
        self.server, _ = routed_target.listener.accept()
        self.server.settimeout(SAFETY_S)

    def close(self) -> None:
        self.client.close()
        self.server.close()


class RoutedTarget:
    """A listening target and a route to it."""

    def __init__(self, proxy: Process) -> None:
        self.proxy = proxy
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(SAFETY_S)
        self.route = add_route(proxy.address, f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.pairs: list[ConnectionPair] = []

    @property
    def route_address(self) -> tuple[str, int]:
        host, _, port = self.route.rpartition(":")
        return host, int(port)

    def connect(self, source: str = LOOPBACK) -> ConnectionPair:
        self.pairs.append(ConnectionPair(self, source))
        return self.pairs[-1]

    def faults(self, **changes: object) -> None:
        set_faults(self.proxy.address, [self.route], **changes)

    def close(self) -> None:
        for pair in self.pairs:
            pair.close()
        self.listener.close()


@pytest.fixture
def routed_target(proxy: Process) -> Iterator[RoutedTarget]:
    target = RoutedTarget(proxy)
    yield target
    target.close()


def events_in(directory: Path) -> list[str]:
    """Return the events that the proxy has recorded."""
    return [line["event"] for line in read_records(directory / "record")]


def delivers(sender: socket.socket, receiver: socket.socket, data: bytes = b"x") -> bool:
    """Send the bytes and return whether the other end receives exactly these."""
    sender.sendall(data)
    received = b""
    while len(received) < len(data):
        received += receiver.recv(len(data) - len(received))
    return received == data


def is_silent(sock: socket.socket) -> bool:
    """Return whether the socket receives neither bytes nor an end."""
    sock.settimeout(SILENCE_S)
    try:
        sock.recv(1)
    except TimeoutError:
        return True
    else:
        return False
    finally:
        sock.settimeout(SAFETY_S)


class TestTcp:
    def test_forwards_both_ways(self, routed_target: RoutedTarget) -> None:
        pair = routed_target.connect()
        assert delivers(pair.client, pair.server, b"question")
        assert delivers(pair.server, pair.client, b"answer" * 100_000)

    def test_forwards_the_end_of_one_direction(self, routed_target: RoutedTarget) -> None:
        pair = routed_target.connect()
        pair.client.shutdown(socket.SHUT_WR)
        assert pair.server.recv(1) == b""
        assert delivers(pair.server, pair.client)
        pair.server.close()
        assert pair.client.recv(1) == b""

    def test_delay_keeps_the_order(self, routed_target: RoutedTarget) -> None:
        pair = routed_target.connect()
        routed_target.faults(delay_ms=20)
        pair.client.sendall(b"1")
        routed_target.faults(delay_ms=1)
        pair.client.sendall(b"2")
        assert pair.server.recv(1) + pair.server.recv(1) == b"12"

    def test_drop_refuses_new_connections_and_keeps_old_ones(
        self, routed_target: RoutedTarget
    ) -> None:
        pair = routed_target.connect()
        routed_target.faults(drop=1)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(routed_target.route_address, SAFETY_S)
        assert delivers(pair.client, pair.server)
        routed_target.faults(drop=0)
        new_pair = routed_target.connect()
        assert delivers(new_pair.client, new_pair.server)

    def test_cut_of_one_direction(self, routed_target: RoutedTarget) -> None:
        # Guards against a cut that affects the wrong direction.
        pair = routed_target.connect()
        routed_target.faults(cut="backward")
        assert delivers(pair.client, pair.server)
        pair.server.sendall(b"lost")
        assert is_silent(pair.client)

    def test_cut_connection_stays_silent_after_the_cut(self, routed_target: RoutedTarget) -> None:
        # Guards against a stream with a gap: bytes were discarded, and the connection must stay
        # silent after the cut. A new connection works.
        pair = routed_target.connect()
        routed_target.faults(cut="both")
        pair.client.sendall(b"lost")
        assert is_silent(pair.server)
        routed_target.faults(cut=None)
        pair.client.sendall(b"later")
        assert is_silent(pair.server)
        new_pair = routed_target.connect()
        assert delivers(new_pair.client, new_pair.server)

    def test_cut_of_one_sender(self, routed_target: RoutedTarget) -> None:
        # Guards against a cut of one sender's IP address that affects another sender.
        one = routed_target.connect(OTHER_IP)
        other = routed_target.connect()
        routed_target.faults(cut_sources=[OTHER_IP])
        one.client.sendall(b"lost")
        one.server.sendall(b"lost")
        assert is_silent(one.server)
        assert is_silent(one.client)
        assert delivers(other.client, other.server)
        routed_target.faults(cut_sources=[])
        new_pair = routed_target.connect(OTHER_IP)
        assert delivers(new_pair.client, new_pair.server)

    def test_cut_hides_the_end_of_a_connection(self, routed_target: RoutedTarget) -> None:
        # Guards against a client that gets the end of a connection while it is cut.
        pair = routed_target.connect()
        routed_target.faults(cut="both")
        pair.server.close()
        assert is_silent(pair.client)

    def test_silence_existing(self, routed_target: RoutedTarget) -> None:
        # Guards against data or errors on silenced connections, and against silent new ones.
        old = routed_target.connect()
        routed_target.faults(silence_existing=True)
        new = routed_target.connect()
        assert delivers(new.client, new.server)
        old.client.sendall(b"lost")
        assert is_silent(old.server)
        assert is_silent(old.client)

    def test_freeze_delays_bytes_without_loss(self, routed_target: RoutedTarget) -> None:
        pair = routed_target.connect()
        routed_target.faults(freeze=True)
        pair.client.sendall(b"held")
        assert is_silent(pair.server)
        routed_target.faults(freeze=False)
        assert pair.server.recv(4) == b"held"

    def test_new_connection_waits_while_frozen(self, routed_target: RoutedTarget) -> None:
        routed_target.faults(freeze=True)
        client = socket.create_connection(routed_target.route_address, SAFETY_S)
        client.sendall(b"held")
        routed_target.listener.settimeout(SILENCE_S)
        with pytest.raises(TimeoutError):
            routed_target.listener.accept()
        routed_target.listener.settimeout(SAFETY_S)
        routed_target.faults(freeze=False)
        server, _ = routed_target.listener.accept()
        assert server.recv(4) == b"held"
        client.close()
        server.close()

    def test_close_existing(self, routed_target: RoutedTarget) -> None:
        old = routed_target.connect()
        routed_target.faults(close_existing=True)
        assert old.client.recv(1) == b""
        assert old.server.recv(1) == b""
        new = routed_target.connect()
        assert delivers(new.client, new.server)

    def test_connection_that_both_sides_ended_is_closed(
        self, routed_target: RoutedTarget, tmp_path: Path
    ) -> None:
        # Guards against proxy sockets that stay open after both sides have closed the connection.
        pair = routed_target.connect()
        assert delivers(pair.client, pair.server)
        pair.client.close()
        assert pair.server.recv(1) == b""
        pair.server.close()
        wait_until(lambda: "closed" in events_in(tmp_path), "the proxy closed both sockets")

    def test_silent_connection_is_closed_after_both_sides_have_closed_it(
        self, routed_target: RoutedTarget, tmp_path: Path
    ) -> None:
        # Guards against proxy sockets that stay open after both sides of a silent connection have
        # closed it.
        pair = routed_target.connect()
        assert delivers(pair.client, pair.server)
        routed_target.faults(silence_existing=True)
        pair.client.close()
        assert is_silent(pair.server)
        pair.server.close()
        wait_until(lambda: "closed" in events_in(tmp_path), "the proxy closed both sockets")

    def test_lose_response(self, routed_target: RoutedTarget, tmp_path: Path) -> None:
        # Guards against an answer that is delivered in part, or a request that does not arrive,
        # when the response is lost.
        pair = routed_target.connect()
        routed_target.faults(lose_response=1)
        assert delivers(pair.client, pair.server, b"request")
        pair.server.sendall(b"answer")
        assert pair.client.recv(1) == b""
        new_pair = routed_target.connect()
        assert delivers(new_pair.client, new_pair.server, b"request")
        assert delivers(new_pair.server, new_pair.client, b"answer")
        assert events_in(tmp_path).count("response_lost") == 1

    def test_lose_response_does_not_affect_an_answer_that_has_begun(
        self, routed_target: RoutedTarget
    ) -> None:
        pair = routed_target.connect()
        assert delivers(pair.client, pair.server, b"request")
        assert delivers(pair.server, pair.client, b"first token")
        routed_target.faults(lose_response=1)
        assert delivers(pair.server, pair.client, b"second token")

    def test_target_that_refuses(self, routed_target: RoutedTarget) -> None:
        routed_target.listener.close()
        # The reset may arrive before `create_connection` returns; either call may fail.
        with (
            pytest.raises(ConnectionResetError),
            socket.create_connection(routed_target.route_address, SAFETY_S) as client,
        ):
            client.recv(1)


class TestUdp:
    def test_forwards_both_ways_and_drops_and_cuts(self, proxy: Process) -> None:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        ):
            target.settimeout(SAFETY_S)
            sender.settimeout(SAFETY_S)
            target.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{target.getsockname()[1]}"
            route = add_route(proxy.address, address, kind="udp")
            host, _, port = route.rpartition(":")
            sender.connect((host, int(port)))

            sender.send(b"ping")
            data, upstream = target.recvfrom(10)
            assert data == b"ping"
            target.sendto(b"pong", upstream)
            assert sender.recv(10) == b"pong"

            set_faults(proxy.address, [route], drop=1)
            sender.send(b"dropped")
            assert is_silent(target)
            set_faults(proxy.address, [route], drop=0, cut="forward")
            sender.send(b"cut")
            assert is_silent(target)
            set_faults(proxy.address, [route], cut=None, cut_sources=[LOOPBACK])
            sender.send(b"cut")
            assert is_silent(target)
            set_faults(proxy.address, [route], cut_sources=[OTHER_IP], delay_ms=5)
            sender.send(b"late")
            assert target.recv(10) == b"late"

    def test_seed_decides_which_datagrams_are_lost(self, tmp_path: Path) -> None:
        first, second = (delivered_datagrams(tmp_path / name) for name in ("first", "second"))
        assert first == second
        assert 0 < len(first) < DATAGRAMS


def delivered_datagrams(directory: Path) -> list[bytes]:
    """Send datagrams through a proxy that drops half of them; return the delivered ones."""
    directory.mkdir()
    delivered: list[bytes] = []
    with (
        standin("proxy", "--record", str(directory / "record"), directory=directory) as proxy,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        target.bind(("127.0.0.1", 0))
        target.setblocking(False)
        address = f"127.0.0.1:{target.getsockname()[1]}"
        route = add_route(proxy.address, address, kind="udp")
        set_faults(proxy.address, [route], drop=0.5)
        host, _, port = route.rpartition(":")
        for number in range(DATAGRAMS):
            sender.sendto(b"%d" % number, (host, int(port)))

        def is_complete() -> bool:
            with contextlib.suppress(BlockingIOError):
                while True:
                    delivered.append(target.recv(10))
            return len(delivered) + len(read_records(directory / "record")) == DATAGRAMS

        wait_until(is_complete, "each datagram passed or was dropped")
    return delivered


class TestControl:
    def test_tcp_and_udp_routes_of_one_address_share_their_faults(
        self, routed_target: RoutedTarget
    ) -> None:
        target = f"127.0.0.1:{routed_target.listener.getsockname()[1]}"
        add_route(routed_target.proxy.address, target, kind="udp", listen=routed_target.route)
        routed_target.faults(delay_ms=3)
        routes = call_json(routed_target.proxy.address, "GET", "/_standin/behaviour").body["routes"]
        assert [route["kind"] for route in routes] == ["tcp", "udp"]
        assert [route["behaviour"]["delay_ms"] for route in routes] == [3, 3]

    def test_faults_of_one_route_do_not_affect_others(self, routed_target: RoutedTarget) -> None:
        port = routed_target.listener.getsockname()[1]
        other = add_route(routed_target.proxy.address, f"127.0.0.1:{port}")
        routed_target.faults(delay_ms=3)
        answer = call_json(routed_target.proxy.address, "GET", "/_standin/behaviour")
        delays = {
            entry["listen"]: entry["behaviour"]["delay_ms"] for entry in answer.body["routes"]
        }
        assert delays == {routed_target.route: 3, other: 0}

    def test_unknown_route_and_misspelt_fault_are_refused(
        self, routed_target: RoutedTarget
    ) -> None:
        with pytest.raises(ValueError, match="no route listens on"):
            set_faults(routed_target.proxy.address, ["127.0.0.1:1"], delay_ms=3)
        with pytest.raises(ValueError, match="refused"):
            routed_target.faults(delya_ms=3)

    def test_routes_of_the_command_line(self, tmp_path: Path) -> None:
        args = ["--route", "127.0.0.1:0=127.0.0.1:9", "--udp-route", "127.0.0.1:0=127.0.0.1:9"]
        with standin("proxy", *args, directory=tmp_path) as proxy:
            routes = call_json(proxy.address, "GET", "/_standin/routes").body["routes"]
        assert [route["kind"] for route in routes] == ["tcp", "udp"]
        assert all(route["target"] == "127.0.0.1:9" for route in routes)
