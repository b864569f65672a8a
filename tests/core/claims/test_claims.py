"""Claims of idempotency keys: at most one run of a key, whatever is lost, late or killed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.core.claims_world import Fate, Instance, World
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.state.claim_ledger import holder_of

OPTIONS: Final = Options(
    claim_appends_s=1000.0, claim_append_burst=1000.0, claim_lot=2.0, claim_votes=False
)
# The log is let go of after a few records, so that readers often start amid the stream.
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
    """Something that an instance sent meets its fate."""

    instance: int
    index: int
    fate: Fate


@dataclass(frozen=True, slots=True)
class Pass:
    """Time passes."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Kill:
    """An instance is killed and another started."""

    instance: int


@dataclass(frozen=True, slots=True)
class LoseAll:
    """All instances are killed at once and others started, which find a working log and wait."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Outage:
    """The log goes down or comes back."""

    up: bool


@dataclass(frozen=True, slots=True)
class LandLate:
    """An append lands after its writer has given it up."""

    index: int


@dataclass(frozen=True, slots=True)
class LetGo:
    """The log lets go of old records."""


@dataclass(frozen=True, slots=True)
class Pause:
    """A process is stopped, or goes on."""

    instance: int
    paused: bool


@dataclass(frozen=True, slots=True)
class Hear:
    """An instance loses the heartbeats of all others, or hears them again."""

    instance: int
    hears: bool


@dataclass(frozen=True, slots=True)
class Twice:
    """Two callers, or an impatient one, send a key to two instances."""

    first: int
    second: int
    key: str


@dataclass(frozen=True, slots=True)
class Work:
    """So many of the oldest things that the instances sent are done."""

    count: int


Step = (
    Call | Perform | Pass | Kill | LoseAll | Outage | LandLate | LetGo | Pause | Hear | Work | Twice
)

NUMBER: Final = st.integers(0, 7)
PERFORM: Final = st.builds(Perform, NUMBER, NUMBER, st.sampled_from(Fate))
DO: Final = st.builds(Perform, NUMBER, NUMBER, st.just(Fate.DONE))
STEP: Final = st.one_of(
    DO,
    DO,
    DO,
    DO,
    PERFORM,
    st.builds(Call, NUMBER, NUMBER, NUMBER, st.sampled_from((0.3, 5.0))),
    st.builds(Pass, st.sampled_from((0.1, 0.1, 1.0))),
    st.builds(Kill, NUMBER),
    st.builds(Outage, st.booleans()),
    st.builds(LandLate, NUMBER),
    st.just(LetGo()),
)
HISTORY: Final = st.lists(STEP, max_size=120)


def play(world: World, step: Step) -> None:
    """Let one step of a history happen."""
    match step:
        case Call(index, key, body, deadline_s):
            instance = world.instances[index % INSTANCES]
            world.call(instance, KEYS[key % 2], BODIES[body % 4], deadline_s)
        case Perform(index, number, fate):
            instance = world.instances[index % INSTANCES]
            if instance.pending:
                world.perform(instance, number % len(instance.pending), fate)
        case Pass(seconds):
            world.tick(seconds)
        case Kill(index):
            world.kill(index % INSTANCES)
        case LoseAll(wait_s):
            for _ in range(INSTANCES):
                world.kill(0)
            world.calm(1.0)
            world.tick(wait_s)
            world.calm(1.0)
        case Outage(up):
            world.up = up
        case LandLate(index):
            world.land_late(index)
            world.deliver_late(index)
        case Twice(first, second, twice):
            for index in (first, second):
                world.call(world.instances[index % INSTANCES], twice)
        case Work(count):
            world.work(count)
        case Pause(index, paused):
            world.pause(index % INSTANCES, paused)
        case Hear(index, hears):
            world.instances[index % INSTANCES].hears = hears
        case LetGo():
            world.let_go()


def check_runs(world: World) -> None:
    """Check by the service's own record that no key ran twice and no account lies about it."""
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
    """Check that a ledger never lacks a claim that is live in truth."""
    for instance in world.instances:
        ledger = instance.state.claims.ledger
        if not ledger.whole or ledger.offset != len(world.records):
            continue
        for key in world.truth.claims:
            true_holder = holder_of(world.truth, world.options, key)
            if true_holder is None:
                continue
            found = holder_of(ledger, world.options, key)
            assert found is not None, f"{instance.state.me.name} lacks the holder of {key}"
            assert found.unsure or found.claim == true_holder.claim


