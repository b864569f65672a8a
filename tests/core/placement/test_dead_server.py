"""Servers that die without a word, and the callers that wait for them."""

from __future__ import annotations

import pytest

from tests.core.store_world import FIT, StoreWorld, account_of, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import (
    CancelAttempt,
    FinishRequest,
    ProbeServer,
    StartAttempt,
)
from turmericweir_core.messages.events import (
    EndBroken,
    EndCancelled,
    EndRefused,
    EndUnsent,
    RegistryRead,
    ServerAnswered,
    ServerUnreachable,
)


def silent_on(world: StoreWorld, *, repeatable: bool) -> StartAttempt:
    """Have a stream begin and fall silent."""
    start = start_of(
        world.arrive(
            "1",
            service_class=FIT,
            prompt_tokens=1_000,
            parts=(("a", 900),),
            repeatable=repeatable,
            sends_max=2,
        )
    )
    world.sent(start)
    world.now += 0.1
    world.begin(start)
    return start


def tries(world: StoreWorld, name: ServerName) -> int:
    """Let time pass, every try of a server failing; count them."""
    count = 0
    for _ in range(40):
        for probe in only(world.wait(0.05), ProbeServer):
            if probe.server == name:
                count += 1
                world.give(ServerUnreachable(name, "no connection"))
    return count


@pytest.mark.parametrize("repeatable", [False, True])
def test_a_caller_of_a_dead_server_is_not_left_waiting(repeatable: bool) -> None:
    """The server loses power after the first event; its connection stays open and silent.

    The caller would wait for the rest until its deadline, twelve seconds. A new connection fails
    twice: what may go on elsewhere does, and the caller of the other is told at once.
    """
    world = StoreWorld(engines=5)
    start = silent_on(world, repeatable=repeatable)
    assert tries(world, start.server) >= 2
    (cancelled,) = only(world.effects, CancelAttempt)
    assert cancelled.attempt_id == start.attempt_id
    effects = world.end(start, EndCancelled(0))
    if repeatable:
        assert start_of(effects).server != start.server
    else:
        assert account_of(effects).account.outcome is Outcome.UNKNOWN


def test_a_stream_goes_on_elsewhere_before_its_caller_gives_it_up() -> None:
    """A data centre is cut off; a caller there would wait for two seconds without an event.

    Each new connection to the server takes 0.35 s to fail. Whoever takes the stream up needs some
    time as well, so the other server has it while at least 0.7 s are left.
    """
    world = StoreWorld(engines=5)
    start = silent_on(world, repeatable=True)
    silent_since = world.now
    failing: list[tuple[float, ServerName]] = []
    while not only(world.effects, CancelAttempt):
        found = world.wait(0.05)
        failing += [(world.now + 0.35, each.server) for each in only(found, ProbeServer)]
        for each in [each for each in failing if each[0] <= world.now]:
            failing.remove(each)
            world.give(ServerUnreachable(each[1], "no connection in 0.35 s"))
        assert world.now < silent_since + 3.0
    assert start_of(world.end(start, EndCancelled(0))).server != start.server
    assert world.now <= silent_since + 1.3


def test_a_request_that_cannot_be_sent_counts_as_a_try() -> None:
    """Others are sent to the server that is silent, and cannot connect to it."""
    world = StoreWorld(engines=1)
    start = silent_on(world, repeatable=False)
    world.wait(0.7)
    other = start_of(world.arrive("2", service_class=FIT, prompt_tokens=100))
    assert other.server == start.server
    world.end(other, EndUnsent("no connection in 0.35 s"))
    world.give(ServerUnreachable(start.server, "no connection in 0.35 s"))
    assert [each.attempt_id for each in only(world.effects, CancelAttempt)] == [start.attempt_id]


def test_a_busy_server_is_left_in_peace() -> None:
    """Its connection is silent for long, and a new one works each time."""
    world = StoreWorld(engines=5)
    start = silent_on(world, repeatable=True)
    for _ in range(60):
        for probe in only(world.wait(0.05), ProbeServer):
            world.give(ServerAnswered(probe.server))
    cancelled = [
        each for each in only(world.effects, CancelAttempt) if each.reason == "server_dead"
    ]
    assert not cancelled
    assert start.server in world.state.servers.by_name


def test_one_lost_packet_is_no_death() -> None:
    world = StoreWorld(engines=5)
    start = silent_on(world, repeatable=False)
    failed = False
    for _ in range(60):
        for probe in only(world.wait(0.05), ProbeServer):
            if failed:
                world.give(ServerAnswered(probe.server))
            else:
                failed = True
                world.give(ServerUnreachable(start.server, "no connection"))
    assert failed
    assert not only(world.effects, CancelAttempt)
    assert not only(world.effects, FinishRequest)


def test_a_long_prompt_is_not_taken_for_a_silent_connection() -> None:
    """Others were answered at once by that server; this prompt is predicted to take 0.8 s.

    Stopped after 0.3 s, it would be read from the beginning by another engine.
    """
    world = StoreWorld(engines=5)
    for number in range(3):
        quick = start_of(
            world.arrive(
                f"q{number}", service_class=FIT, prompt_tokens=100, parts=((f"q{number}", 100),)
            )
        )
        world.sent(quick)
        world.now += 0.02
        world.begin(quick)
    long = start_of(
        world.arrive(
            "1",
            service_class=FIT,
            prompt_tokens=30_000,
            parts=(("a", 30_000),),
            repeatable=True,
            sends_max=2,
        )
    )
    world.sent(long)
    world.wait(0.8)
    assert not only(world.effects, CancelAttempt)


def test_streams_of_a_crashed_server_go_on_at_once() -> None:
    """An engine crashes with three streams that may be resumed and have run for half a second.

    Their callers leave two seconds after the last event. None of the streams can have crashed the
    engine as it was begun, so all go on elsewhere at once and together. One that had not begun may
    be what crashed it, and waits for a server where it runs alone.
    """
    world = StoreWorld(engines=1)
    fields = {"service_class": FIT, "repeatable": True, "sends_max": 2, "prompt_tokens": 100}
    starts = [
        start_of(world.arrive(str(number), fingerprint=f"print-{number}", **fields))
        for number in range(3)
    ]
    for start in starts:
        world.sent(start)
        world.begin(start)
    world.wait(0.5)
    for start in starts:
        world.begin(start)
    unbegun = start_of(world.arrive("unbegun", fingerprint="print-unbegun", **fields))
    world.sent(unbegun)
    other = world.entry("lm-2", "lm")
    world.give(RegistryRead(((other, 2),)))
    for start in starts:
        effects = world.end(start, EndBroken("reset", server_alive=False))
        assert start_of(effects).server == other.name
    assert not only(world.end(unbegun, EndBroken("reset", server_alive=False)), StartAttempt)


def test_a_call_that_a_server_has_not_run_goes_on_to_another() -> None:
    """A call that one server may run is refused by a server whose place another one has taken.

    Nothing has run it, so its caller is served by the next server rather than told to come again.
    """
    world = StoreWorld(engines=2)
    start = start_of(world.arrive("1", service_class=FIT, prompt_tokens=100, sends_max=1))
    world.sent(start)
    again = start_of(world.end(start, EndRefused(421, leaving=True)))
    assert again.server != start.server
    world.sent(again)
    effects = world.end(again, EndBroken("reset", server_alive=True))
    assert account_of(effects).account.outcome is Outcome.UNKNOWN
