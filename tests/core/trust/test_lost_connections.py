"""Tests of the detection of lost connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import pytest

from tests.core.fault_world import CLASS, FaultWorld
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import ServiceClass, ServiceKind
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.events import ServerReport

COMPLETED = (Outcome.COMPLETED, "ok")


def send_on_lost_connection(world: FaultWorld, name: str) -> ServerName:
    """Send a request over a connection that is lost, and return its server."""
    before = len(world.runs)
    world.arrive(name)
    server = world.runs[before][1]
    world.lost.add(name)
    return server


def test_first_token_that_does_not_come() -> None:
    # A request on a lost connection, which the server's report does not count, is answered by
    # another server long before its deadline. The first server stays in use.
    world = FaultWorld(servers=2)
    world.tick()
    server = send_on_lost_connection(world, "one")
    world.advance(world.options.first_silence_s + 0.5)
    assert len(world.runs) == 2
    assert world.runs[1][1] != server
    assert server in world.probes
    world.lost.clear()
    world.advance_until_done()
    assert world.outcome("one") == COMPLETED
    state = next(iter(world.states.values()))
    assert state.servers.by_name[server].unreachable_until <= world.now


def test_stream_that_goes_silent_is_resumed() -> None:
    # A stream that stops is resumed on another server from the next token.
    world = FaultWorld(servers=2)
    world.tick()
    world.arrive("one")
    world.advance(1.0)
    delivered = next(iter(world.states.values())).requests[next(iter(world.requests()))].delivered
    world.lost.add("one")
    world.advance(world.options.silence_s + 0.3)
    world.lost.clear()
    assert [run.start.resume_from for run in world.attempts("one")] == [delivered]
    world.advance_until_done()
    assert world.outcome("one") == COMPLETED
    assert world.accounts[next(iter(world.accounts))].tokens == world.length


def test_suspicions_of_one_tick_share_the_budget() -> None:
    # With budget for one retry, only one of several overdue requests is retried. Prevents the
    # others from being cancelled and failing.
    world = FaultWorld(servers=2)
    world.tick()
    names = ["one", "two", "three"]
    for name in names:
        send_on_lost_connection(world, name)
    state = next(iter(world.states.values()))
    state.retries.tokens = 1.5
    world.advance(world.options.first_silence_s + 0.5)
    assert len(world.runs) == len(names) + 1
    world.lost.clear()
    world.advance_until_done()
    assert [world.outcome(name) for name in names] == [COMPLETED] * len(names)


def test_busy_server_is_given_time() -> None:
    # The server's report counts the request. Prevents a retry that would lose its place there.
    world = FaultWorld(servers=2)
    world.tick()
    server = send_on_lost_connection(world, "one")
    world.busy.add(server)
    world.advance(world.options.first_silence_s + 1.0)
    assert len(world.runs) == 1


def test_half_of_the_deadline_limits_the_wait() -> None:
    # A request that the report seems to count is retried at half of the time to its deadline.
    world = FaultWorld(servers=2)
    world.tick()
    before = len(world.runs)
    world.arrive("one", deadline_s=10.0)
    world.busy.add(world.runs[before][1])
    world.lost.add("one")
    world.advance(5.2)
    assert len(world.runs) == 2
    world.lost.clear()
    world.advance_until_done()
    assert world.outcome("one") == COMPLETED


def test_later_request_was_started_first() -> None:
    # The report counts as many requests as were sent, but the server has started a later request
    # that is not more urgent, so the first one is retried.
    world = FaultWorld(servers=1)
    world.tick()
    server = send_on_lost_connection(world, "one")
    world.busy.add(server)
    world.tick()
    world.arrive("two")
    world.advance(world.options.first_silence_s + 0.5)
    assert [fingerprint for fingerprint, _ in world.runs].count("one") == 2


def test_call_that_must_not_be_repeated_is_not_retried() -> None:
    # A call that must not be repeated is not retried, and has an unknown outcome at its deadline.
    world = FaultWorld(servers=2, kind=ServiceKind.PLAIN)
    world.tick()
    world.arrive("reserve", repeatable=False, deadline_s=8.0)
    world.lost.add("reserve")
    world.advance(10.0)
    assert len(world.runs) == 1
    assert world.outcome("reserve")[0] is Outcome.UNKNOWN


def test_no_suspicion_without_budget_for_a_retry() -> None:
    # Prevents the cancellation of an attempt that cannot be retried.
    world = FaultWorld(servers=2)
    state = next(iter(world.states.values()))
    world.tick()
    send_on_lost_connection(world, "one")
    state.retries.tokens = 0.0
    world.advance(world.options.first_silence_s + 1.0)
    assert len(world.runs) == 1
    world.lost.clear()
    world.advance_until_done()
    assert world.outcome("one") == COMPLETED


def test_report_from_before_the_attempt_proves_nothing() -> None:
    # Prevents a report from before the attempt from counting as evidence that the server has it.
    world = FaultWorld(servers=1)
    name = ServerName("s0")
    report = ServerReport(name, "1", 1, running=5, waiting=5, slots=8, models=world.models)
    for instance in world.states:
        world.event(instance, report)
    world.no_reports = True
    world.tick()
    send_on_lost_connection(world, "one")
    world.advance(world.options.first_silence_s + 0.5)
    assert len(world.runs) == 2


# --- early evidence --------------------------------------------------------------------------

LOWER: Final = ServiceClass("draft", 2, target_s=5.0, deadline_s=60.0)
# Longer than the early detection at one token per tick, and shorter than the long waits.
EARLY_DETECTION_S: Final = 1.1


@dataclass(frozen=True, slots=True)
class StreamCase:
    """Streams that stop on some servers, and whether they are retried early."""

    # Whether the connections are lost or the servers frozen.
    stops: str
    # Number of stopped streams, of three servers with a stream each.
    stopped: int
    moved: bool
    service_class: ServiceClass = CLASS
    # Number of waiting requests in the engines' reports.
    waiting: int = 0
    # Number of retries in the budget.
    budget: float = 20.0


STREAM_CASES: Final = {
    # Streams of several servers stop while all servers answer new connections.
    "lost_together": StreamCase("lost", 3, moved=True),
    # Engines with free slots do not preempt a lower tier.
    "lower_tier_with_room": StreamCase("lost", 3, moved=True, service_class=LOWER),
    # Full engines may have preempted the streams.
    "lower_tier_at_full_engines": StreamCase(
        "lost", 3, moved=False, service_class=LOWER, waiting=9
    ),
    # Frozen engines answer no probe.
    "frozen": StreamCase("frozen", 3, moved=False),
    # Without retries in the budget no attempt is suspected.
    "no_budget": StreamCase("lost", 3, moved=False, budget=0.0),
}


@pytest.mark.parametrize("case", STREAM_CASES.values(), ids=STREAM_CASES)
def test_streams_that_stop(case: StreamCase) -> None:
    world = FaultWorld(servers=3, length=60, options=Options(retry_share=0.0))
    world.config.classes[LOWER.name] = LOWER
    state = next(iter(world.states.values()))
    world.tick()
    names = ["one", "two", "three"]
    for name in names:
        world.arrive(name, service_class=case.service_class)
    world.advance(1.0)
    runs_before = len(world.runs)
    assert len({server for _, server in world.runs}) == 3
    state.retries.tokens = case.budget
    world.waiting = case.waiting
    stopped = [world.attempts(name)[0] for name in names[: case.stopped]]
    for run in stopped:
        if case.stops == "lost":
            world.lost.add(run.fingerprint)
        world.busy.add(run.start.server)
        world.servers[run.start.server].frozen = case.stops == "frozen"
    delivered = [run.tokens for run in stopped]
    world.advance(EARLY_DETECTION_S)
    for name in world.servers:
        # A resumed server answers a probe before it generates the next token.
        world.resume(name)
    world.tick()
    assert len(world.runs) - runs_before == (case.stopped if case.moved else 0)
    # A retried stream resumes after the last delivered token.
    for run, token in zip(stopped, delivered, strict=True):
        moved = [each.start for each in world.attempts(run.fingerprint)]
        expected = [token] if case.moved else [0]
        assert [start.resume_from for start in moved] == expected
        assert [start.needs_new_connection for start in moved] == [case.moved]


def test_server_that_stalls_briefly() -> None:
    # Prevents a retry when a single server generates no tokens for a short time but answers probes.
    world = FaultWorld(servers=3, length=60)
    world.tick()
    for name in ("one", "two", "three"):
        world.arrive(name)
    world.advance(1.0)
    server = world.attempts("one")[0].start.server
    world.servers[server].stalled = True
    world.advance(0.6)
    assert world.probes.count(server) > 0
    world.servers[server].stalled = False
    world.advance_until_done()
    assert len(world.runs) == 3


def test_servers_that_all_become_slow() -> None:
    # Prevents retries when all servers become slower under peak load.
    world = FaultWorld(servers=3, length=30)
    world.tick()
    for name in ("one", "two", "three"):
        world.arrive(name)
    world.advance(1.0)
    while world.requests():
        for server in world.servers.values():
            server.stalled = True
        world.advance(0.2)
        for server in world.servers.values():
            server.stalled = False
        world.tick()
    assert len(world.runs) == 3


@pytest.mark.parametrize("is_reused", [True, False])
def test_plain_call_that_its_server_does_not_count(is_reused: bool) -> None:
    # A call on a lost reused connection, which its server does not count, is retried over a new
    # connection. A call on a new connection has reached its server and is not retried.
    world = FaultWorld(servers=2, kind=ServiceKind.PLAIN, length=1)
    for name in ("first", "second"):
        world.arrive(name)
        world.tick()
    world.kept_connections = is_reused
    server = send_on_lost_connection(world, "one")
    world.advance(EARLY_DETECTION_S)
    assert [run.start.needs_new_connection for run in world.attempts("one")] == [is_reused]
    assert (world.config.servers[server].address in world.distrusted) == is_reused
    world.lost.clear()
    world.advance_until_done()
    assert world.outcome("one") == COMPLETED
    assert len(world.runs) == (4 if is_reused else 3)
