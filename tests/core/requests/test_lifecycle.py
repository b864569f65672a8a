"""Test requests from arrival to account: the cases of `cases/lifecycle.test`, and properties."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.lifecycle_script import CLASS, OPTIONS, TARGET, LifecycleScript, make_state
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import AttemptId, RequestId
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import CancelAttempt, Effect, FinishRequest, StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    CallerLeft,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndRefused,
    EndServerError,
    EndUnsent,
    Event,
    RequestArrived,
    Tick,
)
from turmericweir_core.reducers.reducer import reduce
from turmericweir_core.state.state import State

CASES: Final = load_cases("lifecycle.test")


@pytest.mark.parametrize("case", CASES, ids=str)
def test_case(case: Case) -> None:
    """Check a case of `cases/lifecycle.test`."""
    check_lines(case, LifecycleScript().run(case.lines("in")))


# --- any order of events ---------------------------------------------------------------------


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt as seen outside the instance."""

    start: StartAttempt
    sent: bool = False
    cancelled: bool = False


@dataclass(slots=True)
class ObservedRequest:
    """A request as seen outside the instance."""

    req: Request
    accounts: list[Account] = field(default_factory=list)
    # Attempts that were sent and not refused by the server.
    may_have_begun: int = 0
    tokens: int = 0


class Environment:
    """The environment of an instance, which checks each guarantee as effects arrive."""

    def __init__(self, kind: ServiceKind) -> None:
        self.kind = kind
        self.now = 100.0
        self.state: State = make_state(kind, 2)
        self.observed_requests: dict[RequestId, ObservedRequest] = {}
        self.attempts: dict[AttemptId, ObservedAttempt] = {}
        # Ends that were reported and may be repeated as stale events.
        self.reported_ends: list[AttemptEnded] = []
        self.ends: Counter[Outcome] = Counter()

    def event(self, event: Event) -> None:
        """Give the instance an event and check what it does."""
        for effect in reduce(self.state, self.now, event):
            self._check(effect)

    def _check(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                observed = self.observed_requests[effect.request_id]
                assert not observed.accounts, "attempt started after the account"
                assert not self._runs(effect.request_id), "two attempts at once"
                if not observed.req.repeatable:
                    assert observed.may_have_begun == 0, "non-repeatable request run twice"
                if self.kind is ServiceKind.MODEL:
                    assert effect.resume_from == observed.tokens, "tokens lost or duplicated"
                self.attempts[effect.attempt_id] = ObservedAttempt(effect)
            case CancelAttempt():
                self.attempts[effect.attempt_id].cancelled = True
            case FinishRequest(account):
                self._check_account(account)
            case _:
                pass

    def _check_account(self, account: Account) -> None:
        observed = self.observed_requests[RequestId(account.request_id)]
        observed.accounts.append(account)
        assert len(observed.accounts) == 1, "two accounts"
        assert not self._runs(observed.req.request_id), "account while an attempt runs"
        self.ends[account.outcome] += 1
        if account.outcome is Outcome.NOT_RUN:
            assert observed.may_have_begun == 0, "not_run for a request that may have run"
        if account.outcome is Outcome.FAILED:
            assert observed.req.repeatable, "failed for a request with an unknown outcome"

    def _runs(self, request_id: RequestId) -> bool:
        return any(each.start.request_id == request_id for each in self.attempts.values())

    # --- events ----------------------------------------------------------------------------

    def arrive(self, *, repeatable: bool, deadline_s: float) -> None:
        """Let a request arrive."""
        request_id = RequestId(f"r{len(self.observed_requests)}")
        req = Request(
            request_id=request_id,
            kind=self.kind,
            target=TARGET,
            customer="dunes",
            team="",
            service_class=CLASS,
            arrived_at=self.now,
            deadline=self.now + deadline_s,
            repeatable=repeatable or self.kind is ServiceKind.MODEL,
            fingerprint=str(len(self.observed_requests) % 3),
        )
        self.observed_requests[request_id] = ObservedRequest(req)
        self.event(RequestArrived(req))

    def send(self, attempt: ObservedAttempt) -> None:
        """Send the first byte of an attempt."""
        if not attempt.sent:
            attempt.sent = True
            self.observed_requests[attempt.start.request_id].may_have_begun += 1
            self.event(AttemptSent(attempt.start.request_id, attempt.start.attempt_id))

    def token(self, attempt: ObservedAttempt) -> None:
        """Receive a token and pass it on."""
        self.send(attempt)
        self.observed_requests[attempt.start.request_id].tokens += 1
        self.event(AttemptProgress(attempt.start.request_id, attempt.start.attempt_id, 1))

    def end(self, attempt: ObservedAttempt, end: AttemptEnd) -> None:
        """Let an attempt end."""
        start = attempt.start
        if isinstance(end, EndUnsent) and attempt.sent:
            end = EndBroken("reset", server_alive=True)
        if isinstance(end, EndComplete | EndRefused | EndBroken | EndServerError):
            self.send(attempt)
        observed = self.observed_requests[start.request_id]
        if isinstance(end, EndRefused):
            if observed.tokens:
                # It has begun and cannot be refused any more.
                end = EndBroken("reset", server_alive=True)
            elif end.is_identified:
                observed.may_have_begun -= 1
        if isinstance(end, EndCancelled) and not attempt.cancelled:
            return
        del self.attempts[start.attempt_id]
        event = AttemptEnded(start.request_id, start.attempt_id, end)
        self.reported_ends.append(event)
        self.event(event)

    def late(self, number: int) -> None:
        """Repeat the end of an attempt that is over, and a stale token."""
        if self.reported_ends:
            event = self.reported_ends[number % len(self.reported_ends)]
            self.event(event)
            self.event(AttemptProgress(event.request_id, event.attempt_id, 1))

    def leave(self, number: int) -> None:
        """Let a caller close its connection."""
        if self.observed_requests:
            names = list(self.observed_requests)
            self.event(CallerLeft(names[number % len(names)]))

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += OPTIONS.tick_s
            self.event(Tick())

    def pick(self, number: int) -> ObservedAttempt | None:
        """Return one of the current attempts, or None."""
        attempts = list(self.attempts.values())
        return attempts[number % len(attempts)] if attempts else None


ENDS: Final = st.sampled_from(
    [
        EndComplete(200),
        EndRefused(503, leaving=False),
        EndRefused(503, leaving=True, is_identified=False),
        EndUnsent("connect failed"),
        EndBroken("reset", server_alive=True),
        EndBroken("reset", server_alive=False),
        EndServerError(500),
        EndCancelled(0),
    ]
)
STEPS: Final = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), st.booleans(), st.sampled_from([1.0, 30.0])),
        st.tuples(st.just("send"), st.integers(0, 9)),
        st.tuples(st.just("token"), st.integers(0, 9)),
        st.tuples(st.just("end"), st.integers(0, 9), ENDS),
        st.tuples(st.just("late"), st.integers(0, 9)),
        st.tuples(st.just("leave"), st.integers(0, 9)),
        st.tuples(st.just("wait"), st.sampled_from([0.1, 0.6, 2.5])),
    ),
    max_size=40,
)


