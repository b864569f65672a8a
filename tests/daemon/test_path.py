"""Requests from a caller to a backend server and back, with real processes."""

from __future__ import annotations

import http.client
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.daemon.single import (
    MODEL,
    OTHER_CUSTOMER,
    SERVICE,
    RawRequest,
    RawServer,
    Reply,
    Single,
    completion,
    deployment,
    events_of,
    outcome_of,
    texts_of,
)
from turmericweir_standins.deployment import token_of
from turmericweir_standins.procs import wait_until


@pytest.fixture(scope="module")
def single(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Single]:
    with Single(tmp_path_factory.mktemp("path")) as started:
        started.wait_server(f"{MODEL}-1")
        started.wait_server(f"{SERVICE}-1")
        yield started


def test_stream_ends_with_its_outcome_before_done(single: Single) -> None:
    reply = single.complete("hello there", 5, stream=True)

    assert reply.status == 200
    assert reply.headers["content-type"] == "text/event-stream"
    assert reply.headers["turmericweir-outcome"] == "in-stream"
    assert len(texts_of(reply.body)) == 5
    events = events_of(reply.body)
    assert events[-1] == b"data: [DONE]"
    assert events[-2].startswith(b"event: turmericweir.outcome\n")
    outcome = outcome_of(reply.body)
    assert outcome["outcome"] == "completed"
    assert outcome["request_id"] == reply.headers["turmericweir-request-id"]


def test_answer_that_is_not_streamed_has_the_same_text(single: Single) -> None:
    streamed = single.complete("the same prompt", 6, stream=True)
    unstreamed = single.complete("the same prompt", 6, stream=False)

    assert unstreamed.status == 200
    assert unstreamed.headers["turmericweir-outcome"] == "completed"
    answer = unstreamed.json()
    assert answer["object"] == "chat.completion"
    assert answer["choices"][0]["message"]["content"] == "".join(texts_of(streamed.body))
    assert answer["usage"]["completion_tokens"] == 6


def test_engine_gets_request_once_with_its_ids(single: Single) -> None:
    reply = single.complete("only once", 3, stream=False)

    request_id = reply.headers["turmericweir-request-id"]
    received = [
        record
        for record in single.records(f"{MODEL}-1", "received")
        if record["request_id"] == request_id
    ]
    assert [record["attempt_id"] for record in received] == [f"{request_id}.0"]


def test_account_is_returned_to_its_customer_only(single: Single) -> None:
    request_id = single.complete("for later", 2, stream=False).headers["turmericweir-request-id"]

    own_reply = single.call("GET", f"/v1/requests/{request_id}")
    foreign_reply = single.call("GET", f"/v1/requests/{request_id}", customer=OTHER_CUSTOMER)

    assert own_reply.status == 200
    assert own_reply.json()["outcome"] == "completed"
    assert own_reply.json()["tokens"] == 2
    assert foreign_reply.status == 404


def test_plain_call_is_forwarded_with_path_query_and_body(single: Single) -> None:
    reply = single.call("POST", f"/services/{SERVICE}/check/a%2Fb?size=12", b"two of them")

    assert reply.status == 200
    assert reply.headers["turmericweir-outcome"] == "completed"
    assert reply.json()["echo"] == "two of them"


def test_service_gets_no_token_and_no_forged_ids(single: Single) -> None:
    # With the token a service could act as the caller. With a request id from the caller it
    # would assign its work to the wrong request.
    def answer(_request: RawRequest) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Flavour: mild\r\n\r\nok"

    with RawServer(answer) as raw:
        single.cluster.publish({"/services/raw": {"kind": "plain", "slots": 4}})
        single.list_test_server("raw-1", "plain", "raw", raw.address)
        headers = {"X-Request-Id": "forged", "X-Colour": "red", "Connection": "X-Colour"}
        reply = single.call("GET", "/services/raw/any?x=1", headers=headers)

        assert reply.status == 200
        assert reply.headers["x-flavour"] == "mild"
        (received_request,) = raw.requests
        assert received_request.line == "GET /any?x=1 HTTP/1.1"
        assert "authorization" not in received_request.headers
        assert "x-colour" not in received_request.headers
        assert received_request.headers["x-request-id"] == reply.headers["turmericweir-request-id"]


