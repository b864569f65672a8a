"""Requests that are refused before they reach a backend server."""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Iterator

import pytest

from tests.daemon.single import MODEL, SERVICE, SOCKET_TIMEOUT_S, Reply, Single, completion
from turmericweir_standins.deployment import token_of

BODY_MAX_BYTES = 10_000
HEADER_MAX_BYTES = 4_096
LIMITS = {
    "body_bytes": BODY_MAX_BYTES,
    "header_bytes": HEADER_MAX_BYTES,
    "body_s": 0.3,
    "header_s": 0.3,
}
COMPLETIONS = "/v1/chat/completions"
VALID_COMPLETION = completion("hello", 2, stream=False)


@pytest.fixture(scope="module")
def single(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Single]:
    with Single(tmp_path_factory.mktemp("refusals"), settings={"limits": LIMITS}) as started:
        started.wait_server(f"{MODEL}-1")
        yield started


def check_refusal(reply: Reply, status: int, reason: str) -> None:
    """Check that an answer is a refusal with this status and reason."""
    assert reply.status == status
    assert reply.headers["content-type"] == "application/problem+json"
    assert reply.headers["turmericweir-outcome"] == "not_run"
    problem = reply.json()
    assert problem["status"] == status
    assert problem["outcome"] == "not_run"
    assert problem["reason"] == reason
    assert problem["request_id"] == reply.headers["turmericweir-request-id"]
    assert problem["detail"]


@pytest.mark.parametrize(
    ("body", "status", "reason"),
    [
        pytest.param("{", 400, "bad_request", id="no JSON"),
        pytest.param("[]", 400, "bad_request", id="no object"),
        pytest.param(b"\xff\xfe", 400, "bad_request", id="no UTF-8"),
        pytest.param('{"model": "lm"}', 400, "bad_request", id="no messages"),
        pytest.param('{"model": "lm", "messages": []}', 400, "bad_request", id="empty messages"),
        pytest.param(
            VALID_COMPLETION.replace("2", '"2"'), 400, "bad_request", id="number in quotes"
        ),
        pytest.param(VALID_COMPLETION.replace("2", "0"), 400, "bad_request", id="no tokens wanted"),
        pytest.param(
            VALID_COMPLETION.replace('"lm"', '"other"'), 404, "unknown_target", id="unknown model"
        ),
        pytest.param("x" * (BODY_MAX_BYTES + 1), 413, "too_large", id="large body"),
    ],
)
def test_bad_completion_is_refused(
    single: Single, body: str | bytes, status: int, reason: str
) -> None:
    received_before = len(single.records(f"{MODEL}-1", "received"))

    check_refusal(single.call("POST", COMPLETIONS, body), status, reason)

    assert len(single.records(f"{MODEL}-1", "received")) == received_before


@pytest.mark.parametrize(
    ("method", "path", "status", "reason"),
    [
        pytest.param("GET", "/", 404, "bad_request", id="unknown path"),
        pytest.param("GET", COMPLETIONS, 405, "bad_request", id="wrong method"),
        pytest.param("GET", "/services/none/x", 404, "unknown_target", id="unknown service"),
        pytest.param("GET", f"/services/{MODEL}/x", 404, "unknown_target", id="model as service"),
        pytest.param("GET", "/v1/requests/none", 404, "bad_request", id="unknown request"),
    ],
)
def test_bad_path_is_refused(
    single: Single, method: str, path: str, status: int, reason: str
) -> None:
    check_refusal(single.call(method, path), status, reason)


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param({"Turmericweir-Deadline-Ms": "soon"}, id="deadline in words"),
        pytest.param({"Turmericweir-Deadline-Ms": "0"}, id="deadline of nothing"),
        pytest.param({"Idempotency-Key": "k" * 1000}, id="long key"),
    ],
)
def test_bad_header_is_refused(single: Single, headers: dict[str, str]) -> None:
    reply = single.call("POST", f"/services/{SERVICE}/reserve", b"x", headers=headers)
    check_refusal(reply, 400, "bad_request")


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param({}, id="no token"),
        pytest.param({"Authorization": "Bearer wrong"}, id="unknown token"),
        pytest.param({"Authorization": "Basic c2hvcC0x"}, id="other scheme"),
    ],
)
def test_unknown_caller_is_refused(single: Single, headers: dict[str, str]) -> None:
    reply = single.call("POST", COMPLETIONS, VALID_COMPLETION, customer=None, headers=headers)
    check_refusal(reply, 401, "unauthorised")
    assert reply.headers["www-authenticate"] == "Bearer"


