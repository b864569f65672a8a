"""Tests of answers whose status is none, or not one of an answer that ends a request."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from tests.platform.answer_ends import PLAIN, STREAMS, is_whole
from tests.platform.cut_world import RESET, CutWorld
from tests.platform.platform_world import Answer, PlatformWorld, until
from tests.platform.standin_answers import AnswerForm, Framing

_STATUSES = ("000", "099", "100", "101", "103", "600", "999", "20", "2000", "-1", "abc")
# Those that the parser of answers reads as a number.
_NUMBERS = ("101", "600", "999")
# By path: whether no other server may answer instead.
_RUNS_ONCE = {"/lm/doc/": True, "/lm/chat/": False, "/shop/buy/": True, "/shop/look/": False}


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield a world with one instance."""
    with PlatformWorld(tmp_path) as world:
        yield world


def _send(world: PlatformWorld, path: str, forms: list[AnswerForm]) -> Answer:
    """Send a request whose first runs get answers in these forms, until its end is logged."""
    for server in world.servers.values():
        server.forms = forms
    request_id = world.new_id()
    answer = world.send(path, request_id=request_id, body=request_id.encode())
    until(lambda: request_id in _finished_ids(world), "the end of the request is logged")
    return answer


def _finished_ids(world: PlatformWorld) -> set[str]:
    return {line["request_id"] for line in world.running["entry-1"].logged("finished")}


def _assert_no_answer(world: PlatformWorld, path: str, form: AnswerForm) -> None:
    """Assert that an answer in this form ends in another try, or else in 502."""
    forms = [form]
    answer = _send(world, path, forms)
    assert not forms
    if _RUNS_ONCE[path]:
        _assert_unknown(answer)
    else:
        assert (answer.status, answer.is_cut) == (200, False)
        assert is_whole(path, answer)
    assert not world.running["entry-1"].logged("fault")


def _assert_unknown(answer: Answer) -> None:
    assert (answer.status, answer.is_cut) == (502, False)
    assert "x-server-signature" not in answer.headers


def _is_served(world: PlatformWorld, path: str) -> bool:
    return world.send(path, X_Deadline_Ms="1500").status == 200


@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
def test_answer_with_an_invalid_status_is_none(world: PlatformWorld, path: str) -> None:
    # Guards against callers whose connection is reset since the status cannot be written to them.
    for framing in (Framing.LENGTH, Framing.CHUNKED, Framing.CONNECTION_END):
        for status in _STATUSES:
            _assert_no_answer(world, path, AnswerForm(framing, status=status))


@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
def test_caller_gets_an_answer_if_every_server_sends_an_invalid_status(
    world: PlatformWorld, path: str
) -> None:
    # Guards against a last try whose invalid status reaches the caller.
    for status in _NUMBERS:
        forms = [AnswerForm(Framing.LENGTH, status=status) for _ in range(8)]
        _assert_unknown(_send(world, path, forms))


def test_answer_with_an_invalid_status_by_way_of_a_peer_is_none(tmp_path: Path) -> None:
    # Guards against judging the status only of answers that come directly.
    bounds = {"revoke_ms": 60_000}
    with CutWorld(tmp_path, instances=2, data_centres=2, bounds=bounds) as world:
        until(
            lambda: world.reported_state("entry-1")["live_instances"] == sorted(world.running),
            "the instances know each other",
        )
        world.cut("entry-1", RESET)
        for path in (*STREAMS, *PLAIN):
            until(partial(_is_served, world, path), "requests go by way of the peer")
            for status in _NUMBERS:
                _assert_no_answer(world, path, AnswerForm(status=status))
