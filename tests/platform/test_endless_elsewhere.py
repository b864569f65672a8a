"""Tests of answers without an end by way of a peer, of the platform, and to status checks."""

from __future__ import annotations

import http.client
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.platform.answer_ends import send_in_form
from tests.platform.crowds import MEMORY_MB, assert_unharmed, one_at_a_time
from tests.platform.cut_world import RESET, CutWorld
from tests.platform.endless_platform import EndlessDuties, EndlessStore, StoreFault
from tests.platform.platform_world import PlatformWorld, until
from tests.platform.standin_answers import AnswerForm, Framing
from tests.platform.standin_endless import Endless, EndlessAnswer, LargeHead
from tests.platform.standin_store import SERVERS
from tests.platform.test_duties import DUTIES

_MACHINE = {"memory_mb": MEMORY_MB}
_CALLERS = 24
_MANY_CALLERS = 60
# Not more than the slots of an engine.
_HEADS_PER_ENGINE = 60
_HEAD_LINES = 12_000
_BORN = 1_700_000_000_000
# Faulty answers of the store, unless it is asked less often.
_STORE_ANSWERS = 400
_STORE_CALLS = 6
# Parts in which each layer of the reader ends an answer.
_PARTS = (
    Endless.HEAD,
    Endless.HEAD_LINES,
    Endless.INTERIM_LINES,
    Endless.CHUNK_EXTENSIONS,
    Endless.UNFRAMED_BODY,
    Endless.TRAILER_LINES,
)
_LINES = (Endless.HEAD_LINES, Endless.INTERIM_LINES, Endless.TRAILER_LINES)


@pytest.fixture(autouse=True)
def _alone() -> Iterator[None]:
    with one_at_a_time():
        yield


def _send_all(world: PlatformWorld, count: int, path: str, instance: str = "entry-1") -> None:
    def send(_: int) -> None:
        try:
            world.send(path, instance=instance, X_Deadline_Ms="6000")
        except OSError:
            # The caller may be cut off.
            return

    with ThreadPoolExecutor(count) as pool:
        list(pool.map(send, range(count)))


def _set_endless(world: PlatformWorld, answer: EndlessAnswer | None) -> None:
    for server in world.servers.values():
        server.endless = answer


@pytest.mark.parametrize("part", _PARTS)
def test_answers_without_end_by_way_of_a_peer(tmp_path: Path, part: Endless) -> None:
    # Guards against bounds that hold only where an instance reaches the server itself.
    with CutWorld(tmp_path, instances=2, machine=_MACHINE) as world:
        world.cut("entry-1", RESET)
        until(partial(_is_served, world, "entry-1"), "the instance without paths serves")
        answer = EndlessAnswer(part, is_streaming=True)
        _set_endless(world, answer)
        _send_all(world, _CALLERS, "/lm/doc/")
        assert answer.written
        _set_endless(world, None)
        assert_unharmed(world)


def _is_served(world: CutWorld, instance: str) -> bool:
    sends = (world.send_safe, partial(world.send, "/lm/chat/"))
    return all(send(instance=instance, X_Deadline_Ms="1500").status == 200 for send in sends)


@pytest.mark.parametrize("part", _LINES)
@pytest.mark.parametrize("path", ["/lm/doc/", "/shop/buy/"])
def test_short_lines_without_end_leave_an_instance_serving(
    tmp_path: Path, part: Endless, path: str
) -> None:
    # Guards against lines that take many times their size as objects.
    with PlatformWorld(tmp_path, machine=_MACHINE) as world:
        answer = EndlessAnswer(part, is_streaming=path.startswith("/lm"))
        _set_endless(world, answer)
        _send_all(world, _MANY_CALLERS, path)
        assert answer.written
        _set_endless(world, None)
        assert_unharmed(world)


@pytest.mark.parametrize("engines", [4, 10])
def test_heads_of_many_short_lines_leave_an_instance_serving(tmp_path: Path, engines: int) -> None:
    # Guards against heads within the bound on their bytes that are held as many objects.
    with PlatformWorld(tmp_path, engines=engines, machine=_MACHINE) as world:
        answer = LargeHead(Endless.HEAD_LINES, is_streaming=True, line_count=_HEAD_LINES)
        _set_endless(world, answer)
        _send_all(world, _HEADS_PER_ENGINE * engines, "/lm/doc/")
        assert answer.written
        _set_endless(world, None)
        assert_unharmed(world)


