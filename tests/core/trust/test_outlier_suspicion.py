"""Test what a server gets that has just failed a request, before there is a verdict on it."""

from __future__ import annotations

import pytest

from tests.core.outlier_fleet import (
    CALL,
    LONG,
    PLAIN,
    FailingServer,
    Failure,
    Load,
    OutlierFleet,
    ejecting_world,
    no_answer,
    reset,
)
from tests.core.store_world import PLAIN as SHOP
from tests.core.store_world import StoreWorld, only
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import AttemptEnd, EndBroken, EndComplete

NO_ANSWER = EndBroken("bytes that are no answer", server_alive=True, is_malformed=True)
RESET = EndBroken("connection reset", server_alive=True)
OK = EndComplete(200)
# Longer than requests that may not be repeated leave a suspected server to others.
PAUSE_S = 0.3


def shop_world(plain: int = 4) -> StoreWorld:
    """Return an instance with plain servers that have answered."""
    world = ejecting_world(engines=1, plain=plain)
    for start in calls(world, 2 * plain):
        world.end(start, OK)
    return world


def calls(world: StoreWorld, count: int, **fields: object) -> list[StartAttempt]:
    """Send calls at once; return the attempts that were started."""
    number = len(world.effects)
    starts = []
    for each in range(count):
        starts += only(world.arrive(f"c{number}-{each}", target=SHOP, **fields), StartAttempt)
    for start in starts:
        world.sent(start)
    return starts


def fail_one(world: StoreWorld, end: AttemptEnd = NO_ANSWER) -> ServerName:
    """Let one call fail at its server, which is suspected then; return the server's name."""
    (start,) = calls(world, 1)
    world.end(start, end)
    assert set(world.state.outliers.suspected) == {start.server}
    return start.server


def count_at(name: ServerName, starts: list[StartAttempt]) -> int:
    """Count the attempts at a server."""
    return sum(start.server == name for start in starts)


@pytest.mark.parametrize("end", [NO_ANSWER, RESET, EndComplete(500)])
def test_server_that_has_just_failed_gets_one_call_at_a_time(end: AttemptEnd) -> None:
    """Guards against losing all that is sent while the first failures come in."""
    world = shop_world()
    name = fail_one(world, end)
    assert count_at(name, calls(world, 6)) == 0
    world.wait(PAUSE_S)
    assert count_at(name, calls(world, 9)) == 1


def test_repeatable_calls_find_out_first() -> None:
    """Guards against finding out by calls that are lost."""
    world = shop_world()
    name = fail_one(world)
    starts = calls(world, 3, repeatable=True, sends_max=3)
    assert [start.server == name for start in starts] == [True, False, False]


@pytest.mark.parametrize("is_begun", [False, True])
def test_sign_that_the_server_is_well_ends_it(is_begun: bool) -> None:
    """Guards against a server that gets little for one failure."""
    world = shop_world()
    name = fail_one(world)
    world.wait(PAUSE_S)
    (start,) = [each for each in calls(world, 9) if each.server == name]
    if is_begun:
        world.begin(start)
    else:
        world.end(start, OK)
    assert not world.state.outliers.suspected


def test_answer_that_began_before_the_failure_is_no_sign() -> None:
    """Guards against trusting a server for what it had begun while it was well."""
    world = shop_world()
    starts = calls(world, 8)
    name = starts[0].server
    begun, failed = [each for each in starts if each.server == name]
    world.begin(begun)
    world.now += 0.1
    world.end(failed, NO_ANSWER)
    world.now += 0.1
    world.end(begun, OK)
    assert set(world.state.outliers.suspected) == {name}


def test_suspicion_without_another_failure_ends() -> None:
    """Guards against a server that gets little since its only call never ends."""
    world = shop_world()
    fail_one(world)
    world.wait(2.1)
    assert not world.state.outliers.suspected


def test_servers_that_all_fail_are_not_suspected() -> None:
    """Guards against a service that gets little since its requests fail everywhere."""
    world = shop_world(plain=4)
    for _ in range(6):
        for start in calls(world, 8):
            world.end(start, NO_ANSWER)
        world.wait(PAUSE_S)
        assert len({*world.state.outliers.suspected, *world.state.outliers.ejected}) <= 2


def test_only_server_is_not_suspected() -> None:
    """Guards against calls that wait for each other at the only server of a service."""
    world = ejecting_world(engines=1, plain=1)
    for start in calls(world, 1):
        world.end(start, NO_ANSWER)
    assert not world.state.outliers.suspected
    assert len(calls(world, 4)) == 4


@pytest.mark.parametrize("failure", [no_answer, reset])
@pytest.mark.parametrize("load", [Load(60.0, LONG), Load(120.0, CALL, PLAIN)], ids=["lm", "shop"])
def test_server_that_begins_to_fail_under_load_loses_what_it_holds(
    load: Load, failure: Failure
) -> None:
    """Guards against a server that draws the work between its first failure and the verdict."""
    fleet = OutlierFleet(4)
    fleet.schedule([load], 8.0)
    fleet.run(4.0)
    name = "lm-1" if load.service_class is LONG else "shop-1"
    fleet.failing = {name: FailingServer(1.0, failure, after_s=0.1)}
    since = fleet.now
    fleet.run(7.0)
    first_at = next(each.at for each in fleet.sent if each.has_failed) + 0.1
    later = [each for each in fleet.sent if each.has_failed and each.at > first_at]
    assert len(later) <= 3, len(later)
    assert fleet.served(since) >= 0.95
