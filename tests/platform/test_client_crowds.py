"""Tests of crowds of clients that do not behave, through real processes, one crowd at a time."""

from __future__ import annotations

import fcntl
import socket
import tempfile
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from http.client import HTTPResponse
from pathlib import Path
from typing import Any, Final

import pytest

from tests.platform.client_crowd import Crowd, LimitedWorld, Sent, open_descriptors, peak_bytes
from tests.platform.platform_world import call, document, until
from turmericweir.callers.http_server import HEADER_LINES_MAX

_MEMORY_MB: Final = 160
# The share of the memory limit below which a process stays.
_MEMORY_SHARE: Final = 0.8
_DESCRIPTORS: Final = 1_000
# Of the descriptors of a machine, those that sockets may not take.
_RESERVED_DESCRIPTORS: Final = 200
_HEADER_BYTES: Final = 65_536
_CLIENTS: Final = 24
_CLIENTS_WITH_HEADS: Final = 100
_CLIENTS_CONNECTED: Final = 1_200
_CLIENTS_UNREAD: Final = 8
_AHEAD_BYTES: Final = 250_000
_UNREAD_BYTES: Final = 4_000_000
_LONG_TRAILER_BYTES: Final = 8_000_000
_PORTS: Final = ("readiness", "metrics", "admin")
_BARE: Final = b"GET / HTTP/1.1\r\n\r\n"
_CHUNKED: Final = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
_LONG_LINE: Final = b"x-name: " + b"v" * 40 + b"\r\n"
_ONE_BYTE_NAMES: Final = b"".join(b"%c:1\r\n" % number for number in b"bdfgjklmnopqrsuvwxyz!#$%&'*")
_LOCK_PATH: Final = Path(tempfile.gettempdir()) / "turmericweir-client-crowds.lock"


@dataclass(frozen=True, slots=True)
class _Case:
    """A crowd at the callers' port."""

    name: str
    sent: Sent
    count: int = _CLIENTS
    # Whether what is sent follows the first line and the headers of a request that runs.
    follows_headers: bool = False
    # Whether what is sent follows a request that runs.
    follows_request: bool = False
    # Whether the request is complete.
    ends: bool = False


def _small_posts(size: int) -> Sent:
    return Sent(repeated=b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", size=size)


_HEAD_BYTES: Final = _HEADER_BYTES - 1_000
# The stand-ins of servers take heads of up to 65,536 bytes, in which each line is longer.
_FORWARDED_HEAD_BYTES: Final = 40_000
_CASES: Final = (
    _Case("trailers without end", Sent(_CHUNKED, b"a:\r\n", _AHEAD_BYTES)),
    _Case("one trailer without end", Sent(_CHUNKED + b"a: ", b"b" * 100, _LONG_TRAILER_BYTES)),
    _Case("first lines ahead", Sent(repeated=_BARE, size=_AHEAD_BYTES)),
    _Case("first lines behind one", Sent(repeated=_BARE, size=_AHEAD_BYTES), follows_request=True),
    _Case("small posts ahead", _small_posts(_AHEAD_BYTES)),
    _Case("small posts behind one", _small_posts(_AHEAD_BYTES), follows_request=True),
    _Case(
        "short lines, incomplete",
        Sent(b"GET / HTTP/1.1\r\n", b"a:\r\n", _HEAD_BYTES),
        _CLIENTS_WITH_HEADS,
    ),
    _Case(
        "short lines, complete",
        Sent(b"", b"a:\r\n", _FORWARDED_HEAD_BYTES),
        _CLIENTS_WITH_HEADS,
        follows_headers=True,
        ends=True,
    ),
    _Case(
        "one-byte names, complete",
        Sent(b"", _ONE_BYTE_NAMES, _FORWARDED_HEAD_BYTES),
        _CLIENTS_WITH_HEADS,
        follows_headers=True,
        ends=True,
    ),
    _Case(
        "a thousand long lines, complete",
        Sent(b"", _LONG_LINE, 1_000 * len(_LONG_LINE)),
        4 * _CLIENTS_WITH_HEADS,
        follows_headers=True,
        ends=True,
    ),
)


@pytest.fixture(scope="module", autouse=True)
def _one_crowd_at_a_time() -> Iterator[None]:
    with _LOCK_PATH.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@pytest.fixture
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LimitedWorld]:
    """Yield a world with one instance that has little memory and few descriptors."""
    world = LimitedWorld(
        tmp_path_factory.mktemp("client_crowds"),
        metrics=True,
        machine={"memory_mb": _MEMORY_MB, "max_fds": _DESCRIPTORS},
        descriptors=_DESCRIPTORS,
    )
    with world:
        _publish_limits(world)
        yield world


