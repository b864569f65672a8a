"""Connections that go silent: when an attempt is doubted, and when waiting on is right."""

from __future__ import annotations

from tests.core.fault_world import FaultWorld
from turmericweir_core.account import Outcome
from turmericweir_core.config import Kind
from turmericweir_core.events import ServerReport
from turmericweir_core.ids import ServerName

COMPLETED = (Outcome.COMPLETED, "ok")


def mute_first(world: FaultWorld, name: str) -> ServerName:
    """Let a request arrive, and nothing come back over its connection; return its server."""
    before = len(world.runs)
    world.arrive(name)
    server = world.runs[before][1]
    world.lost.add(name)
    return server


def test_first_token_that_does_not_come() -> None:
    # The request went out on a connection that had gone silent: the server never saw it, and its
    # report, which counts nothing running, shows so. It is answered by another server long before
    # its deadline, and the first server goes on being used.
    world = FaultWorld(servers=2)
    world.moment()
    server = mute_first(world, "one")
    world.advance(world.options.first_silence_s + 0.5)
    assert len(world.runs) == 2
    assert world.runs[1][1] != server
    assert server in world.probes
    world.lost.clear()
    world.advance_until_told()
    assert world.outcome("one") == COMPLETED
    state = next(iter(world.states.values()))
    assert state.servers.by_name[server].unreachable_until <= world.now


def test_stream_that_goes_silent_is_resumed() -> None:
    # Tokens stop in the middle. The rest comes from another server, from the next token on.
    world = FaultWorld(servers=2)
    world.moment()
    world.arrive("one")
    world.advance(1.0)
    delivered = next(iter(world.states.values())).requests[next(iter(world.requests()))].delivered
    world.lost.add("one")
    world.advance(world.options.silence_s + 0.3)
    world.lost.clear()
    assert [run.start.resume_from for run in world.attempts("one")] == [delivered]
    world.advance_until_told()
    assert world.outcome("one") == COMPLETED
    assert world.accounts[next(iter(world.accounts))].tokens == world.length


def test_busy_server_is_given_time() -> None:
    # The server accounts for the request, which waits behind others there. Moving it would cost its
    # place and a retry, so it is left alone for a while.
    world = FaultWorld(servers=2)
    world.moment()
    server = mute_first(world, "one")
    world.busy.add(server)
    world.advance(world.options.first_silence_s + 1.0)
    assert len(world.runs) == 1


def test_half_of_the_deadline_is_the_limit_of_patience() -> None:
    # The server seems to account for it, but that is another instance's request. At half of the
    # time to the deadline it is tried elsewhere all the same.
    world = FaultWorld(servers=2)
    world.moment()
    before = len(world.runs)
    world.arrive("one", deadline_s=10.0)
    world.busy.add(world.runs[before][1])
    world.lost.add("one")
    world.advance(5.2)
    assert len(world.runs) == 2
    world.lost.clear()
    world.advance_until_told()
    assert world.outcome("one") == COMPLETED


def test_one_that_came_later_was_served_first() -> None:
    # The server accounts for as many as it was sent, but it has begun one that came later and is no
    # more urgent: what it counts is not this request.
    world = FaultWorld(servers=1)
    world.moment()
    server = mute_first(world, "one")
    world.busy.add(server)
    world.moment()
    world.arrive("two")
    world.advance(world.options.first_silence_s + 0.5)
    assert [fingerprint for fingerprint, _ in world.runs].count("one") == 2


def test_call_that_must_not_be_repeated_is_waited_for() -> None:
    # Nothing comes back, and it may have run. It is not sent again; at its deadline the caller is
    # told that this is not known.
    world = FaultWorld(servers=2, kind=Kind.PLAIN)
    world.moment()
    world.arrive("reserve", repeatable=False, deadline_s=8.0)
    world.lost.add("reserve")
    world.advance(10.0)
    assert len(world.runs) == 1
    assert world.outcome("reserve")[0] is Outcome.UNKNOWN


def test_nothing_is_doubted_without_budget_for_a_retry() -> None:
    # A doubt that cannot be followed by another attempt would turn a late answer into a failure.
    world = FaultWorld(servers=2)
    state = next(iter(world.states.values()))
    world.moment()
    mute_first(world, "one")
    state.retries.tokens = 0.0
    world.advance(world.options.first_silence_s + 1.0)
    assert len(world.runs) == 1
    world.lost.clear()
    world.advance_until_told()
    assert world.outcome("one") == COMPLETED


def test_report_from_before_the_attempt_proves_nothing() -> None:
    # The newest report counts requests that ran before this one was sent.
    world = FaultWorld(servers=1)
    name = ServerName("s0")
    report = ServerReport(name, "1", 1, running=5, waiting=5, slots=8, models=world.models)
    for instance in world.states:
        world.event(instance, report)
    world.silent_reports = True
    world.moment()
    mute_first(world, "one")
    world.advance(world.options.first_silence_s + 0.5)
    assert len(world.runs) == 2