def run_history(
    options: Options, history: list[Step], prelude: Callable[[World], None] | None = None
) -> World:
    """Play a history with its checks, and let everything settle after it."""
    world = World(options)
    for _ in range(INSTANCES):
        world.start()
    if prelude is not None:
        prelude(world)
    for step in history:
        play(world, step)
        check_ledgers(world)
    while world.late or world.delayed:
        world.land_late(0)
        world.deliver_late(0)
    world.calm()
    check_ledgers(world)
    check_runs(world)
    alive = {rid for each in world.instances for rid in each.state.requests}
    assert not alive, "a request was left without an account"
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
@given(st.lists(STEP.filter(lambda step: not isinstance(step, Kill | LetGo)), max_size=80))
def test_a_key_that_never_ran_is_free_again(history: list[Step]) -> None:
    """Without a killed instance, whatever was not run can be sent again with its key and runs."""
    world = run_history(OPTIONS, history)
    ran = {run.key for run in world.runs}
    for key in KEYS:
        if key in ran:
            continue
        request_id = world.call(world.instances[0], key)
        world.perform_all()
        assert world.accounts[request_id].outcome is Outcome.COMPLETED


# The same with views, which change often, and with outages most of the time.
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
    DO,
    PERFORM,
    st.builds(Call, NUMBER, NUMBER, st.just(0), st.sampled_from((0.3, 5.0))),
    st.builds(Twice, NUMBER, NUMBER, st.sampled_from("cdef")),
    st.builds(Pass, st.sampled_from((0.1, 0.1, 0.3))),
    st.builds(Outage, st.sampled_from((True, False))),
    st.builds(LandLate, NUMBER),
    st.one_of(
        st.builds(Pause, NUMBER, st.booleans()),
        st.builds(Hear, NUMBER, st.booleans()),
        st.builds(Kill, NUMBER),
        st.just(LetGo()),
    ),
)
VOTE_HISTORY: Final = st.lists(VOTE_STEP, min_size=10, max_size=100)


def run_outage(options: Options, history: list[Step]) -> World:
    """Play a history that begins in an outage which the instances know of."""
    return run_history(options, history, prelude=begin_outage)


def begin_outage(world: World) -> None:
    """Let the instances meet, and lose the log."""
    world.calm(2.0)
    world.up = False
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


