"""Tests of the quarantine of requests that crash servers."""

from __future__ import annotations

from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.fault_world import FaultWorld
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import RequestId, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import CancelReason
from turmericweir_core.messages.crash_messages import CrashNews, TrialAnswer, TrialAsk, TrialEnd
from turmericweir_core.messages.events import AttemptEnded, EndBroken
from turmericweir_core.messages.peer_messages import PeerMessage
from turmericweir_core.state.quarantine_state import CrashKey

POISON: Final = "poison"
QUARANTINED: Final = (Outcome.FAILED, "quarantined")
COMPLETED: Final = (Outcome.COMPLETED, "ok")
BROKEN: Final = EndBroken("reset", server_alive=True)


def poisoned_world(*, instances: int = 3, servers: int = 4) -> FaultWorld:
    """Return a world where requests with the fingerprint `POISON` crash their server."""
    world = FaultWorld(instances=instances, servers=servers)
    world.poison.add(POISON)
    world.tick()
    return world


def arrive_innocents(world: FaultWorld, count: int) -> list[str]:
    """Send innocent requests to all instances in order, and return their names."""
    names = [f"innocent-{number}" for number in range(count)]
    for number, name in enumerate(names):
        world.arrive(name, instance=number % len(world.states))
    return names


def check_innocents(world: FaultWorld, names: list[str]) -> None:
    """Check that each request was answered exactly once."""
    assert {name: world.outcome(name) for name in names} == dict.fromkeys(names, COMPLETED)
    assert set(world.account_counts.values()) == {1}


@pytest.mark.parametrize("restarts_at_once", [False, True])
@pytest.mark.parametrize("instances", [1, 3, 8])
@pytest.mark.parametrize("servers", [2, 5])
def test_found_within_two_crashes(instances: int, servers: int, restarts_at_once: bool) -> None:
    # The poisoned request is refused after two crashes, and all others complete, also if servers
    # restart before an instance finds them down.
    world = poisoned_world(instances=instances, servers=servers)
    world.restarts_at_once = restarts_at_once
    world.reports_lag_s = 0.6
    innocents = arrive_innocents(world, 5 * servers)
    world.arrive(POISON)
    world.advance_until_done()
    assert world.outcome(POISON) == QUARANTINED
    assert world.crashes_by(POISON) == 2
    check_innocents(world, innocents)


def test_refused_on_every_instance_when_sent_again() -> None:
    # Every instance refuses a repeated request at once, from the crash records it received.
    world = poisoned_world()
    world.arrive(POISON)
    world.advance_until_done()
    runs = len(world.runs)
    for number in range(len(world.states)):
        world.arrive(f"again-{number}", instance=number, fingerprint=POISON)
    world.advance_until_done()
    for number in range(len(world.states)):
        assert world.outcome(f"again-{number}") == QUARANTINED
    assert len(world.runs) == runs


def test_new_instance_receives_the_verdict() -> None:
    # An instance that started after the crashes requests the records and refuses the request.
    world = poisoned_world()
    world.arrive(POISON)
    world.advance_until_done()
    world.add_instance()
    world.advance(2.0)
    again = world.arrive("again", instance=3, fingerprint=POISON)
    assert world.outcome(again) == QUARANTINED


def test_lost_updates_are_requested() -> None:
    # Crash records whose updates were lost are requested from a peer later.
    world = poisoned_world()
    world.is_lost = lambda message: True
    world.arrive(POISON)
    world.advance_until_done()
    world.is_lost = lambda message: False
    world.advance(3 * world.options.crashes_ask_s)
    again = world.arrive("again", instance=2, fingerprint=POISON)
    assert world.outcome(again) == QUARANTINED


def test_sent_twice_at_once_through_two_instances() -> None:
    # Two copies crash a server each. Prevents a third crash.
    world = poisoned_world(instances=2, servers=4)
    innocents = arrive_innocents(world, 12)
    world.arrive("copy-0", instance=0, fingerprint=POISON)
    world.arrive("copy-1", instance=1, fingerprint=POISON)
    world.advance_until_done()
    assert world.outcome("copy-0") == QUARANTINED
    assert world.outcome("copy-1") == QUARANTINED
    assert world.crashes_by(POISON) == 2
    check_innocents(world, innocents)


