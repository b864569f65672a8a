"""Connections that go silent: when an attempt is doubted, and when waiting on is right."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import pytest

from tests.core.fault_world import CLASS, FaultWorld
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Kind, ServiceClass
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.events import ServerReport

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


def test_doubts_at_the_same_moment_share_the_budget() -> None:
    # In a rush several answers are late to begin at the same moment, and the budget pays for one
    # retry. One goes elsewhere; the others wait on and get their answers. Were all stopped, since
    # each finds a retry in the budget, the callers of all but one would be told `failed`.
    world = FaultWorld(servers=2)
    world.moment()
    names = ["one", "two", "three"]
    for name in names:
        mute_first(world, name)
    state = next(iter(world.states.values()))
    state.retries.tokens = 1.5
    world.advance(world.options.first_silence_s + 0.5)
    assert len(world.runs) == len(names) + 1
    world.lost.clear()
    world.advance_until_told()
    assert [world.outcome(name) for name in names] == [COMPLETED] * len(names)


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


# --- signs that let a silence be noticed soon --------------------------------------------------

LOWER: Final = ServiceClass("draft", 2, target_s=5.0, deadline_s=60.0)
# Longer than the signs take, at one token for each tick, and shorter than any wait without them.
SOON_S: Final = 1.1


@dataclass(frozen=True, slots=True)
class SignCase:
    """Streams that stop on some servers, and whether they soon go on elsewhere."""

    # What happens to the servers: their connections are lost, or they are mute, or frozen.
    stops: str
    # Of three servers with a stream each, how many stop.
    stopped: int
    moved: bool
    service_class: ServiceClass = CLASS
    # Requests that wait at the engines, by their reports.
    waiting: int = 0
    # Retries that are left.
    budget: float = 20.0


SIGN_CASES: Final = {
    # Several servers at once, while all answer new connections: the connections are lost.
    "lost_together": SignCase("lost", 3, moved=True),
    # The same for a lower tier, at engines with room, where nothing is preempted.
    "lower_tier_with_room": SignCase("lost", 3, moved=True, service_class=LOWER),
    # At full engines the streams may have been preempted, and go on later.
    "lower_tier_at_full_engines": SignCase("lost", 3, moved=False, service_class=LOWER, waiting=9),
    # Frozen engines answer no probe.
    "frozen": SignCase("frozen", 3, moved=False),
    # Each doubt is a retry: without budget the streams are waited for.
    "no_budget": SignCase("lost", 3, moved=False, budget=0.0),
}


@pytest.mark.parametrize("case", SIGN_CASES.values(), ids=SIGN_CASES)
def test_streams_that_stop(case: SignCase) -> None:
    world = FaultWorld(servers=3, length=60, options=Options(retry_share=0.0))
    world.config.classes[LOWER.name] = LOWER
    state = next(iter(world.states.values()))
    world.moment()
    names = ["one", "two", "three"]
    for name in names:
        world.arrive(name, service_class=case.service_class)
    world.advance(1.0)
    began = len(world.runs)
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
    world.advance(SOON_S)
    for name in world.servers:
        # Where a server thaws, it answers a probe before it makes the next token.
        world.thaw(name)
    world.moment()
    assert len(world.runs) - began == (case.stopped if case.moved else 0)
    # Where they were moved, each goes on after the last token that its caller has.
    for run, token in zip(stopped, delivered, strict=True):
        moved = [each.start for each in world.attempts(run.fingerprint)]
        expected = [token] if case.moved else [0]
        assert [start.resume_from for start in moved] == expected
        assert [start.fresh_connection for start in moved] == [case.moved]


def test_server_that_stands_still_for_a_moment() -> None:
    # One server makes no tokens for a while, but answers probes; it may be loading an adapter. Its
    # stream is given longer than one of several that stop together, and goes on there.
    world = FaultWorld(servers=3, length=60)
    world.moment()
    for name in ("one", "two", "three"):
        world.arrive(name)
    world.advance(1.0)
    server = world.attempts("one")[0].start.server
    world.servers[server].mute = True
    world.advance(0.6)
    assert world.probes.count(server) > 0
    world.servers[server].mute = False
    world.advance_until_told()
    assert len(world.runs) == 3


def test_servers_that_all_become_slow() -> None:
    # In a rush every server takes three times as long for a token. Nothing is moved.
    world = FaultWorld(servers=3, length=30)
    world.moment()
    for name in ("one", "two", "three"):
        world.arrive(name)
    world.advance(1.0)
    while world.requests():
        for server in world.servers.values():
            server.mute = True
        world.advance(0.2)
        for server in world.servers.values():
            server.mute = False
        world.moment()
    assert len(world.runs) == 3


@pytest.mark.parametrize("kept", [True, False])
def test_plain_call_that_its_server_does_not_count(kept: bool) -> None:
    # The call went out over a connection that had gone silent while it was idle; its server never
    # saw it, and says so at once when asked over a new one. The call is repeated over a new one,
    # and no kept connection to that server is used for others meanwhile. One that went out over a
    # new connection has reached its server, whatever a report says, and is waited for.
    world = FaultWorld(servers=2, kind=Kind.PLAIN, length=1)
    for name in ("first", "second"):
        world.arrive(name)
        world.moment()
    world.kept_connections = kept
    server = mute_first(world, "one")
    world.advance(SOON_S)
    assert [run.start.fresh_connection for run in world.attempts("one")] == [kept]
    assert (world.config.servers[server].address in world.distrusted) == kept
    world.lost.clear()
    world.advance_until_told()
    assert world.outcome("one") == COMPLETED
    assert len(world.runs) == (4 if kept else 3)