def _publish_limits(world: LimitedWorld, **limits: int) -> None:
    """Allow large heads, and let requests run for longer than a test."""
    base = document(1)
    all_limits = {**base["limits"], "max-header-bytes": _HEADER_BYTES, **limits}
    routes = [{**route, "timeout-ms": 60_000} for route in base["routes"]]
    world.publish(limits=all_limits, routes=routes)
    until(
        lambda: world.reported_state("entry-1")["settings_version"] == world.version,
        "the limits are in force",
    )


def _head(world: LimitedWorld, path: str, method: str = "POST", **headers: str) -> bytes:
    """Return the first line and the headers of a request, without the empty line."""
    length = {"Content_Length": "6"} if method == "POST" else {}
    fields = world.request_headers(
        path, world.new_id(), X_Deadline_Ms="60000", **{**length, **headers}
    )
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}".encode()


def _sent(world: LimitedWorld, case: _Case) -> Sent:
    first = case.sent.first
    if case.follows_headers:
        first = _head(world, "/shop/look/", "GET")
    if case.follows_request:
        first = _head(world, "/shop/buy/") + b"\r\nprompt"
    sent = Sent(first, case.sent.repeated, case.sent.size)
    return Sent(sent.data() + b"\r\n") if case.ends else sent


def _ask(world: LimitedWorld) -> int:
    """Return the status of an ordinary request, or 0 if it got no answer."""
    with suppress(OSError):
        return world.send("/lm/doc/").status
    return 0


def _ask_safe(world: LimitedWorld) -> int:
    with suppress(OSError):
        return world.send_safe().status
    return 0


def _check_process(world: LimitedWorld, ask: Callable[[LimitedWorld], int] = _ask) -> None:
    """Check that the process lives within its bounds and answers an ordinary request."""
    process = world.running["entry-1"].process
    assert process.is_running
    peak_mb = peak_bytes(process) / 1_000_000
    descriptors = open_descriptors(process)
    status = ask(world)
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors, answer {status}")
    assert peak_mb < _MEMORY_SHARE * _MEMORY_MB
    assert descriptors <= _DESCRIPTORS - _RESERVED_DESCRIPTORS
    assert status == 200


@pytest.mark.parametrize("case", _CASES, ids=lambda case: case.name)
def test_crowd_at_the_callers_port_leaves_memory_and_answers(
    world: LimitedWorld, case: _Case
) -> None:
    # Guards against a process that is killed for what its callers send and what becomes of it.
    world.set_mode("mute", "shop-1", "shop-2")
    with Crowd(world.address_of("caller"), case.count, _sent(world, case)) as crowd:
        crowd.settle(lambda: _ask(world))
        _check_process(world)


def test_crowd_with_many_parts_of_prompts_leaves_memory_and_answers(world: LimitedWorld) -> None:
    # Guards against one header line that becomes thousands of objects.
    world.set_mode("mute", "lm-1", "lm-2")
    parts = ",".join(f"{number:04x}:{300 + number}" for number in range(5_000))
    head = _head(world, "/lm/doc/", X_Prefix_Hash=parts, X_Token_Count="1000,60")
    with Crowd(
        world.address_of("caller"), 2 * _CLIENTS_WITH_HEADS, Sent(head + b"\r\nprompt")
    ) as crowd:
        crowd.settle(lambda: _ask_safe(world))
        _check_process(world, _ask_safe)


@pytest.mark.parametrize("port", _PORTS)
def test_crowd_at_another_port_leaves_memory_and_answers(world: LimitedWorld, port: str) -> None:
    # Guards against ports whose clients are not counted.
    sent = Sent(repeated=_BARE, size=_AHEAD_BYTES)
    with Crowd(world.address_of(port), _CLIENTS, sent) as crowd:
        crowd.settle(lambda: _ask(world))
        _check_process(world)
    assert call(world.address_of("readiness"), "GET", "/api/readyz").status == 200


