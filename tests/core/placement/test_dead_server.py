"""Test the detection of dead servers and the requests that run on them."""

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
    EndComplete,
    EndRefused,
    EndUnsent,
    RegistryRead,
    ServerAnswered,
    ServerUnreachable,
)


def unresponsive_stream(world: StoreWorld, *, repeatable: bool) -> StartAttempt:
    """Start a stream that sends one event and then nothing."""
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


def count_failed_probes(world: StoreWorld, name: ServerName) -> int:
    """Let time pass while every probe of a server fails; return the number of probes."""
    count = 0
    for _ in range(40):
        for probe in only(world.wait(0.05), ProbeServer):
            if probe.server == name:
                count += 1
                world.give(ServerUnreachable(name, "no connection"))
    return count


@pytest.mark.parametrize("repeatable", [False, True])
def test_dead_server_ends_its_requests(repeatable: bool) -> None:
    """Guards against callers that wait until their deadline for a server without power."""
    world = StoreWorld(engines=5)
    start = unresponsive_stream(world, repeatable=repeatable)
    assert count_failed_probes(world, start.server) >= 2
    (cancelled,) = only(world.effects, CancelAttempt)
    assert cancelled.attempt_id == start.attempt_id
    effects = world.end(start, EndCancelled(0))
    if repeatable:
        assert start_of(effects).server != start.server
    else:
        assert account_of(effects).account.outcome is Outcome.UNKNOWN


def test_stream_resumes_before_its_caller_gives_up() -> None:
    """Guards against resuming a stream too late, where each connection takes 0.35 s to fail."""
    world = StoreWorld(engines=5)
    start = unresponsive_stream(world, repeatable=True)
    silent_since = world.now
    failing: list[tuple[float, ServerName]] = []
    while not only(world.effects, CancelAttempt):
        effects = world.wait(0.05)
        failing += [(world.now + 0.35, each.server) for each in only(effects, ProbeServer)]
        for each in [each for each in failing if each[0] <= world.now]:
            failing.remove(each)
            world.give(ServerUnreachable(each[1], "no connection in 0.35 s"))
        assert world.now < silent_since + 3.0
    assert start_of(world.end(start, EndCancelled(0))).server != start.server
    assert world.now <= silent_since + 1.3


@pytest.mark.parametrize("repeatable", [False, True])
def test_stream_of_a_server_that_was_silent_for_a_second_goes_on(repeatable: bool) -> None:
    """Guards against breaking off a stream that can go on nowhere else when its server pauses."""
    world = StoreWorld(engines=5)
    start = unresponsive_stream(world, repeatable=repeatable)
    for _ in range(24):
        for probe in only(world.wait(0.05), ProbeServer):
            world.give(ServerUnreachable(probe.server, "no connection"))
    assert bool(only(world.effects, CancelAttempt)) == repeatable
    if not repeatable:
        world.begin(start)
        world.wait(0.5)
        assert not only(world.effects, CancelAttempt)
        effects = world.end(start, EndComplete(200))
        assert account_of(effects).account.outcome is Outcome.COMPLETED


def test_failed_send_counts_as_failed_probe() -> None:
    """Guards against ignoring other requests that could not connect to the server."""
    world = StoreWorld(engines=1)
    start = unresponsive_stream(world, repeatable=True)
    world.wait(0.7)
    other = start_of(world.arrive("2", service_class=FIT, prompt_tokens=100))
    assert other.server == start.server
    world.end(other, EndUnsent("no connection in 0.35 s"))
    world.give(ServerUnreachable(start.server, "no connection in 0.35 s"))
    assert [each.attempt_id for each in only(world.effects, CancelAttempt)] == [start.attempt_id]


def test_busy_server_keeps_its_streams() -> None:
    """Guards against giving up streams on a busy server that accepts connections."""
    world = StoreWorld(engines=5)
    start = unresponsive_stream(world, repeatable=True)
    for _ in range(60):
        for probe in only(world.wait(0.05), ProbeServer):
            world.give(ServerAnswered(probe.server))
    cancelled = [
        each for each in only(world.effects, CancelAttempt) if each.reason == "server_dead"
    ]
    assert not cancelled
    assert start.server in world.state.servers.by_name


def test_one_failed_probe_is_not_enough() -> None:
    """Guards against declaring a server dead after one failed probe."""
    world = StoreWorld(engines=5)
    start = unresponsive_stream(world, repeatable=False)
    has_failed = False
    for _ in range(60):
        for probe in only(world.wait(0.05), ProbeServer):
            if has_failed:
                world.give(ServerAnswered(probe.server))
            else:
                has_failed = True
                world.give(ServerUnreachable(start.server, "no connection"))
    assert has_failed
    assert not only(world.effects, CancelAttempt)
    assert not only(world.effects, FinishRequest)


def test_long_prefill_is_not_unresponsive() -> None:
    """Guards against cancelling a long prefill because other answers of the server were fast."""
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


def test_streams_of_crashed_server_resume_at_once() -> None:
    """Guards against delaying the resumption of streams after a crash.

    Streams that had run for a while cannot have caused the crash; one that had not begun may have,
    and must wait for an isolated run.
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
    pending_start = start_of(world.arrive("unbegun", fingerprint="print-unbegun", **fields))
    world.sent(pending_start)
    other = world.entry("lm-2", "lm")
    world.give(RegistryRead(((other, 2),)))
    for start in starts:
        effects = world.end(start, EndBroken("reset", server_alive=False))
        assert start_of(effects).server == other.name
    assert not only(world.end(pending_start, EndBroken("reset", server_alive=False)), StartAttempt)


def test_refused_call_goes_to_another_server() -> None:
    """Guards against ending a single-send call because a leaving server refused it unrun."""
    world = StoreWorld(engines=2)
    start = start_of(world.arrive("1", service_class=FIT, prompt_tokens=100, sends_max=1))
    world.sent(start)
    second_start = start_of(world.end(start, EndRefused(421, leaving=True)))
    assert second_start.server != start.server
    world.sent(second_start)
    effects = world.end(second_start, EndBroken("reset", server_alive=True))
    assert account_of(effects).account.outcome is Outcome.UNKNOWN
