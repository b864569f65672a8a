"""Tests that a key runs at most once, whatever is lost, delayed or killed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.core.claims_world import Delivery, Instance, World
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.state.claim_ledger import holder_of

OPTIONS: Final = Options(
    claim_appends_s=1000.0, claim_append_burst=1000.0, claim_lot=2.0, claim_votes=False
)
# Records expire early. Makes many readers start within the stream.
SHORT_LOG: Final = replace(OPTIONS, claim_carry_records=6, claim_carry_max=50)

KEYS: Final = ("a", "b")
BODIES: Final = ("b", "b", "b", "other")
INSTANCES: Final = 3


# --- random histories ------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Call:
    """A caller sends a call."""

    instance: int
    key: int
    body: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Perform:
    """A pending effect of an instance is performed."""

    instance: int
    index: int
    delivery: Delivery


@dataclass(frozen=True, slots=True)
class AdvanceTime:
    """The time advances."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Kill:
    """An instance is killed and another started."""

    instance: int


@dataclass(frozen=True, slots=True)
class LoseAll:
    """All instances are replaced at once by new ones, which wait with a working log."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Outage:
    """The log goes down or comes back."""

    is_log_up: bool


@dataclass(frozen=True, slots=True)
class LandLate:
    """A delayed append lands, and a delayed message is delivered."""

    index: int


@dataclass(frozen=True, slots=True)
class ExpireRecords:
    """Old records of the log expire."""


@dataclass(frozen=True, slots=True)
class Pause:
    """A process is paused or resumed."""

    instance: int
    paused: bool


@dataclass(frozen=True, slots=True)
class SetHeartbeats:
    """An instance loses its heartbeats with all others, or regains them."""

    instance: int
    has_heartbeats: bool


@dataclass(frozen=True, slots=True)
class CallTwice:
    """A key is sent to two instances."""

    first: int
    second: int
    key: str


@dataclass(frozen=True, slots=True)
class Work:
    """A number of the oldest pending effects of each instance are performed."""

    count: int


Step = (
    Call
    | Perform
    | AdvanceTime
    | Kill
    | LoseAll
    | Outage
    | LandLate
    | ExpireRecords
    | Pause
    | SetHeartbeats
    | Work
    | CallTwice
)

NUMBER: Final = st.integers(0, 7)
PERFORM: Final = st.builds(Perform, NUMBER, NUMBER, st.sampled_from(Delivery))
PERFORM_DONE: Final = st.builds(Perform, NUMBER, NUMBER, st.just(Delivery.DONE))
STEP: Final = st.one_of(
    PERFORM_DONE,
    PERFORM_DONE,
    PERFORM_DONE,
    PERFORM_DONE,
    PERFORM,
    st.builds(Call, NUMBER, NUMBER, NUMBER, st.sampled_from((0.3, 5.0))),
    st.builds(AdvanceTime, st.sampled_from((0.1, 0.1, 1.0))),
    st.builds(Kill, NUMBER),
    st.builds(Outage, st.booleans()),
    st.builds(LandLate, NUMBER),
    st.just(ExpireRecords()),
)
HISTORY: Final = st.lists(STEP, max_size=120)


def play(world: World, step: Step) -> None:
    """Apply one step of a history."""
    match step:
        case Call(index, key, body, deadline_s):
            instance = world.instances[index % INSTANCES]
            world.call(instance, KEYS[key % 2], BODIES[body % 4], deadline_s)
        case Perform(index, number, delivery):
            instance = world.instances[index % INSTANCES]
            if instance.pending:
                world.perform(instance, number % len(instance.pending), delivery)
        case AdvanceTime(seconds):
            world.tick(seconds)
        case Kill(index):
            world.kill(index % INSTANCES)
        case LoseAll(wait_s):
            for _ in range(INSTANCES):
                world.kill(0)
            world.run_normally(1.0)
            world.tick(wait_s)
            world.run_normally(1.0)
        case Outage(is_log_up):
            world.is_log_up = is_log_up
        case LandLate(index):
            world.land_late(index)
            world.deliver_late(index)
        case CallTwice(first, second, repeated_key):
            for index in (first, second):
                world.call(world.instances[index % INSTANCES], repeated_key)
        case Work(count):
            world.work(count)
        case Pause(index, paused):
            world.pause(index % INSTANCES, paused)
        case SetHeartbeats(index, has_heartbeats):
            world.instances[index % INSTANCES].has_heartbeats = has_heartbeats
        case ExpireRecords():
            world.expire_records()


def check_runs(world: World) -> None:
    """Check that no key ran twice and that all accounts agree with the service's runs."""
    runs = Counter(run.key for run in world.runs)
    assert not [key for key, count in runs.items() if count > 1], world.runs
    ran = {run.request_id for run in world.runs}
    for account in world.accounts.values():
        if account.outcome is Outcome.NOT_RUN:
            assert account.request_id not in ran
        if account.outcome is Outcome.COMPLETED:
            key = world.requests[account.request_id].idempotency_key
            assert runs[key or account.request_id] == 1