@pytest.mark.parametrize("port", ["metrics", "admin"])
def test_clients_that_send_and_never_read_are_closed(world: LimitedWorld, port: str) -> None:
    # Guards against connections that are kept for as long as their clients like.
    sent = Sent(repeated=b"GET /state HTTP/1.1\r\n\r\n", size=_UNREAD_BYTES)
    with Crowd(world.address_of(port), _CLIENTS_UNREAD, sent) as crowd:
        until(lambda: crowd.has_connected, "the clients connect")
        until(lambda: crowd.open_count == 0, "the clients are closed")
        _check_process(world)


@pytest.mark.parametrize("port", ["caller", *_PORTS])
def test_connections_leave_descriptors_for_answers(world: LimitedWorld, port: str) -> None:
    # Guards against clients that connect and do nothing until no other can.
    _publish_limits(world, **{"header-timeout-ms": 60_000})
    sent = Sent(b"GET / HTTP/1.1\r\n")
    with Crowd(world.address_of(port), _CLIENTS_CONNECTED, sent) as crowd:
        crowd.settle(lambda: _ask(world))
        _check_process(world)


class _Caller:
    """A caller within the limits, on one connection."""

    def __init__(self, world: LimitedWorld) -> None:
        host, _, port = world.address_of("caller").rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=20)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self._sock.makefile("rb")

    def __enter__(self) -> _Caller:
        return self

    def __exit__(self, *_: object) -> None:
        self._file.close()
        self._sock.close()

    def send(self, data: bytes) -> None:
        self._sock.sendall(data)

    def read_head(self) -> dict[str, Any]:
        """Read one answer; return its headers, and its status and its body by these names."""
        answer = HTTPResponse(self._sock)
        answer.fp.close()
        answer.fp = _Unclosed(self._file)  # type: ignore[assignment]
        answer.begin()
        body = answer.read()
        headers = {name.lower(): value for name, value in answer.getheaders()}
        return {**headers, "status": answer.status, "body": body}


class _Unclosed:
    """A file that an answer does not close, since another answer follows it."""

    def __init__(self, file: Any) -> None:
        self._file = file

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)

    def close(self) -> None:
        """Do nothing."""


def test_few_requests_sent_ahead_are_all_answered_in_order(world: LimitedWorld) -> None:
    # Guards against a limit on what is sent ahead that callers within the limits meet.
    ids = [world.new_id() for _ in range(6)]
    data = b""
    for number, request_id in enumerate(ids):
        length = {"Content_Length": "6"} if number % 2 else {}
        path = f"/shop/buy/{number}" if number % 2 else f"/shop/look/{number}"
        headers = world.request_headers(path, request_id, **length)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        method, body = ("POST", "prompt") if number % 2 else ("GET", "")
        data += f"{method} {path} HTTP/1.1\r\n{lines}\r\n{body}".encode()
    with _Caller(world) as caller:
        caller.send(data)
        answers = [caller.read_head() for _ in ids]
    assert [answer["status"] for answer in answers] == [200] * len(ids)
    assert [answer["x-attempt-id"] for answer in answers] == ids
    runs = {run.attempt_id: run.path for run in world.runs()}
    paths = [runs[request_id] for request_id in ids]
    assert [path.rpartition("/")[2] for path in paths] == [str(each) for each in range(len(ids))]


def test_thousand_headers_of_ordinary_length_are_served(world: LimitedWorld) -> None:
    # Guards against a limit on header lines that callers within the limits meet.
    more = b"".join(b"x-name-%04d: %s\r\n" % (number, b"v" * 40) for number in range(1_000))
    with _Caller(world) as caller:
        caller.send(_head(world, "/shop/look/", "GET") + more + b"\r\n")
        assert caller.read_head()["status"] == 200
    assert len(world.runs()[-1].headers) > 1_000


def test_head_in_slow_small_parts_is_served(world: LimitedWorld) -> None:
    # Guards against losing the end of a head that arrives in two parts.
    with _Caller(world) as caller:
        for _ in range(2):
            for byte in _head(world, "/shop/buy/") + b"\r\nprompt":
                caller.send(bytes([byte]))
            assert caller.read_head()["status"] == 200
    assert [run.body for run in world.runs()] == [b"prompt"] * 2