@pytest.mark.parametrize("moments", [3, 4])
@pytest.mark.parametrize("first", [0, 1])
def test_copy_waits_while_the_other_runs_isolated(first: int, moments: int) -> None:
    # Prevents the home from granting a run to the second copy before it has received the record of
    # the crash that the first copy's run caused.
    world = poisoned_world(instances=2, servers=4)
    world.is_delayed = lambda message: isinstance(message, CrashNews)
    world.arrive("copy-0", instance=first, fingerprint=POISON)
    world.advance(moments * world.options.tick_s)
    world.arrive("copy-1", instance=1 - first, fingerprint=POISON)
    world.advance_until_done()
    assert world.crashes_by(POISON) == 2


def test_two_poisoned_requests_at_once() -> None:
    # Two poisoned requests are both identified by isolated runs, and innocent requests complete.
    world = poisoned_world(instances=3, servers=5)
    world.poison.add("venom")
    innocents = arrive_innocents(world, 20)
    world.arrive(POISON, instance=0)
    world.arrive("venom", instance=1)
    world.advance_until_done()
    assert world.outcome(POISON) == QUARANTINED
    assert world.outcome("venom") == QUARANTINED
    assert len(world.crashes) <= 4
    check_innocents(world, innocents)


def test_innocent_in_flight_at_two_crashes() -> None:
    # Prevents a request from staying a suspect after its server was seen alive with the same
    # incarnation.
    world = FaultWorld(instances=1, servers=2)
    world.tick()
    world.arrive("bystander")
    server = world.runs[0][1]
    world.break_all(server, alive=False)
    world.tick()
    assert "bystander" in world.states[next(iter(world.states))].quarantine.crash_counts
    world.advance(2.0)
    assert not world.states[next(iter(world.states))].quarantine.crash_counts
    world.advance_until_done()
    assert world.outcome("bystander") == COMPLETED


def test_verdict_is_withdrawn_with_the_evidence() -> None:
    # A network fault that looked like two crashes causes a verdict, which is withdrawn when the
    # servers are seen alive with the same incarnations.
    world = FaultWorld(instances=1, servers=2, length=1000)
    world.tick()
    world.arrive("bystander")
    for _ in range(2):
        while not any(server.running for server in world.servers.values()):
            world.tick()
        name = next(name for name, server in world.servers.items() if server.running)
        # No report is delivered for some time.
        world.servers[name].down_until = world.now + 4.0
        world.break_all(name, alive=False)
    world.advance(1.0)
    assert world.outcome("bystander") == QUARANTINED
    world.advance(6.0)
    world.arrive("again", fingerprint="bystander")
    assert "again" not in world.accounts


def test_crash_behind_a_lost_connection() -> None:
    # Prevents a crash from being missed when the network drops the end of the connection, as the
    # next report shows a new incarnation.
    world = FaultWorld(instances=2, servers=2)
    world.tick()
    world.arrive("one")
    world.lost.add("one")
    world.tick()
    world.crash(world.runs[0][1], "one", alive=True)
    state = world.states[next(iter(world.states))]
    while not state.quarantine.crashes:
        assert world.now < 110.0, "the crash was not noticed"
        world.tick()
    assert state.quarantine.crash_counts == {"one": 1}


def test_delayed_report_from_before_the_crash() -> None:
    # Prevents a delayed report of the old incarnation from hiding a crash.
    world = FaultWorld(instances=1, servers=2)
    world.tick()
    world.arrive("one")
    world.tick()
    name = world.runs[0][1]
    world.break_all(name, alive=True)
    world.advance(2.0)
    world.servers[name].incarnation += 1
    state = world.states[next(iter(world.states))]
    world.tick()
    assert state.quarantine.crash_counts == {"one": 1}