def test_error_status_of_a_service_is_passed_on(single: Single) -> None:
    def answer(_request: RawRequest) -> bytes:
        return b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"

    with RawServer(answer) as raw:
        single.cluster.publish({"/services/busy": {"kind": "plain", "slots": 4}})
        single.list_test_server("busy-1", "plain", "busy", raw.address)
        reply = single.call("POST", "/services/busy/any", b"x")

        assert (reply.status, reply.body) == (503, b"busy")
        assert reply.headers["turmericweir-outcome"] == "completed"
        assert len(raw.requests) == 1


@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("GET", 204)])
def test_answer_without_a_body_is_sent(single: Single, method: str, status: int) -> None:
    # The head of an answer is delayed until its body. Without a body it must be sent all the same.
    def answer(_request: RawRequest) -> bytes:
        return b"HTTP/1.1 %d Fine\r\n%s\r\n" % (
            status,
            b"Content-Length: 4\r\n" if method == "HEAD" else b"",
        )

    with RawServer(answer) as raw:
        name = f"bare-{status}"
        single.cluster.publish({f"/services/{name}": {"kind": "plain", "slots": 4}})
        single.list_test_server(f"{name}-1", "plain", name, raw.address)
        reply = single.call(method, f"/services/{name}/any")

    assert (reply.status, reply.body) == (status, b"")
    assert reply.headers["turmericweir-outcome"] == "completed"


def test_plain_answer_without_a_length_is_whole_while_its_service_lives(single: Single) -> None:
    # Guards against breaking off the answers of services that frame none.
    with RawServer(lambda _: b"HTTP/1.1 200 OK\r\n\r\nall of it") as raw:
        single.cluster.publish({"/services/unframed": {"kind": "plain", "slots": 4}})
        single.list_test_server("unframed-1", "plain", "unframed", raw.address)
        single.wait_report("unframed-1")
        reply = single.call("GET", "/services/unframed/any")

    assert (reply.status, reply.body) == (200, b"all of it")
    assert reply.headers["turmericweir-outcome"] == "completed"


def test_plain_answer_of_a_service_that_has_started_again_is_not_whole(single: Single) -> None:
    # Guards against taking the exit of a service for the end of its answer.
    def answer(_request: RawRequest) -> bytes:
        raw.incarnation = "next"
        return b"HTTP/1.1 200 OK\r\n\r\nhalf of "

    with RawServer(answer) as raw:
        single.cluster.publish({"/services/again": {"kind": "plain", "slots": 4}})
        single.list_test_server("again-1", "plain", "again", raw.address)
        single.wait_report("again-1")
        conn, response = single.open("GET", "/services/again/any")
        with pytest.raises(ConnectionResetError):
            response.read()
        conn.close()


def test_partial_plain_answer_ends_in_a_reset(single: Single) -> None:
    # After a normal close a caller could treat a partial answer as complete. Instances must reset
    # the connection instead.
    def answer(_request: RawRequest) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour"

    with RawServer(answer) as raw:
        single.cluster.publish({"/services/cut": {"kind": "plain", "slots": 4}})
        single.list_test_server("cut-1", "plain", "cut", raw.address)
        conn, response = single.open("GET", "/services/cut/any")
        with pytest.raises(ConnectionResetError):
            response.read()
        conn.close()

        request_id = response.getheader("turmericweir-request-id")
        account = single.call("GET", f"/v1/requests/{request_id}").json()
        assert account["outcome"] == "failed"


def test_answer_to_another_attempt_is_never_passed_on(tmp_path: Path) -> None:
    # An answer with the id of another attempt must not reach the caller. The request is retried on
    # the other engine.
    def answer(_request: RawRequest) -> bytes:
        event = b'data: {"choices":[{"delta":{"content":"secret"}}]}\n\ndata: [DONE]\n\n'
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: other.0\r\n"
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(event), event)

    with RawServer(answer) as raw, Single(tmp_path, deployment(engines=1)) as instance:
        instance.wait_server(f"{MODEL}-1")
        instance.list_test_server("mixed-up", "engine", MODEL, raw.address)
        replies: list[Reply] = []
        while not raw.requests:
            replies.append(instance.complete(f"question {len(replies)}", 3, stream=True))
        assert replies
        for reply in replies:
            assert b"secret" not in reply.body
            assert outcome_of(reply.body)["outcome"] == "completed"


