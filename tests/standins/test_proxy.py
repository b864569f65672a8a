"""Test the fault-injecting proxy: a real proxy process between sockets that the tests hold."""

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
# How long a socket is watched before it counts as silent. A slow machine can only make the watch
# miss a fault of the proxy; it cannot fail a good one.
SILENCE_S = 0.2
OTHER_IP = "127.0.0.2"


@pytest.fixture
def proxy(tmp_path: Path) -> Iterator[Process]:
    with standin("proxy", "--record", str(tmp_path / "record"), directory=tmp_path) as process:
        yield process


class Pair:
    """A connection through the proxy, with both of its ends."""

    def __init__(self, bench: Bench, source: str) -> None:
        self.client = socket.create_connection(bench.route_address, SAFETY_S, (source, 0))
        self.server, _ = bench.listener.accept()
        self.server.settimeout(SAFETY_S)

    def close(self) -> None:
        self.client.close()
        self.server.close()


class Bench:
    """A listening target with one route to it."""

    def __init__(self, proxy: Process) -> None:
        self.proxy = proxy
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(SAFETY_S)
        self.route = add_route(proxy.address, f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.pairs: list[Pair] = []

    @property
    def route_address(self) -> tuple[str, int]:
        host, _, port = self.route.rpartition(":")
        return host, int(port)

    def connect(self, source: str = LOOPBACK) -> Pair:
        self.pairs.append(Pair(self, source))
        return self.pairs[-1]

    def faults(self, **changes: object) -> None:
        set_faults(self.proxy.address, [self.route], **changes)

    def close(self) -> None:
        for pair in self.pairs:
            pair.close()
        self.listener.close()


@pytest.fixture
def bench(proxy: Process) -> Iterator[Bench]:
    made = Bench(proxy)
    yield made
    made.close()


def events_in(directory: Path) -> list[str]:
    """List what the proxy has recorded."""
    return [line["event"] for line in read_records(directory / "record")]


def carries(sender: socket.socket, receiver: socket.socket, data: bytes = b"x") -> bool:
    """Send the bytes and tell whether exactly they come out at the other end."""
    sender.sendall(data)
    got = b""
    while len(got) < len(data):
        got += receiver.recv(len(data) - len(got))
    return got == data


def is_silent(sock: socket.socket) -> bool:
    """Tell whether the socket brings neither bytes nor an end."""
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
    def test_carries_both_ways(self, bench: Bench) -> None:
        pair = bench.connect()
        assert carries(pair.client, pair.server, b"question")
        assert carries(pair.server, pair.client, b"answer" * 100_000)

    def test_passes_the_end_of_one_direction_on(self, bench: Bench) -> None:
        pair = bench.connect()
        pair.client.shutdown(socket.SHUT_WR)
        assert pair.server.recv(1) == b""
        assert carries(pair.server, pair.client)
        pair.server.close()
        assert pair.client.recv(1) == b""

    def test_delay_keeps_the_order(self, bench: Bench) -> None:
        pair = bench.connect()
        bench.faults(delay_ms=20)
        pair.client.sendall(b"1")
        bench.faults(delay_ms=1)
        pair.client.sendall(b"2")
        assert pair.server.recv(1) + pair.server.recv(1) == b"12"

    def test_drop_refuses_new_connections_and_keeps_old_ones(self, bench: Bench) -> None:
        pair = bench.connect()
        bench.faults(drop=1)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(bench.route_address, SAFETY_S)
        assert carries(pair.client, pair.server)
        bench.faults(drop=0)
        again = bench.connect()
        assert carries(again.client, again.server)

    def test_cut_of_one_way(self, bench: Bench) -> None:
        # Requests arrive, and their answers are swallowed: the client sees a silent connection.
        pair = bench.connect()
        bench.faults(cut="backward")
        assert carries(pair.client, pair.server)
        pair.server.sendall(b"lost")
        assert is_silent(pair.client)

    def test_a_cut_connection_stays_silent_for_good(self, bench: Bench) -> None:
        # Bytes were swallowed. After the cut nothing more may come on that connection, or the
        # receiver would see a stream with a gap; a new connection works.
        pair = bench.connect()
        bench.faults(cut="both")
        pair.client.sendall(b"lost")
        assert is_silent(pair.server)
        bench.faults(cut=None)
        pair.client.sendall(b"later")
        assert is_silent(pair.server)
        again = bench.connect()
        assert carries(again.client, again.server)

    def test_cut_of_one_sender(self, bench: Bench) -> None:
        # One of two that speak from different IPs is cut off, both ways; the other notices nothing.
        one = bench.connect(OTHER_IP)
        other = bench.connect()
        bench.faults(cut_sources=[OTHER_IP])
        one.client.sendall(b"lost")
        one.server.sendall(b"lost")
        assert is_silent(one.server)
        assert is_silent(one.client)
        assert carries(other.client, other.server)
        bench.faults(cut_sources=[])
        again = bench.connect(OTHER_IP)
        assert carries(again.client, again.server)

    def test_a_cut_hides_the_end(self, bench: Bench) -> None:
        # The server dies while it is cut off: the client is not told, as over a real cut.
        pair = bench.connect()
        bench.faults(cut="both")
        pair.server.close()
        assert is_silent(pair.client)

    def test_silence_existing(self, bench: Bench) -> None:
        # Something between the ends loses track of the open connections. They bring neither bytes
        # nor an error any more, while new ones work at once.
        old = bench.connect()
        bench.faults(silence_existing=True)
        new = bench.connect()
        assert carries(new.client, new.server)
        old.client.sendall(b"lost")
        assert is_silent(old.server)
        assert is_silent(old.client)

    def test_freeze_holds_back_and_loses_nothing(self, bench: Bench) -> None:
        pair = bench.connect()
        bench.faults(freeze=True)
        pair.client.sendall(b"held")
        assert is_silent(pair.server)
        bench.faults(freeze=False)
        assert pair.server.recv(4) == b"held"

    def test_new_connection_waits_while_frozen(self, bench: Bench) -> None:
        bench.faults(freeze=True)
        client = socket.create_connection(bench.route_address, SAFETY_S)
        client.sendall(b"held")
        bench.listener.settimeout(SILENCE_S)
        with pytest.raises(TimeoutError):
            bench.listener.accept()
        bench.listener.settimeout(SAFETY_S)
        bench.faults(freeze=False)
        server, _ = bench.listener.accept()
        assert server.recv(4) == b"held"
        client.close()
        server.close()

    def test_close_existing(self, bench: Bench) -> None:
        old = bench.connect()
        bench.faults(close_existing=True)
        assert old.client.recv(1) == b""
        assert old.server.recv(1) == b""
        new = bench.connect()
        assert carries(new.client, new.server)

    def test_connection_that_both_sides_ended_is_closed(self, bench: Bench, tmp_path: Path) -> None:
        # The client ends its connection, the server ends it in turn, and each is told so. Were the
        # proxy's own two sockets then left open, it would run out of them in a long run.
        pair = bench.connect()
        assert carries(pair.client, pair.server)
        pair.client.close()
        assert pair.server.recv(1) == b""
        pair.server.close()
        wait_until(lambda: "closed" in events_in(tmp_path), "the proxy closed both sockets")

    def test_silent_connection_is_closed_when_both_sides_have_left(
        self, bench: Bench, tmp_path: Path
    ) -> None:
        # Neither side is told that the other has gone, but the proxy's sockets go once both have:
        # in a soak of minutes with many silences it would run out of them otherwise.
        pair = bench.connect()
        assert carries(pair.client, pair.server)
        bench.faults(silence_existing=True)
        pair.client.close()
        assert is_silent(pair.server)
        pair.server.close()
        wait_until(lambda: "closed" in events_in(tmp_path), "the proxy closed both sockets")

    def test_lose_response(self, bench: Bench, tmp_path: Path) -> None:
        # The request reaches the server, which answers. The client sees its connection close with
        # no byte of the answer, and cannot know whether the request took effect.
        pair = bench.connect()
        bench.faults(lose_response=1)
        assert carries(pair.client, pair.server, b"request")
        pair.server.sendall(b"answer")
        assert pair.client.recv(1) == b""
        again = bench.connect()
        assert carries(again.client, again.server, b"request")
        assert carries(again.server, again.client, b"answer")
        assert events_in(tmp_path).count("response_lost") == 1

    def test_lose_response_spares_an_answer_that_has_begun(self, bench: Bench) -> None:
        pair = bench.connect()
        assert carries(pair.client, pair.server, b"request")
        assert carries(pair.server, pair.client, b"first token")
        bench.faults(lose_response=1)
        assert carries(pair.server, pair.client, b"second token")

    def test_target_that_refuses(self, bench: Bench) -> None:
        bench.listener.close()
        # The reset may overtake the end of connecting, so that either call may be the one to fail.
        with (
            pytest.raises(ConnectionResetError),
            socket.create_connection(bench.route_address, SAFETY_S) as client,
        ):
            client.recv(1)


class TestUdp:
    def test_carries_both_ways_and_drops_and_cuts(self, proxy: Process) -> None:
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
        first, second = (passed_datagrams(tmp_path / name) for name in ("first", "second"))
        assert first == second
        assert 0 < len(first) < DATAGRAMS


def passed_datagrams(directory: Path) -> list[bytes]:
    """Send numbered datagrams through a new proxy that loses half; return those that passed."""
    directory.mkdir()
    passed: list[bytes] = []
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

        def all_seen() -> bool:
            with contextlib.suppress(BlockingIOError):
                while True:
                    passed.append(target.recv(10))
            return len(passed) + len(read_records(directory / "record")) == DATAGRAMS

        wait_until(all_seen, "each datagram passed or was dropped")
    return passed


class TestControl:
    def test_tcp_and_udp_routes_of_one_address_share_their_faults(self, bench: Bench) -> None:
        target = f"127.0.0.1:{bench.listener.getsockname()[1]}"
        add_route(bench.proxy.address, target, kind="udp", listen=bench.route)
        bench.faults(delay_ms=3)
        routes = call_json(bench.proxy.address, "GET", "/_standin/behaviour").body["routes"]
        assert [route["kind"] for route in routes] == ["tcp", "udp"]
        assert [route["behaviour"]["delay_ms"] for route in routes] == [3, 3]

    def test_faults_of_one_route_leave_others_alone(self, bench: Bench) -> None:
        port = bench.listener.getsockname()[1]
        other = add_route(bench.proxy.address, f"127.0.0.1:{port}")
        bench.faults(delay_ms=3)
        answer = call_json(bench.proxy.address, "GET", "/_standin/behaviour")
        delays = {
            entry["listen"]: entry["behaviour"]["delay_ms"] for entry in answer.body["routes"]
        }
        assert delays == {bench.route: 3, other: 0}

    def test_unknown_route_and_misspelt_fault_are_refused(self, bench: Bench) -> None:
        with pytest.raises(ValueError, match="no route listens on"):
            set_faults(bench.proxy.address, ["127.0.0.1:1"], delay_ms=3)
        with pytest.raises(ValueError, match="refused"):
            bench.faults(delya_ms=3)

    def test_routes_of_the_command_line(self, tmp_path: Path) -> None:
        args = ["--route", "127.0.0.1:0=127.0.0.1:9", "--udp-route", "127.0.0.1:0=127.0.0.1:9"]
        with standin("proxy", *args, directory=tmp_path) as proxy:
            routes = call_json(proxy.address, "GET", "/_standin/routes").body["routes"]
        assert [route["kind"] for route in routes] == ["tcp", "udp"]
        assert all(route["target"] == "127.0.0.1:9" for route in routes)