@pytest.mark.parametrize("part", [7, 1_000, 100_000])
def test_chunked_body_with_trailers_is_whole(world: LimitedWorld, part: int) -> None:
    # Guards against a body that is cut, or read as framing, where it is parsed in pieces.
    body = b"".join(b"%d\r\n0\r\n\r\n" % number for number in range(6_000))[:50_000]
    chunks = [body[start : start + 777] for start in range(0, len(body), 777)]
    framed = b"".join(b"%x;a=b\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    trailers = b"".join(b"x-trailer-%d: value\r\n" % number for number in range(20))
    head = _head(world, "/shop/buy/", "GET", Transfer_Encoding="chunked").replace(
        b"GET", b"POST", 1
    )
    data = head + b"\r\n" + framed + b"0\r\n" + trailers + b"\r\n"
    with _Caller(world) as caller:
        for _ in range(2):
            for start in range(0, len(data), part):
                caller.send(data[start : start + part])
            assert caller.read_head()["status"] == 200
    assert [run.body == body for run in world.runs()] == [True, True]


def test_large_body_behind_a_small_request_is_whole(world: LimitedWorld) -> None:
    # Guards against a caller that is never read again after its first request has ended.
    body = b"GET / HTTP/1.1\r\n\r\n" * 5_000
    head = _head(world, "/shop/buy/", "GET", Content_Length=str(len(body)))
    with _Caller(world) as caller:
        caller.send(_head(world, "/shop/buy/") + b"\r\nprompt")
        caller.send(head.replace(b"GET", b"POST", 1) + b"\r\n" + body)
        assert [caller.read_head()["status"] for _ in range(2)] == [200, 200]
    runs = sorted(world.runs(), key=lambda run: run.received_at)
    assert [run.body for run in runs] == [b"prompt", body]


@pytest.mark.parametrize("path", ["/shop/buy/", "/lm/doc/"])
def test_refusal_of_trailers_is_true(world: LimitedWorld, path: str) -> None:
    # Guards against a request that is passed on before its trailers are refused.
    head = _head(world, path, "GET", Transfer_Encoding="chunked").replace(b"GET", b"POST", 1)
    with _Caller(world) as caller:
        caller.send(head + b"\r\n6\r\nprompt\r\n0\r\n")
        caller.send(b"a:\r\n" * (_HEADER_BYTES // 4 + 1))
        answer = caller.read_head()
    assert (answer["status"], answer["connection"]) == (431, "close")
    assert not world.runs()


def test_head_of_the_shortest_lines_within_the_limit_is_served(world: LimitedWorld) -> None:
    # Guards against a limit on header lines that a caller within the limit on their size meets.
    with _Caller(world) as caller:
        caller.send(_head(world, "/shop/look/", "GET") + b"a:\r\n" * 3_900 + b"\r\n")
        assert caller.read_head()["status"] == 200
    assert len(world.runs()) == 1


def test_head_of_too_many_lines_is_refused(world: LimitedWorld) -> None:
    # Guards against a limit on header lines that is not in force.
    _publish_limits(world, **{"max-header-bytes": 8 * HEADER_LINES_MAX})
    lines = b"a:\r\n" * (HEADER_LINES_MAX + 1)
    with _Caller(world) as caller:
        caller.send(_head(world, "/shop/look/", "GET") + lines + b"\r\n")
        assert caller.read_head()["status"] == 431
    assert not world.runs()


def test_body_behind_an_upgrade_is_not_run_as_a_request(world: LimitedWorld) -> None:
    # Guards against a body that is read as the next request of its connection.
    inner = _head(world, "/shop/buy/inner", "GET") + b"\r\n"
    head = _head(
        world,
        "/shop/look/",
        "GET",
        Upgrade="other",
        Connection="upgrade",
        Content_Length=str(len(inner)),
    )
    with _Caller(world) as caller:
        caller.send(head + b"\r\n")
        caller.send(inner)
        answer = caller.read_head()
        assert answer["connection"] == "close"
    assert _ask(world) == 200
    assert not [run for run in world.runs() if run.path.endswith("inner")]