def check_ledgers(world: World) -> None:
    """Check that no whole ledger lacks a live claim."""
    for instance in world.instances:
        ledger = instance.state.claims.ledger
        if not ledger.has_all_claims or ledger.offset != len(world.records):
            continue
        for key in world.truth.claims:
            true_holder = holder_of(world.truth, world.options, key)
            if true_holder is None:
                continue
            holder = holder_of(ledger, world.options, key)
            assert holder is not None, f"{instance.state.me.name} lacks the holder of {key}"
            assert holder.is_unsure or holder.claim == true_holder.claim


def run_history(
    options: Options, history: list[Step], prepare: Callable[[World], None] | None = None
) -> World:
    """Play a history with its checks, and run without failures after it."""
    world = World(options)
    for _ in range(INSTANCES):
        world.start()
    if prepare is not None:
        prepare(world)
    for step in history:
        play(world, step)
        check_ledgers(world)
    while world.late or world.delayed:
        world.land_late(0)
        world.deliver_late(0)
    world.run_normally()
    check_ledgers(world)
    check_runs(world)
    remaining = {request_id for each in world.instances for request_id in each.state.requests}
    assert not remaining, "a request was left without an account"
    return world


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(HISTORY)
def test_a_key_runs_at_most_once(history: list[Step]) -> None:
    run_history(OPTIONS, history)


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(HISTORY)
def test_a_key_runs_at_most_once_with_a_short_log(history: list[Step]) -> None:
    run_history(SHORT_LOG, history)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(STEP.filter(lambda step: not isinstance(step, Kill | ExpireRecords)), max_size=80))
def test_a_key_that_never_ran_is_free_again(history: list[Step]) -> None:
    """If no instance was killed, a key that never ran can be sent again and runs."""
    world = run_history(OPTIONS, history)
    ran = {run.key for run in world.runs}
    for key in KEYS:
        if key in ran:
            continue
        request_id = world.call(world.instances[0], key)
        world.perform_all()
        assert world.accounts[request_id].outcome is Outcome.COMPLETED


# Options for histories with frequent view changes and outages.
VOTES: Final = replace(
    OPTIONS,
    claim_votes=True,
    claim_view_met_s=0.0,
    claim_view_first_s=0.0,
    claim_view_quiet_s=0.2,
    claim_join_s=0.3,
    claim_read_s=0.4,
    suspect_s=0.3,
)
VOTES_SHORT_LOG: Final = replace(VOTES, claim_carry_records=12, claim_carry_max=50)
WORK: Final = st.builds(Work, st.integers(1, 4))
VOTE_STEP: Final = st.one_of(
    WORK,
    WORK,
    WORK,
    PERFORM_DONE,
    PERFORM,
    st.builds(Call, NUMBER, NUMBER, st.just(0), st.sampled_from((0.3, 5.0))),
    st.builds(CallTwice, NUMBER, NUMBER, st.sampled_from("cdef")),
    st.builds(AdvanceTime, st.sampled_from((0.1, 0.1, 0.3))),
    st.builds(Outage, st.sampled_from((True, False))),
    st.builds(LandLate, NUMBER),
    st.one_of(
        st.builds(Pause, NUMBER, st.booleans()),
        st.builds(SetHeartbeats, NUMBER, st.booleans()),
        st.builds(Kill, NUMBER),
        st.just(ExpireRecords()),
    ),
)
VOTE_HISTORY: Final = st.lists(VOTE_STEP, min_size=10, max_size=100)


def run_outage(options: Options, history: list[Step]) -> World:
    """Play a history that begins in an outage which the instances have detected."""
    return run_history(options, history, prepare=begin_outage)


def begin_outage(world: World) -> None:
    """Let the instances discover each other, then fail the log."""
    world.run_normally(2.0)
    world.is_log_up = False
    for instance in world.instances:
        instance.state.claims.outbox.failures = 1


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(VOTE_HISTORY)
def test_a_key_runs_at_most_once_by_votes(history: list[Step]) -> None:
    run_outage(VOTES, history)


