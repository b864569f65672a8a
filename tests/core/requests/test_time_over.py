"""Test requests whose time is over when an attempt ends, before a tick has noticed."""

from __future__ import annotations

import pytest

from tests.core.store_world import QUICK, StoreWorld, account_of, only, start_of
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import AttemptEnd, EndBroken, EndCancelled, EndUnsent

BROKEN = EndBroken("reset", server_alive=True)


@pytest.mark.parametrize("end", [BROKEN, EndCancelled(0), EndUnsent("refused")])
@pytest.mark.parametrize("has_begun", [False, True])
def test_request_is_not_started_again_once_its_time_is_over(
    has_begun: bool, end: AttemptEnd
) -> None:
    """Guards against attempts in a loop until the next tick."""
    world = StoreWorld(engines=2, plain=0)
    fields = {"service_class": QUICK, "repeatable": True, "sends_max": 3}
    start = start_of(world.arrive("r", deadline=world.now + 1.0, end_by=world.now + 2.0, **fields))
    if not isinstance(end, EndUnsent):
        world.sent(start)
    if has_begun:
        world.begin(start)
    world.now += 2.5 if has_begun else 1.5
    effects = world.end(start, end)
    assert account_of(effects).account.reason is Reason.DEADLINE
    assert not only(effects, StartAttempt)
