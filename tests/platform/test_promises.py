"""Tests that no answer promises more than is known of its request."""

from __future__ import annotations

import json
from itertools import product
from pathlib import Path
from typing import Final

import pytest

from tests.core.lifecycle_script import CLASS, TARGET, make_state
from tests.platform.platform_world import Answer, PlatformWorld
from tests.promises import promises_not_run, says_not_run
from turmericweir.answers.caller_answer import outcome_event
from turmericweir.answers.caller_problem import Problem, make_account_problem
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import FinishRequest
from turmericweir_core.requests.lifecycle import finish
from turmericweir_platform.wire import PlatformWire

BEGUN_OUTCOMES: Final = (Outcome.FAILED, Outcome.UNKNOWN)
KINDS: Final = ("/shop/look/", "/shop/buy/", "/lm/chat/", "/lm/doc/")


def _account(reason: Reason, outcome: Outcome) -> Account:
    """Return the account of a request that ends for a reason with an outcome."""
    state = make_state(ServiceKind.PLAIN, 1)
    req = Request(
        request_id=RequestId("r1"),
        kind=ServiceKind.PLAIN,
        target=TARGET,
        customer="school",
        team="",
        service_class=CLASS,
        arrived_at=100.0,
        deadline=101.0,
    )
    effects = finish(state, 102.0, req, outcome, reason, retry_after_s=1.0)
    return next(each.account for each in effects if isinstance(each, FinishRequest))


def _promises_not_run(problem: Problem) -> bool:
    headers = {name.decode(): value.decode() for name, value in problem.headers}
    return promises_not_run(problem.status, headers, problem.body)


@pytest.mark.parametrize("outcome", list(Outcome))
def test_only_a_request_that_was_not_run_is_said_not_to_have_run(outcome: Outcome) -> None:
    # Guards against answers whose status, headers, fields or text contradict the outcome.
    wrong = []
    for reason, interface in product(Reason, ("own", "platform", "event")):
        account = _account(reason, outcome)
        if interface == "event":
            _, _, data = outcome_event(account).partition(b"data: ")
            is_promised = says_not_run(json.loads(data))
        elif interface == "own":
            is_promised = _promises_not_run(make_account_problem(account))
        else:
            is_promised = _promises_not_run(PlatformWire().account_problem(account))
        if is_promised is not (outcome is Outcome.NOT_RUN):
            wrong.append((reason.value, interface, account.detail))
    assert not wrong


@pytest.mark.parametrize("path", KINDS)
def test_request_that_a_server_has_is_not_said_not_to_have_run(tmp_path: Path, path: str) -> None:
    # Guards against a caller that sends an order again because it was told that nothing was run.
    with PlatformWorld(tmp_path) as world:
        world.set_mode("mute")
        answer = _send_with_short_deadline(world, path)
        assert world.runs("p1")
        assert not promises_not_run(answer.status, answer.headers, answer.body)


def _send_with_short_deadline(world: PlatformWorld, path: str) -> Answer:
    method, body = ("GET", b"") if path == "/shop/look/" else ("POST", b"one")
    return world.send(path, method=method, body=body, request_id="p1", X_Deadline_Ms="700")
