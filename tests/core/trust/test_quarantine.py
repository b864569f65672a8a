"""The request that crashes servers: found within two crashes, and nobody else pays for it."""

from __future__ import annotations

from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.fault_world import FaultWorld
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Kind
from turmericweir_core.base.ids import RequestId, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import CancelReason
from turmericweir_core.messages.events import AttemptEnded, EndBroken
from turmericweir_core.messages.peer_messages import (
    CrashNews,
    PeerMessage,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from turmericweir_core.state.quarantine_state import CrashKey

POISON: Final = "poison"
QUARANTINED: Final = (Outcome.FAILED, "quarantined")
COMPLETED: Final = (Outcome.COMPLETED, "ok")
CUT: Final = EndBroken("reset", server_alive=True)


def poisoned_world(*, instances: int = 3, servers: int = 4) -> FaultWorld:
    """Make a world where requests with the poison's fingerprint crash their server."""
    world = FaultWorld(instances=instances, servers=servers)
    world.poison.add(POISON)
    world.moment()
    return world


def arrive_innocents(world: FaultWorld, count: int) -> list[str]:
    """Let innocent requests arrive at all instances in turn."""
    names = [f"innocent-{number}" for number in range(count)]
    for number, name in enumerate(names):
        world.arrive(name, instance=number % len(world.states))
    return names


def check_innocents(world: FaultWorld, names: list[str]) -> None:
    """Check that each of these was answered, once."""
    assert {name: world.outcome(name) for name in names} == dict.fromkeys(names, COMPLETED)
    assert set(world.told.values()) == {1}


@pytest.mark.parametrize("restarts_at_once", [False, True])
@pytest.mark.parametrize("instances", [1, 3, 8])
@pytest.mark.parametrize("servers", [2, 5])
def test_found_within_two_crashes(instances: int, servers: int, restarts_at_once: bool) -> None:
    # The caller of the poisoned request is told `failed, quarantined`; all others get their answer.
    # It crashes a full server, and all in flight there become suspects. They run on, one at a time
    # on a server, until the poisoned one has crashed a second one, where it was the only suspect.
    # Where a server is back at once, they wait until its report tells that it is another life.
    world = poisoned_world(instances=instances, servers=servers)
    world.restarts_at_once = restarts_at_once
    world.reports_lag_s = 0.6
    innocents = arrive_innocents(world, 5 * servers)
    world.arrive(POISON)
    world.advance_until_told()
    assert world.outcome(POISON) == QUARANTINED
    assert world.crashes_by(POISON) == 2
    check_innocents(world, innocents)


def test_refused_on_every_instance_when_sent_again() -> None:
    # The caller sends it again through another instance and gets the same answer, at once. Crashes
    # are told to all instances, so that each comes to the verdict itself.
    world = poisoned_world()
    world.arrive(POISON)
    world.advance_until_told()
    runs = len(world.runs)
    for number in range(len(world.states)):
        world.arrive(f"again-{number}", instance=number, fingerprint=POISON)
    world.advance_until_told()
    for number in range(len(world.states)):
        assert world.outcome(f"again-{number}") == QUARANTINED
    assert len(world.runs) == runs


def test_newcomer_learns_the_verdict() -> None:
    # The caller sends it again through an instance that started after the crashes. It asks a peer
    # for the crashes it missed as soon as it sees one.
    world = poisoned_world()
    world.arrive(POISON)
    world.advance_until_told()
    world.add_instance()
    world.advance(2.0)
    again = world.arrive("again", instance=3, fingerprint=POISON)
    assert world.outcome(again) == QUARANTINED


def test_lost_news_is_asked_for() -> None:
    # As above, but the news of the crashes was lost. Every instance asks a random peer at times.
    world = poisoned_world()
    world.loses = lambda message: True
    world.arrive(POISON)
    world.advance_until_told()
    world.loses = lambda message: False
    world.advance(3 * world.options.crashes_ask_s)
    again = world.arrive("again", instance=2, fingerprint=POISON)
    assert world.outcome(again) == QUARANTINED


def test_sent_twice_at_once_through_two_instances() -> None:
    # Both copies crash their servers before anyone knows. The only fingerprint that was in flight
    # at both crashes is refused, without a third.
    world = poisoned_world(instances=2, servers=4)
    innocents = arrive_innocents(world, 12)
    world.arrive("copy-0", instance=0, fingerprint=POISON)
    world.arrive("copy-1", instance=1, fingerprint=POISON)
    world.advance_until_told()
    assert world.outcome("copy-0") == QUARANTINED
    assert world.outcome("copy-1") == QUARANTINED
    assert world.crashes_by(POISON) == 2
    check_innocents(world, innocents)


@pytest.mark.parametrize("moments", [3, 4])
@pytest.mark.parametrize("first", [0, 1])
def test_copy_that_waits_while_the_other_is_tried(first: int, moments: int) -> None:
    # Each instance holds a copy back after the first crash, and one copy's trial makes the second.
    # Its home learns that the trial is over before it hears of the crash, and must not let the
    # other copy run yet: that would be the third.
    world = poisoned_world(instances=2, servers=4)
    world.delays = lambda message: isinstance(message, CrashNews)
    world.arrive("copy-0", instance=first, fingerprint=POISON)
    world.advance(moments * world.options.tick_s)
    world.arrive("copy-1", instance=1 - first, fingerprint=POISON)
    world.advance_until_told()
    assert world.crashes_by(POISON) == 2


def test_two_poisoned_requests_at_once() -> None:
    # Two different requests crash servers at the same time. Both are found, each in a trial of its
    # own, and the innocents that were in flight with both get through.
    world = poisoned_world(instances=3, servers=5)
    world.poison.add("venom")
    innocents = arrive_innocents(world, 20)
    world.arrive(POISON, instance=0)
    world.arrive("venom", instance=1)
    world.advance_until_told()
    assert world.outcome(POISON) == QUARANTINED
    assert world.outcome("venom") == QUARANTINED
    assert len(world.crashes) <= 4
    check_innocents(world, innocents)


def test_innocent_in_flight_at_two_crashes() -> None:
    # A bystander is in flight at a crash, and again at the next, of a cause that is no request of
    # ours. It must not be refused for good: here it is the only one at both, so it is refused, but
    # when the first server is seen alive in the same life the verdict is taken back.
    world = FaultWorld(instances=1, servers=2)
    world.moment()
    world.arrive("bystander")
    server = world.runs[0][1]
    world.break_all(server, alive=False)
    world.moment()
    assert "bystander" in world.states[next(iter(world.states))].quarantine.counts
    world.advance(2.0)
    assert not world.states[next(iter(world.states))].quarantine.counts
    world.advance_until_told()
    assert world.outcome("bystander") == COMPLETED


def test_verdict_is_taken_back_with_the_evidence() -> None:
    # A network fault looks like two crashes and convicts an innocent. The servers are seen alive in
    # the same lives, so its caller may send it again.
    world = FaultWorld(instances=1, servers=2, length=1000)
    world.moment()
    world.arrive("bystander")
    for _ in range(2):
        while not any(server.running for server in world.servers.values()):
            world.moment()
        name = next(name for name, server in world.servers.items() if server.running)
        # No report gets through for a while.
        world.servers[name].down_until = world.now + 4.0
        world.break_all(name, alive=False)
    world.advance(1.0)
    assert world.outcome("bystander") == QUARANTINED
    world.advance(6.0)
    world.arrive("again", fingerprint="bystander")
    assert "again" not in world.accounts


def test_crash_behind_a_silent_connection() -> None:
    # The server crashes and is back, and the network swallows the end of the connection. The caller
    # waits until the silence is given up. The server's report shows a new life by then, so the
    # request was in flight at a crash, though nothing broke.
    world = FaultWorld(instances=2, servers=2)
    world.moment()
    world.arrive("one")
    world.lost.add("one")
    world.moment()
    world.crash(world.runs[0][1], "one", alive=True)
    state = world.states[next(iter(world.states))]
    while not state.quarantine.crashes:
        assert world.now < 110.0, "the crash was not noticed"
        world.moment()
    assert state.quarantine.counts == {"one": 1}


def test_report_from_before_the_crash_comes_late() -> None:
    # A connection breaks, its server answers a new one, and a report of the old life is still on
    # its way for longer than usual. The next shows the new life: that was a crash all the same.
    world = FaultWorld(instances=1, servers=2)
    world.moment()
    world.arrive("one")
    world.moment()
    name = world.runs[0][1]
    world.break_all(name, alive=True)
    world.advance(2.0)
    world.servers[name].life += 1
    state = world.states[next(iter(world.states))]
    world.moment()
    assert state.quarantine.counts == {"one": 1}


def test_cut_connection_of_a_server_that_goes_on() -> None:
    # Only one connection of a live server is cut. The others make tokens on, so it was no crash,
    # and the request goes on at once.
    world = FaultWorld(instances=1, servers=1)
    world.moment()
    world.arrive("other")
    world.advance(1.5)
    world.arrive("cut")
    world.moment()
    server = world.servers[ServerName("s0")]
    run = world.attempts("cut")[0]
    del server.running[run.start.attempt_id]
    world.event(run.instance, AttemptEnded(RequestId("cut"), run.start.attempt_id, CUT))
    world.advance(3 * world.options.tick_s)
    assert world.attempts("cut")


def test_witness_of_the_life_after() -> None:
    # A server crashes and is back. Before the break is noted another request has begun there, and
    # its tokens come. It began in the new life, so it is no proof that the server did not crash.
    world = FaultWorld(instances=1, servers=1)
    world.moment()
    world.arrive("one")
    world.moment()
    server = world.servers[ServerName("s0")]
    run = world.attempts("one")[0]
    del server.running[run.start.attempt_id]
    server.life += 1
    server.life_hidden_until = world.now + 0.6
    world.arrive("next")
    world.now += 0.01
    world.event(run.instance, AttemptEnded(RequestId("one"), run.start.attempt_id, CUT))
    world.advance(3 * world.options.tick_s)
    assert not world.attempts("one")
    world.advance(0.6)
    assert world.states[run.instance].quarantine.counts == {"one": 1}


def test_cut_connection_without_a_witness() -> None:
    # As above, but nothing else runs there. The request waits for word, and then goes on.
    world = FaultWorld(instances=1, servers=1)
    world.moment()
    world.arrive("cut")
    world.moment()
    world.break_all(ServerName("s0"), alive=True)
    world.moment()
    assert not world.attempts("cut")
    world.advance_until_told()
    assert world.outcome("cut") == COMPLETED
    assert world.now < 110.0


def test_crash_while_the_attempt_is_being_stopped() -> None:
    # The request is displaced, and its server crashes before the attempt has ended. It waits for
    # another server as a displaced one does, without pay, and was in flight at a crash.
    world = FaultWorld(instances=1, servers=2)
    world.moment()
    world.arrive("one")
    state = world.states[next(iter(world.states))]
    attempt = state.requests[RequestId("one")].attempt
    assert attempt is not None
    attempt.cancelled = CancelReason.DISPLACED
    tokens = state.retries.tokens
    world.crash(attempt.server, "one", alive=True)
    world.moment()
    assert state.quarantine.counts == {"one": 1}
    assert state.retries.tokens == tokens
    world.advance_until_told()
    assert world.outcome("one") == COMPLETED


def test_server_that_restarts_before_it_is_seen_down() -> None:
    # The server is back before anyone has tried a new connection. Its report shows a new life, so
    # what broke there shortly before is suspect all the same.
    world = FaultWorld(instances=2, servers=2)
    world.moment()
    world.arrive("one")
    world.moment()
    world.crash(world.runs[0][1], alive=True)
    state = world.states[next(iter(world.states))]
    assert not state.quarantine.counts
    world.advance(0.2)
    assert state.quarantine.counts == {"one": 1}


def test_cut_connections_of_a_server_that_never_crashed() -> None:
    # Connections break on live servers, before either has reported. The platform's list names the
    # servers' lives in its own way, which must not be taken for a restart: nobody is suspect.
    world = FaultWorld(servers=2)
    state = next(iter(world.states.values()))
    world.arrive("one")
    for name in world.servers:
        world.break_all(name, alive=True)
    world.advance(2.0)
    assert not state.quarantine.crashes
    world.advance_until_told()
    assert world.outcome("one") == COMPLETED


def test_one_crash_known_by_two_names() -> None:
    # One instance has had no report of the server, so its record of the crash names no incarnation.
    # It is the same crash to every instance: were it two, a bystander that was in flight through
    # either would be refused after this one crash.
    world = FaultWorld(instances=2, servers=1)
    world.unreported = {list(world.states)[1]}
    world.moment()
    for number in range(2):
        world.arrive(f"copy-{number}", instance=number, fingerprint="bystander")
    world.moment()
    world.crash(ServerName("s0"))
    world.advance(0.3)
    for state in world.states.values():
        assert list(state.quarantine.crashes) == [CrashKey(ServerName("s0"), "1")]
        assert state.quarantine.counts == {"bystander": 1}


def test_sent_to_a_server_that_has_just_crashed() -> None:
    # A request goes to a server that crashed a moment before, as its instance has not heard of it
    # yet, over a connection that is taken and then breaks. It was not in flight at the crash and
    # is no suspect once the news is there.
    world = FaultWorld(instances=2, servers=1)
    world.takes_when_down = True
    world.moment()
    world.arrive("in flight", instance=0)
    world.moment()
    world.crash(ServerName("s0"))
    # Longer than the way of the news, by which the time of the crash is known too late.
    world.now += 2 * world.options.tick_s
    world.arrive("late", instance=1)
    world.advance(0.3)
    for state in world.states.values():
        assert state.quarantine.counts == {"in flight": 1}


def test_copy_sent_to_a_server_that_the_other_has_just_crashed() -> None:
    # As above, but what is sent late is a copy of what crashed the server. Only this sighting is
    # taken back. Were the fingerprint cleared, the crash would not count, nor any later one at
    # which a copy comes late, and the request would go on to crash the rest.
    world = FaultWorld(instances=2, servers=1)
    world.takes_when_down = True
    world.moment()
    world.arrive("in flight", instance=0, fingerprint=POISON)
    world.moment()
    world.crash(ServerName("s0"), POISON)
    world.now += 2 * world.options.tick_s
    world.arrive("late", instance=1, fingerprint=POISON)
    world.advance(0.3)
    for state in world.states.values():
        assert state.quarantine.counts == {POISON: 1}


def test_one_suspect_at_a_time_on_a_server() -> None:
    # All that was in flight at the crash runs on, but no two of them together until one was proven.
    world = poisoned_world(instances=3, servers=2)
    arrive_innocents(world, 10)
    world.moment()
    suspects = {run.fingerprint for run in world.servers[ServerName("s0")].running.values()}
    assert len(suspects) > 2
    world.crash(ServerName("s0"))
    while not world.accounts:
        world.moment()
        for server in world.servers.values():
            young = [
                run.fingerprint
                for run in server.running.values()
                if run.fingerprint in suspects and world.now - run.began < world.options.trial_s
            ]
            assert len(young) <= 1


def test_home_out_of_reach() -> None:
    # No instance answers asks for a trial. Suspects run without leave after a while: the innocents
    # complete, and the poisoned one is found all the same, though maybe a crash later.
    def is_trial(message: PeerMessage) -> bool:
        return isinstance(message, TrialAsk | TrialAnswer | TrialEnd)

    world = poisoned_world(instances=3, servers=3)
    world.loses = is_trial
    innocents = arrive_innocents(world, 9)
    world.arrive(POISON)
    world.advance_until_told()
    assert world.outcome(POISON)[0] is Outcome.FAILED
    assert world.crashes_by(POISON) <= 3
    check_innocents(world, innocents)


def test_quarantine_ends() -> None:
    # The verdict may be wrong, or the server mended: after a while the request is tried again.
    world = poisoned_world(instances=1)
    world.arrive(POISON)
    world.advance_until_told()
    world.poison.clear()
    world.advance(world.options.quarantine_s)
    world.arrive("again", fingerprint=POISON)
    world.advance_until_told()
    assert world.outcome("again") == COMPLETED


def test_suspect_that_waits_past_its_deadline() -> None:
    # No server is left for it. It has run, so its caller is not told `not_run`.
    world = FaultWorld(instances=1, servers=1, options=Options())
    world.moment()
    world.arrive("one", deadline_s=3.0)
    world.servers[ServerName("s0")].mute = True
    world.moment()
    world.crash(ServerName("s0"))
    world.servers[ServerName("s0")].down_until = world.now + 1000.0
    world.advance(5.0)
    assert world.outcome("one") == (Outcome.FAILED, "deadline")


def test_plain_call_that_must_not_be_repeated_is_no_trial() -> None:
    # A reservation that was in flight at a crash may have run: its caller is told `unknown`, and it
    # never runs a second time, on trial or otherwise.
    world = FaultWorld(instances=1, servers=2, kind=Kind.PLAIN)
    world.moment()
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
    unreported=st.sets(st.integers(0, 3)),
    takes_when_down=st.booleans(),
    restarts_at_once=st.booleans(),
    copies=st.lists(st.tuples(st.integers(1, 3), st.integers(0, 15)), max_size=2),
)
def test_innocents_complete_whenever_they_arrive(
    instances: int,
    servers: int,
    load: list[tuple[int, int]],
    poison_at: int,
    unreported: set[int],
    takes_when_down: bool,
    restarts_at_once: bool,
    copies: list[tuple[int, int]],
) -> None:
    # Innocent requests and a poisoned one arrive in any order, also at instances that have no
    # report of the servers, and at servers that are down behind a box that takes connections for
    # them. Copies of the poisoned one may come through other instances. Everyone is told once; the
    # innocents get their answers; the poisoned one crashes two servers and no more, but for copies
    # that are all sent before the news of the first crash can be there. Where servers are back at
    # once that takes longer, and each copy may make one crash beside the first one's two.
    world = FaultWorld(instances=instances, servers=servers)
    world.poison.add(POISON)
    world.takes_when_down = takes_when_down
    world.restarts_at_once = restarts_at_once
    world.reports_lag_s = 0.6
    if not restarts_at_once:
        # Without a report nobody can tell a crash from a cut where the server is back at once.
        world.unreported = {name for at, name in enumerate(world.states) if at in unreported}
    world.moment()
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
        world.moment()
    world.advance_until_told()
    for name in (POISON, *(f"copy-{number}" for number in range(len(copies)))):
        assert world.outcome(name) == QUARANTINED
    early = len(copies) + 1 if restarts_at_once else len(copies)
    assert 2 <= world.crashes_by(POISON) <= max(2, 1 + early)
    check_innocents(world, names)
