"""Tests of requests with values that cannot be sent."""

from __future__ import annotations

from typing import Final

import anyio
import h11
import httpcore
import pytest
from anyio.abc import SocketAttribute, SocketStream
from hypothesis import example, given
from hypothesis import strategies as st

from turmericweir.process.errors import CallError, UnsendableError
from turmericweir.process.request_fields import find_unsendable, is_sendable_value
from turmericweir.servers.backend_call import call
from turmericweir.servers.backend_pool import BackendPool, make_request

ANSWER: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ADDRESS: Final = "127.0.0.1:1"
# Each with a part of the error.
UNSENDABLE: Final = {
    "nul": ((b"x-a", b"1\0"), r"header x-a: b'1\\x00'"),
    "line end": ((b"x-a", b"1\r\nx-b: 2"), "header x-a"),
    "blank at the end": ((b"x-a", b"1 "), "header x-a"),
    "form feed": ((b"x-a", b"1\f2"), "header x-a"),
    "name": ((b"x a", b"1"), "name of a header: b'x a'"),
}


class _Server:
    """Answers everything, and keeps what it received."""

    def __init__(self) -> None:
        self.received = b""

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            async for data in stream:
                self.received += data
                await stream.send(ANSWER)


def _is_sent_by_parser(headers: list[tuple[bytes, bytes]], target: bytes = b"/") -> bool:
    try:
        h11.Request(method=b"GET", target=target, headers=[(b"host", b"a"), *headers])
    except h11.LocalProtocolError:
        return False
    return True


@given(st.binary(max_size=6) | st.sampled_from([b"1 2", b" 1", b"1\t", b"\xc3\xa4", b""]))
@example(b"\x0b")
@example(b"1\x0c2")
def test_value_is_sendable_if_the_parser_sends_it(value: bytes) -> None:
    """Guards against a value that passes its check and is then refused with its request."""
    assert is_sendable_value(value) is _is_sent_by_parser([(b"x-a", value)])


@given(st.binary(min_size=1, max_size=3), st.binary(max_size=3), st.binary(max_size=3))
def test_field_is_named_if_the_parser_refuses_the_request(
    target: bytes, name: bytes, value: bytes
) -> None:
    """Guards against a refused request for which the server is blamed."""
    request = make_request(b"GET", ADDRESS, target, [(b"x" + name, value)], b"")
    is_sent = _is_sent_by_parser([(b"x" + name, value)], target)
    assert (find_unsendable(request) is None) is is_sent


@pytest.mark.anyio
@pytest.mark.parametrize(("header", "error"), UNSENDABLE.values(), ids=UNSENDABLE)
async def test_value_that_cannot_be_sent_is_no_error_of_the_server(
    header: tuple[bytes, bytes], error: str
) -> None:
    """Guards against a server that counts as lost though nothing was sent to it."""
    server = _Server()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    async with anyio.create_task_group() as group, BackendPool() as pool:
        group.start_soon(listener.serve, server.serve)
        conn = await pool.acquire(address)
        begun: list[str] = []
        with pytest.raises(UnsendableError, match=error):
            await conn.send(
                make_request(b"GET", address, b"/", [header], b""), lambda: begun.append("byte")
            )
        await pool.release(address, conn)
        with pytest.raises(CallError, match=error) as refused:
            await call(pool, b"POST", address, "/", headers=(header,), timeout_s=2.0)
        assert (begun, server.received, refused.value.was_sent) == ([], b"", False)
        answer = await call(pool, b"GET", address, "/", timeout_s=2.0)
        assert answer.status == 200
        group.cancel_scope.cancel()
    await listener.aclose()


@pytest.mark.anyio
@pytest.mark.parametrize("hosts", [0, 2])
async def test_request_whose_headers_cannot_be_sent_together_is_no_error_of_the_server(
    hosts: int,
) -> None:
    """Guards against a refusal of our request for which no single value can be named."""
    server = _Server()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    async with anyio.create_task_group() as group, BackendPool() as pool:
        group.start_soon(listener.serve, server.serve)
        conn = await pool.acquire(address)
        request = make_request(b"GET", address, b"/", [], b"")
        request.headers = [(b"host", b"a")] * hosts
        with pytest.raises(UnsendableError, match="Host"):
            await conn.send(request, lambda: None)
        await pool.release(address, conn)
        assert server.received == b""
        group.cancel_scope.cancel()
    await listener.aclose()


def test_request_that_is_refused_for_another_reason_names_no_field() -> None:
    """Guards against a fault of a connection that passes for one of the request."""
    request = make_request(b"GET", ADDRESS, b"/", [(b"x-a", b"1")], b"")
    assert isinstance(request, httpcore.Request)
    assert find_unsendable(request) is None