# --- raw bytes that no client library sends ------------------------------------------------------


def exchange_raw(single: Single, *parts: bytes) -> Reply:
    """Send raw bytes and return the answer, which ends when the instance closes the connection."""
    host, _, port = single.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S) as sock:
        for part in parts:
            # The instance may refuse and close before everything is written.
            with contextlib.suppress(ConnectionError):
                sock.sendall(part)
        data = b""
        with contextlib.suppress(ConnectionError):
            while chunk := sock.recv(65_536):
                data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    return Reply(int(lines[0].split()[1]), headers, body)


def test_data_that_is_not_http_is_refused(single: Single) -> None:
    check_refusal(exchange_raw(single, b"hello\r\n\r\n"), 400, "bad_request")


def test_endless_header_is_refused(single: Single) -> None:
    # An endless header must not fill the memory of the process.
    reply = exchange_raw(single, b"GET / HTTP/1.1\r\nX-Long: ", b"x" * (HEADER_MAX_BYTES + 1))
    check_refusal(reply, 431, "too_large")


def test_headers_that_stop_coming_are_refused(single: Single) -> None:
    check_refusal(exchange_raw(single, b"GET / HTTP/1.1\r\nHost: x\r\n"), 408, "too_slow")


def test_headers_that_stop_coming_on_a_used_connection_are_refused(single: Single) -> None:
    # The header timeout must also apply to later requests of a connection.
    host, _, port = single.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S) as sock:
        answers = sock.makefile("rb")
        sock.sendall(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n" + _bearer() + b"\r\n\r\n")
        assert answers.readline() == b"HTTP/1.1 200 OK\r\n"
        sock.sendall(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n")
        second_answer = answers.read()
    assert b"HTTP/1.1 408 " in second_answer
    assert b'"reason":"too_slow"' in second_answer


def _bearer() -> bytes:
    return f"Authorization: Bearer {token_of('shop-1')}".encode()


def test_body_that_stops_coming_is_refused(single: Single) -> None:
    # An incomplete body must be refused after the body timeout, and nothing may reach the service.
    received_before = len(single.records(f"{SERVICE}-1", "received"))
    head = (
        f"POST /services/{SERVICE}/check HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {token_of('shop-1')}\r\nContent-Length: 10\r\n\r\n"
    )

    check_refusal(exchange_raw(single, head.encode(), b"four"), 408, "too_slow")

    assert len(single.records(f"{SERVICE}-1", "received")) == received_before


def test_idle_connection_is_closed_without_an_answer(single: Single) -> None:
    host, _, port = single.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S) as sock:
        assert sock.recv(1) == b""


def test_incomplete_requests_do_not_delay_others(single: Single) -> None:
    # Incomplete requests of other callers must not delay a complete one.
    host, _, port = single.address.rpartition(":")
    with contextlib.ExitStack() as stack:
        for _ in range(10):
            sock = stack.enter_context(socket.create_connection((host, int(port))))
            sock.sendall(b"POST /v1/chat/completions HTTP/1.1\r\n")
        reply = single.call("POST", COMPLETIONS, VALID_COMPLETION)
    assert reply.status == 200
    assert json.loads(reply.body)["usage"]["completion_tokens"] == 2
