"""Tests of answers without a length whose servers go while they answer.

The end of such an answer is the end of its connection, which the exit of a server causes too.
"""

from __future__ import annotations

import http.client
from contextlib import suppress
from functools import partial
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
from tests.platform.platform_world import Departure, PlatformWorld, until
from tests.platform.slow_callers import SlowCaller
from tests.platform.standin_answers import AnswerForm, Break, Framing
from tests.platform.standin_server import stream_of

BORN = 1_700_000_000_000
EVENT_INTERVAL_S = 0.05
HALF = AnswerForm(Framing.CONNECTION_END, Break.AFTER_PART)
HALF_UNREAD = AnswerForm(Framing.CONNECTION_END, Break.AFTER_PART, is_unread=True)
WHOLE = AnswerForm(Framing.CONNECTION_END)
ENGINES = ("lm-1", "lm-2")
# Half of such a stream does not fit into the kernel's buffers.
MANY_EVENTS = 4_000
LONG = "x" * 5_000


@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
@pytest.mark.parametrize("departure", Departure, ids=lambda each: each.value)
def test_half_an_answer_of_a_server_that_goes_never_looks_whole(
    tmp_path: Path, departure: Departure, path: str
) -> None:
    # Guards against taking the end of a server's process for the end of its answer.
    with CutWorld(tmp_path, born=BORN) as world:
        for name in world.servers:
            world.go_at_break(name, departure)
        assert_true_end(path, send_in_form(world, path, "entry-1", HALF))


def test_half_an_answer_of_a_server_whose_first_entry_names_no_start_never_looks_whole(
    tmp_path: Path,
) -> None:
    # Guards against taking a name alone for the same start of a server.
    with PlatformWorld(tmp_path) as world:
        for name in world.servers:
            world.go_at_break(name, Departure.RESTARTED)
        assert_true_end("/shop/buy/", send_in_form(world, "/shop/buy/", "entry-1", HALF))


@pytest.mark.parametrize("path", STREAMS)
@pytest.mark.parametrize("instance", ["entry-1", "entry-2"], ids=["directly", "by_way_of_a_peer"])
def test_half_a_stream_that_its_caller_reads_late_never_looks_whole(
    tmp_path: Path, instance: str, path: str
) -> None:
    # Guards against taking the next start of a server, which was back before the end was read, for
    # the one that sent the stream.
    with CutWorld(tmp_path, instances=2, born=BORN) as world:
        world.cut("entry-2", REFUSE_NEW)
        until(partial(_serves, world, "entry-2"), "the instance without paths serves")
        forms = [HALF_UNREAD]
        for name in ENGINES:
            server = world.servers[name]
            server.event_count, server.version, server.forms = MANY_EVENTS, LONG, forms
            world.go_at_break(name, Departure.EXITED_AND_BACK)
        with SlowCaller(world, path, instance=instance) as caller:
            until(lambda: bool(world.returned_servers), "the server is back")
            with suppress(http.client.IncompleteRead, ConnectionResetError):
                assert caller.read_body() == stream_of(MANY_EVENTS, LONG)


@pytest.mark.parametrize("path", PLAIN)
def test_whole_answer_without_another_connection_arrives_whole(tmp_path: Path, path: str) -> None:
    # Guards against breaking off whole answers of servers with which there is no other connection.
    with PlatformWorld(tmp_path) as world:
        answer = send_in_form(world, path, "entry-1", WHOLE)
        assert (answer.status, answer.is_cut) == (200, False)
        assert is_whole(path, answer)


def test_whole_stream_without_another_connection_arrives_whole(tmp_path: Path) -> None:
    # Guards against breaking off a stream that ends before another connection is open.
    with PlatformWorld(tmp_path, born=BORN) as world:
        answer = send_in_form(world, "/lm/doc/", "entry-1", WHOLE)
        assert (answer.status, answer.is_cut) == (200, False)
        assert is_whole("/lm/doc/", answer)


@pytest.mark.parametrize("departure", [Departure.EXITED_AND_BACK, Departure.RESTARTED])
def test_half_a_stream_of_an_earlier_start_never_looks_whole(
    tmp_path: Path, departure: Departure
) -> None:
    # Guards against a report of the next start that is taken for one of the start that answered.
    with PlatformWorld(tmp_path, born=BORN) as world:
        for name in ENGINES:
            world.go_at_break(name, departure)
        assert_true_end("/lm/doc/", send_in_form(world, "/lm/doc/", "entry-1", HALF))


@pytest.mark.parametrize("path", ["/lm/doc/", "/lm/chat/", "/shop/buy/"])
@pytest.mark.parametrize("departure", Departure, ids=lambda each: each.value)
def test_half_an_answer_by_way_of_a_peer_never_looks_whole(
    tmp_path: Path, departure: Departure, path: str
) -> None:
    # Guards against skipping the check where a peer carries the connection.
    with CutWorld(tmp_path, instances=2, born=BORN) as world:
        world.cut("entry-2", REFUSE_NEW)
        until(partial(_serves, world, "entry-2"), "the instance without paths serves")
        for name in world.servers:
            world.go_at_break(name, departure)
        assert_true_end(path, send_in_form(world, path, "entry-2", HALF))


@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
def test_whole_answer_of_a_server_that_is_leaving_arrives_whole(tmp_path: Path, path: str) -> None:
    # Guards against breaking off the answers that a server completes before it goes.
    with PlatformWorld(tmp_path, born=BORN) as world:
        # A connection is left from earlier calls, or there is time to open one.
        assert world.send(path).status == 200
        for server in world.servers.values():
            server.is_leaving = True
            server.event_interval_s = EVENT_INTERVAL_S
        answer = send_in_form(world, path, "entry-1", WHOLE)
        assert (answer.status, answer.is_cut) == (200, False)
        assert is_whole(path, answer)


@pytest.mark.parametrize("path", STREAMS)
def test_stream_without_a_length_and_without_an_event_never_looks_whole(
    tmp_path: Path, path: str
) -> None:
    # Guards against a head that is taken for an empty answer when its server closes.
    with PlatformWorld(tmp_path) as world:
        form = AnswerForm(Framing.CONNECTION_END, Break.AFTER_HEAD)
        assert_true_end(path, send_in_form(world, path, "entry-1", form))


def test_resumed_stream_does_not_end_with_a_head_alone(tmp_path: Path) -> None:
    # Guards against a head without a length that ends the stream of the server before.
    with PlatformWorld(tmp_path) as world:
        forms = [
            AnswerForm(Framing.CHUNKED, Break.AFTER_PART),
            AnswerForm(Framing.CONNECTION_END, Break.AFTER_HEAD),
        ]
        for name in ENGINES:
            world.servers[name].forms = forms
        assert_true_end("/lm/chat/", world.send("/lm/chat/"))
        assert not forms


def _serves(world: CutWorld, instance: str) -> bool:
    paths = (*STREAMS, *PLAIN)
    return all(world.send(path, instance=instance).status == 200 for path in paths)