def test_answer_with_many_headers_is_passed_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a bound on lines that an ordinary answer meets.
    monkeypatch.setattr(http.client, "_MAXHEADERS", 2_000)
    with PlatformWorld(tmp_path, machine=_MACHINE) as world:
        for server in world.servers.values():
            server.more_headers = {f"X-Extra-{number}": "x" * 20 for number in range(1_000)}
        for path in ("/lm/doc/", "/shop/buy/"):
            answer = world.send(path, body=b"one")
            assert (answer.status, answer.is_cut) == (200, False)


@pytest.mark.parametrize("part", _PARTS)
def test_store_that_answers_without_end_leaves_an_instance_serving(
    tmp_path: Path, part: Endless
) -> None:
    # Guards against a faulty store that ends every process.
    store = EndlessStore()
    with PlatformWorld(tmp_path, machine=_MACHINE, store=store) as world:
        answer = store.endless = EndlessAnswer(part)
        until(lambda: answer.closed >= _STORE_CALLS, "answers of the store were closed")
        store.endless = None
        assert_unharmed(world)


@pytest.mark.parametrize("fault", StoreFault)
def test_store_without_an_end_of_records_leaves_an_instance_serving(
    tmp_path: Path, fault: StoreFault
) -> None:
    # Guards against records without an end in answers of legal size.
    store = EndlessStore()
    with PlatformWorld(tmp_path, machine=_MACHINE, store=store) as world:
        store.fault = fault
        until(lambda: _has_sent_enough(store), "the faulty answers were read")
        store.fault = None
        assert_unharmed(world)


def test_more_records_than_are_read_at_a_time_are_read_to_their_end(tmp_path: Path) -> None:
    # Guards against a bound on records that hides those behind it.
    with PlatformWorld(tmp_path) as world:
        world.at_once(lambda: world.store.topics[SERVERS].records.extend([("gone", b"")] * 120_000))
        world.add_server("shop-9", "shop")
        instance = world.running["entry-1"]
        until(lambda: world.has_listed_servers(instance), "the server behind them is listed")


def _has_sent_enough(store: EndlessStore) -> bool:
    if store.fault is StoreFault.PAGES:
        return store.faulty_answers >= _STORE_ANSWERS or store.begun_snapshots > 3
    return store.faulty_answers >= 3


@pytest.mark.parametrize("part", _PARTS)
def test_platform_that_answers_duties_without_end_leaves_an_instance_serving(
    tmp_path: Path, part: Endless
) -> None:
    # Guards against an answer to the holder of the duties that ends its process.
    duty_standin = EndlessDuties()
    duties: dict[str, Any] = dict(DUTIES)
    with PlatformWorld(
        tmp_path, machine=_MACHINE, duties=duties, duty_standin=duty_standin
    ) as world:
        until(lambda: bool(duty_standin.holders()), "the instance holds the duties")
        answer = duty_standin.endless = EndlessAnswer(part)
        assert world.send_safe().status == 200
        until(lambda: answer.closed >= _STORE_CALLS // 2, "answers of the platform were closed")
        accepted = len(duty_standin.accepted)
        duty_standin.endless = None
        until(lambda: len(duty_standin.accepted) > accepted, "the next report is accepted")
        assert_unharmed(world)


@pytest.mark.parametrize("part", _PARTS)
def test_status_checks_answered_without_end_leave_an_instance_serving(
    tmp_path: Path, part: Endless
) -> None:
    # Guards against an answer to a status check that is kept whole.
    with PlatformWorld(tmp_path, machine=_MACHINE, born=_BORN) as world:
        answer = EndlessAnswer(part)
        for server in world.servers.values():
            server.endless_check = answer
        for path in ("/lm/doc/", "/shop/buy/"):
            send_in_form(world, path, "entry-1", AnswerForm(Framing.CONNECTION_END))
        assert answer.written
        for server in world.servers.values():
            server.endless_check = None
        assert_unharmed(world)