def test_broken_connection_of_a_live_server() -> None:
    # The request of a broken connection resumes at once if other streams show a live server.
    world = FaultWorld(instances=1, servers=1)
    world.tick()
    world.arrive("other")
    world.advance(1.5)
    world.arrive("cut")
    world.tick()
    server = world.servers[ServerName("s0")]
    run = world.attempts("cut")[0]
    del server.running[run.start.attempt_id]
    world.event(run.instance, AttemptEnded(RequestId("cut"), run.start.attempt_id, BROKEN))
    world.advance(3 * world.options.tick_s)
    assert world.attempts("cut")


def test_tokens_of_the_next_incarnation_prove_nothing() -> None:
    # Prevents tokens of a request that started after the restart from hiding a crash.
    world = FaultWorld(instances=1, servers=1)
    world.tick()
    world.arrive("one")
    world.tick()
    server = world.servers[ServerName("s0")]
    run = world.attempts("one")[0]
    del server.running[run.start.attempt_id]
    server.incarnation += 1
    server.incarnation_hidden_until = world.now + 0.6
    world.arrive("next")
    world.now += 0.01
    world.event(run.instance, AttemptEnded(RequestId("one"), run.start.attempt_id, BROKEN))
    world.advance(3 * world.options.tick_s)
    assert not world.attempts("one")
    world.advance(0.6)
    assert world.states[run.instance].quarantine.crash_counts == {"one": 1}


def test_broken_connection_without_other_streams() -> None:
    # Without other streams on the server, the request waits for a report and then resumes.
    world = FaultWorld(instances=1, servers=1)
    world.tick()
    world.arrive("cut")
    world.tick()
    world.break_all(ServerName("s0"), alive=True)
    world.tick()
    assert not world.attempts("cut")
    world.advance_until_done()
    assert world.outcome("cut") == COMPLETED
    assert world.now < 110.0


def test_crash_while_the_attempt_is_being_stopped() -> None:
    # The server crashes while the attempt is being displaced. The request is a suspect, and its
    # next attempt takes no retry from the budget.
    world = FaultWorld(instances=1, servers=2)
    world.tick()
    world.arrive("one")
    state = world.states[next(iter(world.states))]
    attempt = state.requests[RequestId("one")].attempt
    assert attempt is not None
    attempt.cancel_reason = CancelReason.DISPLACED
    tokens = state.retries.tokens
    world.crash(attempt.server, "one", alive=True)
    world.tick()
    assert state.quarantine.crash_counts == {"one": 1}
    assert state.retries.tokens == tokens
    world.advance_until_done()
    assert world.outcome("one") == COMPLETED


def test_server_that_restarts_before_it_is_seen_down() -> None:
    # A server restarts before a new connection is tried. Its next report shows the crash.
    world = FaultWorld(instances=2, servers=2)
    world.tick()
    world.arrive("one")
    world.tick()
    world.crash(world.runs[0][1], alive=True)
    state = world.states[next(iter(world.states))]
    assert not state.quarantine.crash_counts
    world.advance(0.2)
    assert state.quarantine.crash_counts == {"one": 1}


def test_broken_connections_before_the_first_report() -> None:
    # Prevents the incarnations of the platform's server list from being taken for a restart.
    world = FaultWorld(servers=2)
    state = next(iter(world.states.values()))
    world.arrive("one")
    for name in world.servers:
        world.break_all(name, alive=True)
    world.advance(2.0)
    assert not state.quarantine.crashes
    world.advance_until_done()
    assert world.outcome("one") == COMPLETED


def test_one_crash_under_two_keys() -> None:
    # Prevents one crash from counting as two when an instance does not know the incarnation.
    world = FaultWorld(instances=2, servers=1)
    world.instances_without_reports = {list(world.states)[1]}
    world.tick()
    for number in range(2):
        world.arrive(f"copy-{number}", instance=number, fingerprint="bystander")
    world.tick()
    world.crash(ServerName("s0"))
    world.advance(0.3)
    for state in world.states.values():
        assert list(state.quarantine.crashes) == [CrashKey(ServerName("s0"), "1")]
        assert state.quarantine.crash_counts == {"bystander": 1}


