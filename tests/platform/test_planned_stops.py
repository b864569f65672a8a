"""Tests of planned stops: requests that are under way, wait or arrive while an instance stops."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest

from tests.platform.cut_world import RESET, CutWorld
from tests.platform.platform_world import until


# The silence is long enough for probes of the server, and for a stream that may be resumed short
# enough not to be moved.
@pytest.mark.parametrize(
    ("path", "silence_s"), [("/lm/doc/", 2.5), ("/lm/chat/", 1.5), ("/shop/buy/", 3.0)]
)
def test_answer_is_not_given_up_when_the_peer_that_carries_it_stops(
    tmp_path: Path, path: str, silence_s: float
) -> None:
    # Guards against a stopping peer whose refusals count as the death of a sound server.
    bounds = {"revoke_ms": 60_000}
    with (
        CutWorld(tmp_path, engines=1, plain_servers=1, instances=2, bounds=bounds) as world,
        ThreadPoolExecutor(1) as pool,
    ):
        asker, carrier = world.running["entry-1"], world.running["entry-2"]
        assert world.send("/lm/chat/", instance="entry-2").status == 200
        assert world.send_safe(instance="entry-2").status == 200
        world.cut("entry-1", RESET)
        for carried_path in ("/lm/chat/", "/shop/look/"):
            until(partial(_is_served, world, carried_path), "requests are carried")
        for server in world.servers.values():
            server.event_count, server.event_interval_s, server.work_s = 2, silence_s, silence_s
        pending_answer = pool.submit(world.send, path, request_id="c1")
        until(lambda: len(world.runs("c1")) == 1, "the request runs")
        carrier.process.terminate()
        answer = pending_answer.result(20)
        assert carrier.logged("carry_refused")
        assert (answer.status, answer.is_cut) == (200, False)
        assert path.startswith("/shop") or len(answer.event_data) == 2
        assert len(world.runs("c1")) == 1
        assert not asker.logged("server_dead")
        assert not asker.logged("crash_in_flight")


def _is_served(world: CutWorld, path: str) -> bool:
    return world.send(path, X_Deadline_Ms="1500").status == 200