def take_step(environment: Environment, step: tuple[object, ...]) -> None:
    """Take one step of a random sequence."""
    match step:
        case ("arrive", bool(repeatable), float(deadline_s)):
            environment.arrive(repeatable=repeatable, deadline_s=deadline_s)
        case ("late", int(number)):
            environment.late(number)
        case ("leave", int(number)):
            environment.leave(number)
        case ("wait", float(seconds)):
            environment.wait(seconds)
        case (str(word), int(number), *rest):
            attempt = environment.pick(number)
            if attempt is not None:
                apply_to_attempt(environment, attempt, word, rest)
        case _:
            raise AssertionError(step)


def apply_to_attempt(
    environment: Environment, attempt: ObservedAttempt, word: str, rest: list[object]
) -> None:
    """Apply a step to an attempt."""
    match word, rest:
        case "send", []:
            environment.send(attempt)
        case "token", []:
            environment.token(attempt)
        case "end", [end]:
            assert isinstance(end, AttemptEnd)
            environment.end(attempt, end)
        case _:
            raise AssertionError(word)


@settings(max_examples=300, deadline=None)
@given(kind=st.sampled_from(ServiceKind), steps=STEPS)
def test_every_request_gets_one_correct_account(
    kind: ServiceKind, steps: list[tuple[object, ...]]
) -> None:
    """Guards against violated guarantees in any order of events.

    Each request has one account, `not_run` only if it did not run, at most one run if it is not
    repeatable, and a stream that resumes where it stopped.
    """
    environment = Environment(kind)
    for step in steps:
        take_step(environment, step)
    for _ in range(100):
        for attempt in list(environment.attempts.values()):
            end = EndCancelled(0) if attempt.cancelled else EndComplete(200)
            environment.end(attempt, end)
        environment.wait(1.0)
        if not environment.state.requests:
            break
    assert all(len(each.accounts) == 1 for each in environment.observed_requests.values())
    assert not environment.state.queues.index
    assert not environment.state.quarantine.waiting_suspects
    assert not environment.state.quarantine.isolated_runs
    assert not any(server.in_flight for server in environment.state.servers.by_name.values())
