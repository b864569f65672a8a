"""Tests of answers that servers break off, in every framing, directly and by way of a peer."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
from pathlib import Path

import pytest

from tests.platform.answer_ends import (
    PLAIN,
    STREAMS,
    assert_true_end,
    is_whole,
    send_in_form,
)
from tests.platform.cut_world import REFUSE_NEW, CutWorld
from tests.platform.platform_world import PlatformWorld, until
from tests.platform.standin_answers import AnswerForm, Break, Framing

DIRECT = "entry-2"
CARRIED = "entry-1"


@pytest.fixture(scope="module")
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[CutWorld]:
    """Yield a world in which one instance reaches all servers by way of the other only."""
    directory = tmp_path_factory.mktemp("broken_off")
    with CutWorld(directory, instances=2, bounds={"retry_ratio": 100}) as world:
        until(lambda: all(_knows_both(world, name) for name in world.running), "instances meet")
        world.cut(CARRIED, REFUSE_NEW)
        until(lambda: _serves(world), "the instance without paths serves")
        yield world


def _knows_both(world: CutWorld, name: str) -> bool:
    return len(world.reported_state(name)["live_instances"]) == len(world.running)


def _serves(world: CutWorld) -> bool:
    paths = (*STREAMS, *PLAIN)
    return all(world.send(path, instance=CARRIED).status == 200 for path in paths)


def _forms(*, told: bool) -> list[tuple[str, AnswerForm]]:
    """Return the forms that are broken off, and whose callers can be told so or cannot."""
    forms = []
    breaks = [each for each in Break if each is not Break.NOWHERE]
    for path, framing, where, is_reset in product(
        (*STREAMS, *PLAIN), Framing, breaks, (False, True)
    ):
        shows_break = framing is not Framing.CONNECTION_END or is_reset
        shows_break |= path in STREAMS and where is Break.IN_PART
        if shows_break is told:
            forms.append((path, AnswerForm(framing, where, is_reset)))
    return forms


@pytest.mark.parametrize("instance", [DIRECT, CARRIED])
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
def test_whole_answer_arrives_in_every_framing(
    world: CutWorld, path: str, framing: Framing, instance: str
) -> None:
    # Guards against whole answers that are taken for broken ones.
    answer = send_in_form(world, path, instance, AnswerForm(framing))
    assert (answer.status, answer.is_cut) == (200, False)
    assert is_whole(path, answer)


@pytest.mark.parametrize("instance", [DIRECT, CARRIED])
@pytest.mark.parametrize(("path", "form"), _forms(told=True), ids=str)
def test_answer_that_was_broken_off_never_looks_complete(
    world: CutWorld, path: str, form: AnswerForm, instance: str
) -> None:
    # Guards against callers that take half an answer for the whole.
    answer = send_in_form(world, path, instance, form)
    assert_true_end(path, answer)


@pytest.mark.parametrize("breaks", [Break.AFTER_HEAD, Break.AFTER_PART])
@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
def test_unframed_answer_of_a_server_that_is_gone_is_not_complete(
    tmp_path: Path, path: str, breaks: Break
) -> None:
    # Guards against the crash of a server that looks like the end of its answer.
    with PlatformWorld(tmp_path) as world:
        for name in world.servers:
            world.close_port_at_break(name)
        answer = send_in_form(world, path, "entry-1", AnswerForm(Framing.CONNECTION_END, breaks))
        assert_true_end(path, answer)


def test_half_an_answer_of_a_server_that_said_it_is_leaving_is_not_complete(
    tmp_path: Path,
) -> None:
    # Guards against taking the exit of a server that leaves for the end of its answer.
    with PlatformWorld(tmp_path, engines=1) as world:
        world.close_port_at_break("lm-1")
        world.servers["lm-1"].is_leaving = True
        form = AnswerForm(Framing.CONNECTION_END, Break.AFTER_PART)
        assert send_in_form(world, "/lm/doc/", "entry-1", form).is_cut


def test_inferred_end_is_logged_with_its_evidence(tmp_path: Path) -> None:
    # Guards against answers that end as complete without a trace of what that was inferred from.
    with PlatformWorld(tmp_path) as world:
        send_in_form(world, "/lm/doc/", "entry-1", AnswerForm(Framing.CONNECTION_END))
        instance = world.running["entry-1"]
        until(lambda: bool(instance.logged("end_inferred")), "the inferred end is logged")
        (line,) = instance.logged("end_inferred")
        assert (line["framing"], line["is_complete"]) == ("connection_end", True)
        assert line["request_id"]
        assert line["evidence"]