@settings(max_examples=200, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(VOTE_HISTORY)
def test_a_key_runs_at_most_once_by_votes_with_a_short_log(history: list[Step]) -> None:
    run_outage(VOTES_SHORT_LOG, history)


# An outage during which all instances are lost. The waits of one history stay below the retention,
# after which a key may run again.
IN_OUTAGE: Final = st.one_of(
    WORK, WORK, PERFORM_DONE, PERFORM, st.builds(Call, NUMBER, NUMBER, st.just(0), st.just(5.0))
)
LOST: Final = st.builds(LoseAll, st.sampled_from((1.0, 2_000.0, 20_000.0)))
LOST_HISTORY: Final = st.builds(
    lambda before, lost, after: [*before, lost, *after],
    st.lists(IN_OUTAGE, min_size=3, max_size=30),
    LOST,
    st.lists(st.one_of(VOTE_STEP, VOTE_STEP, IN_OUTAGE), max_size=30),
)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(LOST_HISTORY)
def test_a_key_runs_at_most_once_after_all_were_lost(history: list[Step]) -> None:
    run_outage(VOTES, history)


# --- single failures -------------------------------------------------------------------------


def two_instances() -> World:
    """Return a world of two instances that have read the empty log."""
    world = World(OPTIONS)
    world.start()
    world.start()
    world.run_normally(2.0)
    return world


def test_second_caller_gets_the_first_answer() -> None:
    world = two_instances()
    first, second = world.instances
    request_1 = world.call(first, "k")
    world.perform_all()
    request_2 = world.call(second, "k")
    world.perform_all()
    assert world.accounts[request_1].outcome is Outcome.COMPLETED
    assert world.accounts[request_2].outcome is Outcome.COMPLETED
    assert second.replays[request_2] == request_1.encode()
    assert len(world.runs) == 1


def test_another_body_is_refused() -> None:
    world = two_instances()
    world.call(world.instances[0], "k")
    world.perform_all()
    request_2 = world.call(world.instances[1], "k", body="other")
    world.perform_all()
    assert world.accounts[request_2].reason is Reason.KEY_REUSED
    assert world.accounts[request_2].outcome is Outcome.NOT_RUN
    assert len(world.runs) == 1


def test_lost_acknowledgement_is_settled_by_reading() -> None:
    """Prevents a second append when only the acknowledgement of a claim was lost."""
    world = two_instances()
    first = world.instances[0]
    request_1 = world.call(first, "k")
    world.perform(first, 0, Delivery.UNACKNOWLEDGED)
    world.perform_all()
    assert world.accounts[request_1].outcome is Outcome.COMPLETED
    assert len([record for record in world.records if record["claims"]]) == 1


def test_claim_that_lands_after_not_run_never_runs_and_blocks_nobody() -> None:
    """Prevents a claim that lands after its withdrawal from running or from blocking its key."""
    world = two_instances()
    first, second = world.instances
    request_1 = world.call(first, "k", deadline_s=0.3)
    world.perform(first, 0, Delivery.LATE)
    world.is_log_up = False
    for _ in range(10):
        world.tick(0.1)
    assert world.accounts[request_1].reason is Reason.CLAIM_UNAVAILABLE
    assert world.accounts[request_1].retry_after_s
    world.run_normally(3.0)
    world.land_late(0)
    world.run_normally(3.0)
    request_2 = world.call(second, "k")
    world.perform_all()
    assert world.accounts[request_2].outcome is Outcome.COMPLETED
    assert [run.request_id for run in world.runs] == [request_2]


def test_holder_that_was_killed_leaves_unknown() -> None:
    world = two_instances()
    first, second = world.instances
    world.call(first, "k")
    world.perform(first, 0, Delivery.DONE)
    world.kill(0)
    request_2 = world.call(second, "k")
    world.run_normally(1.0)
    assert world.accounts[request_2].outcome is Outcome.UNKNOWN
    assert world.accounts[request_2].reason is Reason.ALREADY_CLAIMED
    assert not world.runs


def test_second_caller_waits_for_the_first() -> None:
    world = two_instances()
    first, second = world.instances
    world.call(first, "k")
    world.perform(first, 0, Delivery.DONE)
    (start,) = first.pending
    first.pending.clear()
    request_2 = world.call(second, "k")
    world.perform_all()
    assert request_2 not in world.accounts
    first.pending.append(start)
    world.perform_all()
    assert world.accounts[request_2].outcome is Outcome.COMPLETED
    assert len(world.runs) == 1


def test_a_known_key_is_answered_in_an_outage() -> None:
    world = two_instances()
    first, second = world.instances
    world.call(first, "k")
    world.run_normally(2.0)
    world.is_log_up = False
    request_2 = world.call(second, "k")
    world.perform_all()
    assert world.accounts[request_2].outcome is Outcome.COMPLETED


def test_call_without_key_is_sent_once() -> None:
    world = two_instances()
    first = world.instances[0]
    request_1 = world.call(first, None)
    world.perform(first, 0, Delivery.UNACKNOWLEDGED)
    world.run_normally(3.0)
    assert world.accounts[request_1].outcome is Outcome.UNKNOWN
    assert world.accounts[request_1].reason is Reason.EVIDENCE_LOST
    assert len(world.runs) == 1


def test_one_append_for_all_claims_of_a_round_trip() -> None:
    world = two_instances()
    first = world.instances[0]
    before = len(world.records)
    for number in range(20):
        world.call(first, f"k{number}")
    world.perform_all()
    claims = [len(record["claims"]) for record in world.records[before:]]
    assert [count for count in claims if count] == [1, 19]


def test_claims_expire_by_the_clock_of_the_stream() -> None:
    world = World(replace(OPTIONS, claim_retention_s=10.0))
    first, second = world.start(), world.start()
    world.call(first, "k")
    world.call(second, "other")
    world.run_normally(11.0)
    world.call(first, "later")
    world.call(second, "later too")
    world.perform_all()
    assert holder_of(first.state.claims.ledger, world.options, "k") is None
    world.call(second, "k")
    world.perform_all()
    assert len([run for run in world.runs if run.key == "k"]) == 2


def test_one_wrong_clock_expires_nothing() -> None:
    """Prevents a single clock that is far ahead from expiring claims."""
    world = two_instances()
    first, second = world.instances
    world.call(first, "k")
    world.perform_all()
    world.now += 365 * 86_400
    world.call(second, "ahead")
    world.perform_all()
    world.now -= 365 * 86_400
    world.run_normally(2.0)
    world.call(first, "k")
    world.perform_all()
    assert len([run for run in world.runs if run.key == "k"]) == 1


def test_malformed_records_change_nothing() -> None:
    world = two_instances()
    world.land({"claims": "noise"})
    world.land({})
    request_1 = world.call(world.instances[0], "k")
    world.perform_all()
    assert world.accounts[request_1].outcome is Outcome.COMPLETED
    assert world.instances[0].state.claims.ledger.malformed == 2


def test_holder_that_is_being_withdrawn_is_not_unknown() -> None:
    """Prevents a second caller from getting `unknown` while the claim of a call that never ran is
    being withdrawn."""
    world = two_instances()
    first, second = world.instances
    request_1 = world.call(first, "k", deadline_s=0.3)
    world.perform(first, 0, Delivery.DONE)
    (start,) = first.pending
    while start in first.pending:
        world.perform(first, 0, Delivery.FAILED)
    request_2 = world.call(second, "k")
    world.run_normally(5.0)
    assert world.accounts[request_1].outcome is Outcome.NOT_RUN
    assert world.accounts[request_2].outcome is Outcome.COMPLETED
    assert [run.request_id for run in world.runs] == [request_2]


def test_number_of_held_keys_is_limited() -> None:
    world = World(replace(OPTIONS, claim_live_max=2))
    first = world.start()
    answers = [world.call(first, f"k{number}") for number in range(2)]
    world.perform_all()
    third = world.call(first, "k3")
    world.perform_all()
    assert {world.accounts[each].outcome for each in answers} == {Outcome.COMPLETED}
    assert world.accounts[third].reason is Reason.CLAIM_UNAVAILABLE
    assert len(world.runs) == 2


def knows_all_claims(instance: Instance) -> bool:
    """Return whether an instance's ledger is whole."""
    return instance.state.claims.ledger.has_all_claims


def test_new_instance_requests_a_floor() -> None:
    """After all records expired, a new instance refuses keys until another one has written a floor
    on request."""
    world = World(SHORT_LOG)
    first = world.start()
    request_1 = world.call(first, "k", deadline_s=0.3)
    world.now += 1.0
    world.perform(first, 0, Delivery.DONE)
    world.run_normally(3.0)
    assert world.accounts[request_1].outcome is Outcome.NOT_RUN
    world.expire_records()
    assert world.oldest == len(world.records)

    second = world.start()
    world.instances.remove(first)
    request_2 = world.call(second, "k", deadline_s=2.0)
    world.run_normally(3.0)
    assert not knows_all_claims(second)
    assert world.accounts[request_2].reason is Reason.CLAIM_UNAVAILABLE

    world.instances.append(first)
    world.run_normally(3.0)
    assert knows_all_claims(second)
    request_3 = world.call(second, "k")
    world.perform_all()
    assert world.accounts[request_3].outcome is Outcome.COMPLETED
