"""A request's way from arrival to its account: cases, and any order of events."""

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
from turmericweir_core.base.config import Kind
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
    check_lines(case, LifecycleScript().run(case.lines("in")))


# --- any order of events ---------------------------------------------------------------------


@dataclass(slots=True)
class Sent:
    """An attempt as the world outside the instance knows it."""

    start: StartAttempt
    sent: bool = False
    cancelled: bool = False


@dataclass(slots=True)
class Watched:
    """What the world outside knows of a request."""

    req: Request
    accounts: list[Account] = field(default_factory=list)
    # Attempts whose first byte went out and that no server said it refused.
    may_have_begun: int = 0
    tokens: int = 0


class Outside:
    """Everything around one instance: it checks each promise as effects come."""

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.now = 100.0
        self.state: State = make_state(kind, 2)
        self.watched: dict[RequestId, Watched] = {}
        self.attempts: dict[AttemptId, Sent] = {}
        # Ends that were already told, to be told again late.
        self.told: list[AttemptEnded] = []
        self.ends: Counter[Outcome] = Counter()

    def event(self, event: Event) -> None:
        """Give the instance an event and check what it does."""
        for effect in reduce(self.state, self.now, event):
            self._check(effect)

    def _check(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                watched = self.watched[effect.request_id]
                assert not watched.accounts, "an attempt after the account"
                assert not self._runs(effect.request_id), "two attempts at once"
                if not watched.req.repeatable:
                    assert watched.may_have_begun == 0, "a second run of what may run once"
                if self.kind is Kind.MODEL:
                    assert effect.resume_from == watched.tokens, "tokens lost or doubled"
                self.attempts[effect.attempt_id] = Sent(effect)
            case CancelAttempt():
                self.attempts[effect.attempt_id].cancelled = True
            case FinishRequest(account):
                self._check_account(account)
            case _:
                pass

    def _check_account(self, account: Account) -> None:
        watched = self.watched[RequestId(account.request_id)]
        watched.accounts.append(account)
        assert len(watched.accounts) == 1, "two accounts"
        assert not self._runs(watched.req.request_id), "an account while an attempt runs"
        self.ends[account.outcome] += 1
        if account.outcome is Outcome.NOT_RUN:
            assert watched.may_have_begun == 0, "not_run of what may have run"
        if account.outcome is Outcome.FAILED:
            assert watched.req.repeatable, "failed of what is not known"

    def _runs(self, request_id: RequestId) -> bool:
        return any(each.start.request_id == request_id for each in self.attempts.values())

    # --- what can happen -------------------------------------------------------------------

    def arrive(self, *, repeatable: bool, deadline_s: float) -> None:
        """Let a request come in."""
        request_id = RequestId(f"r{len(self.watched)}")
        req = Request(
            request_id=request_id,
            kind=self.kind,
            target=TARGET,
            customer="dunes",
            team="",
            service_class=CLASS,
            arrived=self.now,
            deadline=self.now + deadline_s,
            repeatable=repeatable or self.kind is Kind.MODEL,
            fingerprint=str(len(self.watched) % 3),
        )
        self.watched[request_id] = Watched(req)
        self.event(RequestArrived(req))

    def send(self, attempt: Sent) -> None:
        """Let the first byte go out."""
        if not attempt.sent:
            attempt.sent = True
            self.watched[attempt.start.request_id].may_have_begun += 1
            self.event(AttemptSent(attempt.start.request_id, attempt.start.attempt_id))

    def token(self, attempt: Sent) -> None:
        """Let a token come and be passed on."""
        self.send(attempt)
        self.watched[attempt.start.request_id].tokens += 1
        self.event(AttemptProgress(attempt.start.request_id, attempt.start.attempt_id, 1))

    def end(self, attempt: Sent, end: AttemptEnd) -> None:
        """Let an attempt end."""
        start = attempt.start
        if isinstance(end, EndUnsent) and attempt.sent:
            end = EndBroken("reset", server_alive=True)
        if isinstance(end, EndComplete | EndRefused | EndBroken | EndServerError):
            self.send(attempt)
        watched = self.watched[start.request_id]
        if isinstance(end, EndRefused):
            if watched.tokens:
                # It has begun, so it cannot refuse any more.
                end = EndBroken("reset", server_alive=True)
            else:
                watched.may_have_begun -= 1
        if isinstance(end, EndCancelled) and not attempt.cancelled:
            return
        del self.attempts[start.attempt_id]
        event = AttemptEnded(start.request_id, start.attempt_id, end)
        self.told.append(event)
        self.event(event)

    def late(self, number: int) -> None:
        """Let an end, or a token, of an attempt that is over come in once more."""
        if self.told:
            event = self.told[number % len(self.told)]
            self.event(event)
            self.event(AttemptProgress(event.request_id, event.attempt_id, 1))

    def leave(self, number: int) -> None:
        """Let a caller close its connection."""
        if self.watched:
            names = list(self.watched)
            self.event(CallerLeft(names[number % len(names)]))

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += OPTIONS.tick_s
            self.event(Tick())

    def pick(self, number: int) -> Sent | None:
        """Pick an attempt that is out."""
        attempts = list(self.attempts.values())
        return attempts[number % len(attempts)] if attempts else None


ENDS: Final = st.sampled_from(
    [
        EndComplete(200),
        EndRefused(503, leaving=False),
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


def take_step(outside: Outside, step: tuple[object, ...]) -> None:
    """Let one thing happen."""
    match step:
        case ("arrive", bool(repeatable), float(deadline_s)):
            outside.arrive(repeatable=repeatable, deadline_s=deadline_s)
        case ("late", int(number)):
            outside.late(number)
        case ("leave", int(number)):
            outside.leave(number)
        case ("wait", float(seconds)):
            outside.wait(seconds)
        case (str(word), int(number), *rest):
            attempt = outside.pick(number)
            if attempt is not None:
                act_on(outside, attempt, word, rest)
        case _:
            raise AssertionError(step)


def act_on(outside: Outside, attempt: Sent, word: str, rest: list[object]) -> None:
    """Let something happen to an attempt."""
    match word, rest:
        case "send", []:
            outside.send(attempt)
        case "token", []:
            outside.token(attempt)
        case "end", [end]:
            assert isinstance(end, AttemptEnd)
            outside.end(attempt, end)
        case _:
            raise AssertionError(word)


@settings(max_examples=300, deadline=None)
@given(kind=st.sampled_from(Kind), steps=STEPS)
def test_every_request_gets_one_true_account(kind: Kind, steps: list[tuple[object, ...]]) -> None:
    # Requests arrive, attempts end in every way, callers leave, late answers come in, in any order.
    # Each request has exactly one account at the end; `not_run` is never said of what may have run;
    # what must not be repeated never starts twice; streams go on where they were. `Outside` checks.
    outside = Outside(kind)
    for step in steps:
        take_step(outside, step)
    for _ in range(100):
        for attempt in list(outside.attempts.values()):
            end = EndCancelled(0) if attempt.cancelled else EndComplete(200)
            outside.end(attempt, end)
        outside.wait(1.0)
        if not outside.state.requests:
            break
    assert all(len(each.accounts) == 1 for each in outside.watched.values())
    assert not outside.state.queues.index
    assert not outside.state.quarantine.held
    assert not outside.state.quarantine.own
    assert not any(server.in_flight for server in outside.state.servers.by_name.values())