def test_sent_to_a_server_that_has_just_crashed() -> None:
    # Prevents a request that was sent after the crash from staying a suspect.
    world = FaultWorld(instances=2, servers=1)
    world.accepts_when_down = True
    world.tick()
    world.arrive("in flight", instance=0)
    world.tick()
    world.crash(ServerName("s0"))
    # Longer than the delay of an update, which makes the recorded time of the crash too late.
    world.now += 2 * world.options.tick_s
    world.arrive("late", instance=1)
    world.advance(0.3)
    for state in world.states.values():
        assert state.quarantine.crash_counts == {"in flight": 1}


def test_copy_sent_to_a_server_that_the_other_has_just_crashed() -> None:
    # A copy is sent after the crash. Prevents its withdrawn sighting from clearing the fingerprint,
    # which caused the crash through another instance.
    world = FaultWorld(instances=2, servers=1)
    world.accepts_when_down = True
    world.tick()
    world.arrive("in flight", instance=0, fingerprint=POISON)
    world.tick()
    world.crash(ServerName("s0"), POISON)
    world.now += 2 * world.options.tick_s
    world.arrive("late", instance=1, fingerprint=POISON)
    world.advance(0.3)
    for state in world.states.values():
        assert state.quarantine.crash_counts == {POISON: 1}


def test_one_suspect_at_a_time_on_a_server() -> None:
    # No two suspects of a crash share a server before one of them has run for `trial_s`.
    world = poisoned_world(instances=3, servers=2)
    arrive_innocents(world, 10)
    world.tick()
    suspects = {run.fingerprint for run in world.servers[ServerName("s0")].running.values()}
    assert len(suspects) > 2
    world.crash(ServerName("s0"))
    while not world.accounts:
        world.tick()
        for server in world.servers.values():
            recent = [
                run.fingerprint
                for run in server.running.values()
                if run.fingerprint in suspects
                and world.now - run.started_at < world.options.trial_s
            ]
            assert len(recent) <= 1


def test_home_unreachable() -> None:
    # If the home does not answer, suspects run without a grant: innocent requests complete, and the
    # poisoned one is refused after at most one more crash.
    def is_trial(message: PeerMessage) -> bool:
        return isinstance(message, TrialAsk | TrialAnswer | TrialEnd)

    world = poisoned_world(instances=3, servers=3)
    world.is_lost = is_trial
    innocents = arrive_innocents(world, 9)
    world.arrive(POISON)
    world.advance_until_done()
    assert world.outcome(POISON)[0] is Outcome.FAILED
    assert world.crashes_by(POISON) <= 3
    check_innocents(world, innocents)


@pytest.mark.parametrize("instances", [1, 3])
def test_content_that_streams_elsewhere_is_not_refused(instances: int) -> None:
    # Prevents two servers that are lost together from cutting the same content on all others.
    options = Options(harmless_s=0.25, trial_s=0.25)
    world = FaultWorld(instances=instances, servers=4, options=options)
    world.tick()
    names = [f"copy-{number}" for number in range(16)]
    for number, name in enumerate(names):
        world.arrive(name, instance=number % instances, fingerprint="popular")
    world.tick()
    assert all(server.running for server in world.servers.values())
    for name in list(world.servers)[:2]:
        world.crash(name)
    world.advance_until_done()
    assert {name: world.outcome(name) for name in names} == dict.fromkeys(names, COMPLETED)


def test_content_that_crashes_servers_is_refused_beside_other_streams() -> None:
    # Prevents an answer of another content from clearing one that crashes servers.
    world = FaultWorld(instances=3, servers=4, options=Options(harmless_s=0.25, trial_s=0.25))
    world.poison.add(POISON)
    world.tick()
    innocents = arrive_innocents(world, 12)
    world.advance(0.5)
    for number in range(3):
        world.arrive(f"copy-{number}", instance=number, fingerprint=POISON)
    world.advance_until_done()
    assert {world.outcome(f"copy-{number}") for number in range(3)} == {QUARANTINED}
    assert world.crashes_by(POISON) <= 3
    check_innocents(world, innocents)