# An outage that lasts until all instances are lost, and what callers do then. The waits of one
# history stay below the retention, after which a key may run again.
IN_OUTAGE: Final = st.one_of(
    WORK, WORK, DO, PERFORM, st.builds(Call, NUMBER, NUMBER, st.just(0), st.just(5.0))
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
    """Make a world of two instances that have read the empty log."""
    world = World(OPTIONS)
    world.start()
    world.start()
    world.calm(2.0)
    return world


def test_second_caller_gets_the_first_answer() -> None:
    world = two_instances()
    first, second = world.instances
    one = world.call(first, "k")
    world.perform_all()
    two = world.call(second, "k")
    world.perform_all()
    assert world.accounts[one].outcome is Outcome.COMPLETED
    assert world.accounts[two].outcome is Outcome.COMPLETED
    assert second.replays[two] == one.encode()
    assert len(world.runs) == 1


def test_another_body_is_refused() -> None:
    world = two_instances()
    world.call(world.instances[0], "k")
    world.perform_all()
    two = world.call(world.instances[1], "k", body="other")
    world.perform_all()
    assert world.accounts[two].reason is Reason.KEY_REUSED
    assert world.accounts[two].outcome is Outcome.NOT_RUN
    assert len(world.runs) == 1


def test_lost_acknowledgement_is_settled_by_reading() -> None:
    """The caller sees one answer. The claim lands, its acknowledgement is lost; the instance reads
    on, finds its own claim first, and runs the call without a second append."""
    world = two_instances()
    first = world.instances[0]
    one = world.call(first, "k")
    world.perform(first, 0, Fate.UNACKNOWLEDGED)
    world.perform_all()
    assert world.accounts[one].outcome is Outcome.COMPLETED
    assert len([record for record in world.records if record["claims"]]) == 1


def test_claim_that_lands_after_not_run_never_runs_and_blocks_nobody() -> None:
    """The caller is told `not_run` in an outage and sends the same key again when it is over.

    The first claim was still on its way and lands after the one that withdraws it; it is void."""
    world = two_instances()
    first, second = world.instances
    one = world.call(first, "k", deadline_s=0.3)
    world.perform(first, 0, Fate.LATE)
    world.up = False
    for _ in range(10):
        world.tick(0.1)
    assert world.accounts[one].reason is Reason.CLAIM_UNAVAILABLE
    assert world.accounts[one].retry_after_s
    world.calm(3.0)
    world.land_late(0)
    world.calm(3.0)
    two = world.call(second, "k")
    world.perform_all()
    assert world.accounts[two].outcome is Outcome.COMPLETED
    assert [run.request_id for run in world.runs] == [two]


def test_holder_that_was_killed_leaves_unknown() -> None:
    world = two_instances()
    first, second = world.instances
    world.call(first, "k")
    world.perform(first, 0, Fate.DONE)
    world.kill(0)
    two = world.call(second, "k")
    world.calm(1.0)
    assert world.accounts[two].outcome is Outcome.UNKNOWN
    assert world.accounts[two].reason is Reason.ALREADY_CLAIMED
    assert not world.runs


def test_second_caller_waits_for_the_first() -> None:
    world = two_instances()
    first, second = world.instances
    world.call(first, "k")
    world.perform(first, 0, Fate.DONE)
    (start,) = first.pending
    first.pending.clear()
    two = world.call(second, "k")
    world.perform_all()
    assert two not in world.accounts
    first.pending.append(start)
    world.perform_all()
    assert world.accounts[two].outcome is Outcome.COMPLETED
    assert len(world.runs) == 1


def test_a_known_key_is_answered_in_an_outage() -> None:
    world = two_instances()
    first, second = world.instances
    world.call(first, "k")
    world.calm(2.0)
    world.up = False
    two = world.call(second, "k")
    world.perform_all()
    assert world.accounts[two].outcome is Outcome.COMPLETED


def test_call_without_key_is_sent_once() -> None:
    world = two_instances()
    first = world.instances[0]
    one = world.call(first, None)
    world.perform(first, 0, Fate.UNACKNOWLEDGED)
    world.calm(3.0)
    assert world.accounts[one].outcome is Outcome.UNKNOWN
    assert world.accounts[one].reason is Reason.EVIDENCE_LOST
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
    world.calm(11.0)
    world.call(first, "later")
    world.call(second, "later too")
    world.perform_all()
    assert holder_of(first.state.claims.ledger, world.options, "k") is None
    world.call(second, "k")
    world.perform_all()
    assert len([run for run in world.runs if run.key == "k"]) == 2


def test_one_wrong_clock_expires_nothing() -> None:
    """Two callers send one key. An instance whose clock is a year ahead writes between them; were
    its word the time of the stream, the first claim would expire and the key run twice."""
    world = two_instances()
    first, second = world.instances
    world.call(first, "k")
    world.perform_all()
    world.now += 365 * 86_400
    world.call(second, "ahead")
    world.perform_all()
    world.now -= 365 * 86_400
    world.calm(2.0)
    world.call(first, "k")
    world.perform_all()
    assert len([run for run in world.runs if run.key == "k"]) == 1


def test_malformed_records_change_nothing() -> None:
    world = two_instances()
    world.land({"claims": "noise"})
    world.land({})
    one = world.call(world.instances[0], "k")
    world.perform_all()
    assert world.accounts[one].outcome is Outcome.COMPLETED
    assert world.instances[0].state.claims.ledger.malformed == 2


def test_a_holder_that_is_being_withdrawn_is_not_taken_for_lost() -> None:
    """The first call cannot be sent, so it is not run and its claim is taken back. A second caller
    asks meanwhile, before the withdrawal is in the log; it must wait for that and then run, rather
    than be told that the call may have run."""
    world = two_instances()
    first, second = world.instances
    one = world.call(first, "k", deadline_s=0.3)
    world.perform(first, 0, Fate.DONE)
    (start,) = first.pending
    while start in first.pending:
        world.perform(first, 0, Fate.FAILED)
    two = world.call(second, "k")
    world.calm(5.0)
    assert world.accounts[one].outcome is Outcome.NOT_RUN
    assert world.accounts[two].outcome is Outcome.COMPLETED
    assert [run.request_id for run in world.runs] == [two]


def test_no_more_keys_are_held_than_memory_allows() -> None:
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
    """Tell whether an instance takes its ledger for whole."""
    return instance.state.claims.ledger.whole


def test_new_instance_asks_whether_it_knows_all_claims() -> None:
    """The log has let go of every record, so a new instance can't know which keys are held and
    refuses. It asks in the log; an instance that has read everything tells where live claims begin,
    and from then on the new one claims."""
    world = World(SHORT_LOG)
    first = world.start()
    one = world.call(first, "k", deadline_s=0.3)
    world.now += 1.0
    world.perform(first, 0, Fate.DONE)
    world.calm(3.0)
    assert world.accounts[one].outcome is Outcome.NOT_RUN
    world.let_go()
    assert world.oldest == len(world.records)

    second = world.start()
    world.instances.remove(first)
    two = world.call(second, "k", deadline_s=2.0)
    world.calm(3.0)
    assert not knows_all_claims(second)
    assert world.accounts[two].reason is Reason.CLAIM_UNAVAILABLE

    world.instances.append(first)
    world.calm(3.0)
    assert knows_all_claims(second)
    three = world.call(second, "k")
    world.perform_all()
    assert world.accounts[three].outcome is Outcome.COMPLETED