def test_copy_of_a_refusal_of_an_earlier_attempt_is_not_believed(single: Single) -> None:
    # Guards against a call that runs twice, as a copy of its first refusal answers the second send.
    def answer(request: RawRequest) -> bytes:
        first_id = raw.requests[0].headers["x-attempt-id"]
        refusal = b"HTTP/1.1 503 Busy\r\nX-Not-Started: 1\r\nContent-Length: 0\r\nX-Attempt-Id: "
        refusal += first_id.encode() + b"\r\n\r\n"
        if len(raw.requests) == 1:
            return refusal
        return refusal + _answer_of(
            b"200 OK", request.headers["x-attempt-id"], b"text/plain", b"done"
        )

    with RawServer(answer) as raw:
        single.cluster.publish({"/services/copies": {"kind": "plain", "slots": 4}})
        single.list_test_server("copies-1", "plain", "copies", raw.address)
        reply = single.call("POST", "/services/copies/any", b"x")

        assert reply.headers["turmericweir-outcome"] == "unknown"
        assert len(raw.requests) == 2
        attempt_ids = {each.headers["x-attempt-id"] for each in raw.requests}
        assert len(attempt_ids) == 2


def test_resumed_stream_does_not_end_with_an_answer_that_is_no_stream(tmp_path: Path) -> None:
    # Guards against an error of the next engine that completes the stream of the first one.
    def answer(request: RawRequest) -> bytes:
        attempt_id = request.headers["x-attempt-id"]
        if b'"resume"' in request.body:
            return _answer_of(b"400 Bad Request", attempt_id, b"application/json", b'{"odd": 1}')
        event = b'data: {"choices":[{"delta":{"content":"begun"}}]}\n\n'
        return _answer_of(b"200 OK", attempt_id, b"text/event-stream", event, missing=1)

    with (
        RawServer(answer) as one,
        RawServer(answer) as other,
        Single(tmp_path, deployment(engines=0)) as instance,
    ):
        for name, raw in (("one", one), ("other", other)):
            instance.list_test_server(name, "engine", MODEL, raw.address)
            instance.wait_server(name)
        reply = instance.complete("a question", 3, stream=True)
    assert any(b'"resume"' in request.body for request in [*one.requests, *other.requests])
    assert outcome_of(reply.body)["outcome"] == "failed"
    assert b"[DONE]" not in reply.body


def test_half_an_answer_of_an_engine_that_has_started_again_is_not_whole(tmp_path: Path) -> None:
    # Guards against taking the exit of an engine for the end of an answer that is no stream.
    def answer(request: RawRequest) -> bytes:
        raw.incarnation = f"start {len(raw.requests)}"
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Attempt-Id: "
        return head + request.headers.get("x-attempt-id", "").encode() + b'\r\n\r\n{"half": '

    with RawServer(answer) as raw, Single(tmp_path, deployment(engines=0)) as instance:
        instance.list_test_server("again", "engine", MODEL, raw.address)
        instance.wait_server("again")
        reply = instance.complete("a question", 3, stream=False)
    assert b"half" not in reply.body
    assert reply.headers["turmericweir-outcome"] == "failed"


def _answer_of(
    status: bytes, attempt_id: str, content_type: bytes, body: bytes, missing: int = 0
) -> bytes:
    lines = [
        b"HTTP/1.1 " + status,
        b"Content-Type: " + content_type,
        b"X-Attempt-Id: " + attempt_id.encode(),
        b"Content-Length: %d" % (len(body) + missing),
    ]
    return b"\r\n".join([*lines, b"", body])


def test_engine_stops_for_a_caller_that_left(single: Single) -> None:
    # After its caller has disconnected, a request must not occupy an engine's batch slot.
    body = completion("a long story", 100_000, stream=True)
    conn, response = single.open("POST", "/v1/chat/completions", body)
    request_id = response.getheader("turmericweir-request-id")
    assert response.readline().startswith(b"data:")
    response.close()
    conn.close()

    def ended() -> bool:
        ends = single.records(f"{MODEL}-1", "ended")
        return any(record["request_id"] == request_id for record in ends)

    wait_until(ended, "the engine stops")
    account = single.call("GET", f"/v1/requests/{request_id}").json()
    assert account["reason"] == "caller_left"


def test_connection_carries_many_requests(single: Single) -> None:
    conn = http.client.HTTPConnection(single.address)
    headers = {"Authorization": f"Bearer {token_of('shop-1')}"}
    for _ in range(3):
        conn.request("GET", f"/services/{SERVICE}/stock", headers=headers)
        assert conn.getresponse().read()
        assert isinstance(conn.sock, socket.socket)
    conn.close()
