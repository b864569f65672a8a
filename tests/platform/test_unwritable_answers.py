"""Tests of answers that a server may send and that cannot be written to callers as they are."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.platform.answer_ends import PLAIN, STREAMS, is_whole
from tests.platform.platform_world import Answer, PlatformWorld, until
from tests.platform.standin_answers import AnswerForm, Framing

# Beyond what is buffered before the caller gets a part.
_LARGE_BYTES = 600_000
_CONTROLS = ("\x01", "\x08", "\x0e", "\x1b", "\x1f", "\x7f")


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield a world with one instance."""
    with PlatformWorld(tmp_path) as world:
        yield world


def _send(world: PlatformWorld, path: str, form: AnswerForm, method: str = "POST") -> Answer:
    """Send a request whose first run gets an answer in this form, until its end is logged."""
    forms = [form]
    for server in world.servers.values():
        server.forms = forms
    request_id = world.new_id()
    body = request_id.encode() if method == "POST" else b""
    answer = world.send(path, method=method, request_id=request_id, body=body)
    assert not forms
    until(lambda: request_id in _finished_ids(world), "the end of the request is logged")
    assert not world.running["entry-1"].logged("fault")
    return answer


def _finished_ids(world: PlatformWorld) -> set[str]:
    return {line["request_id"] for line in world.running["entry-1"].logged("finished")}


@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
def test_answer_with_a_control_character_in_a_header_is_none(
    world: PlatformWorld, path: str
) -> None:
    # Guards against callers whose connection is reset since a header cannot be written to them.
    is_repeatable = path in ("/lm/chat/", "/shop/look/")
    for framing in Framing:
        for control in _CONTROLS:
            form = AnswerForm(framing, more_headers=(("X-Note", f"a{control}b"),))
            answer = _send(world, path, form)
            assert (answer.status, answer.is_cut) == (200 if is_repeatable else 502, False)
            assert is_whole(path, answer) == is_repeatable


@pytest.mark.parametrize("status", ["204", "304"])
@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
def test_answer_without_a_body_may_have_a_length(
    world: PlatformWorld, path: str, status: str
) -> None:
    # Guards against a reset since a length was announced where no body belongs.
    form = AnswerForm(Framing.LENGTH, status=status, is_bodiless=True)
    answer = _send(world, path, form)
    assert (answer.status, answer.is_cut, answer.body) == (int(status), False, b"")


@pytest.mark.parametrize("length", [3, 10 * _LARGE_BYTES])
def test_length_beside_chunks_is_ignored(world: PlatformWorld, length: int) -> None:
    # Guards against a whole answer that is cut since it is not as long as a length beside its
    # chunks says, which does not count.
    for server in world.servers.values():
        server.plain_body = b"x" * _LARGE_BYTES
    form = AnswerForm(Framing.CHUNKED, more_headers=(("Content-Length", str(length)),))
    answer = _send(world, "/shop/buy/", form)
    assert (answer.status, answer.is_cut, len(answer.body)) == (200, False, _LARGE_BYTES)


@pytest.mark.parametrize("status", ["299", "420", "451", "499", "520", "599"])
def test_status_without_a_phrase_is_passed_on(world: PlatformWorld, status: str) -> None:
    # Guards against an error for a status that has no registered name.
    for path in ("/lm/doc/", "/shop/buy/"):
        assert _send(world, path, AnswerForm(Framing.LENGTH, status=status)).status == int(status)


@pytest.mark.parametrize("status", ["200", "404"])
def test_reason_phrase_of_odd_bytes_is_not_passed_on(world: PlatformWorld, status: str) -> None:
    # Guards against an error for the bytes behind a status, which mean nothing.
    for phrase in ("\x01\x7f", "\u00ff\u00fe", "", "HTTP/1.1 200", "x" * 5_000):
        form = AnswerForm(Framing.LENGTH, status=f"{status} {phrase}")
        assert _send(world, "/shop/buy/", form).status == int(status)
