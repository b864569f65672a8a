"""The time limits of requests whose answers have begun."""

from __future__ import annotations

from tests.core.store_world import FIT, StoreWorld, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import FinishRequest, ProbeServer, StartAttempt
from turmericweir_core.messages.events import EndBroken, EndUnsent, ServerUnreachable


def test_stream_that_waits_to_go_on_ends_at_its_time_limit() -> None:
    # Guards against callers that are held for ever by a begun stream that no server goes on with.
    world = StoreWorld(engines=1)
    limit_at = world.now + 6.0
    begun = world.arrive(
        "1",
        service_class=FIT,
        prompt_tokens=1_000,
        repeatable=True,
        is_resumable=True,
        streamed=True,
        sends_max=3,
        deadline=limit_at,
    )
    start = start_of(begun)
    world.sent(start)
    world.now += 0.1
    world.begin(start)
    world.end(start, EndBroken("reset", server_alive=False))
    finished: list[FinishRequest] = []
    while world.now < limit_at + 0.2:
        effects = world.wait(0.05)
        for probe in only(effects, ProbeServer):
            effects += world.give(ServerUnreachable(probe.server, "refused"))
        for again in only(effects, StartAttempt):
            effects += world.end(again, EndUnsent("refused"))
        finished += only(effects, FinishRequest)
    (finish,) = finished
    assert (finish.account.outcome, finish.account.reason) == (Outcome.FAILED, Reason.DEADLINE)