def test_quarantine_ends() -> None:
    # A refused request runs again after `quarantine_s`.
    world = poisoned_world(instances=1)
    world.arrive(POISON)
    world.advance_until_done()
    world.poison.clear()
    world.advance(world.options.quarantine_s)
    world.arrive("again", fingerprint=POISON)
    world.advance_until_done()
    assert world.outcome("again") == COMPLETED


def test_suspect_that_waits_past_its_deadline() -> None:
    # Prevents the outcome `not_run` for a suspect that has run and finds no server.
    world = FaultWorld(instances=1, servers=1, options=Options())
    world.tick()
    world.arrive("one", deadline_s=3.0)
    world.servers[ServerName("s0")].stalled = True
    world.tick()
    world.crash(ServerName("s0"))
    world.servers[ServerName("s0")].down_until = world.now + 1000.0
    world.advance(5.0)
    assert world.outcome("one") == (Outcome.FAILED, "deadline")


def test_plain_call_that_must_not_be_repeated_does_not_run_again() -> None:
    # Prevents a second run of a call that must not be repeated and was in flight at a crash.
    world = FaultWorld(instances=1, servers=2, kind=ServiceKind.PLAIN)
    world.tick()
    world.arrive("reserve", repeatable=False)
    world.crash(world.runs[0][1])
    world.advance(5.0)
    assert world.outcome("reserve") == (Outcome.UNKNOWN, "evidence_lost")
    assert len(world.runs) == 1


@settings(max_examples=40, deadline=None)
@given(
    instances=st.integers(1, 4),
    servers=st.integers(2, 4),
    load=st.lists(st.tuples(st.integers(0, 3), st.integers(0, 15)), max_size=16),
    poison_at=st.integers(0, 15),
    instances_without_reports=st.sets(st.integers(0, 3)),
    accepts_when_down=st.booleans(),
    restarts_at_once=st.booleans(),
    copies=st.lists(st.tuples(st.integers(1, 3), st.integers(0, 15)), max_size=2),
)
def test_innocents_complete_whenever_they_arrive(
    instances: int,
    servers: int,
    load: list[tuple[int, int]],
    poison_at: int,
    instances_without_reports: set[int],
    accepts_when_down: bool,
    restarts_at_once: bool,
    copies: list[tuple[int, int]],
) -> None:
    # Innocent requests complete, and a poisoned one causes two crashes. Copies that are sent before
    # the record of the first crash arrives may add one crash each.
    world = FaultWorld(instances=instances, servers=servers)
    world.poison.add(POISON)
    world.accepts_when_down = accepts_when_down
    world.restarts_at_once = restarts_at_once
    world.reports_lag_s = 0.6
    if not restarts_at_once:
        # Without reports a fast restart cannot be told from a broken connection.
        world.instances_without_reports = {
            name for at, name in enumerate(world.states) if at in instances_without_reports
        }
    world.tick()
    names: list[str] = []
    for moment in range(16):
        for number, (instance, at) in enumerate(load):
            if at == moment:
                names.append(f"innocent-{number}")
                world.arrive(names[-1], instance=instance % instances)
        if moment == poison_at:
            world.arrive(POISON)
        for number, (instance, at) in enumerate(copies):
            if at == moment:
                world.arrive(f"copy-{number}", instance=instance % instances, fingerprint=POISON)
        world.tick()
    world.advance_until_done()
    for name in (POISON, *(f"copy-{number}" for number in range(len(copies)))):
        assert world.outcome(name) == QUARANTINED
    early = len(copies) + 1 if restarts_at_once else len(copies)
    assert 2 <= world.crashes_by(POISON) <= max(2, 1 + early)
    check_innocents(world, names)
