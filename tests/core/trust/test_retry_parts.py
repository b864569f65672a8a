"""Tests of one instance's part of the retry budget of all instances."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st

from tests.core.store_world import PLAIN, StoreWorld
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.request import Request, RetryCause
from turmericweir_core.state.membership_state import Member
from turmericweir_core.trust import retry, retry_shares


def add_live_instances(world: StoreWorld, count: int) -> None:
    """Add live instances until there are `count`, and let the budget count them."""
    for number in range(2, count + 1):
        name = InstanceName(f"a-{number}")
        member = Member(name, "dc-a", f"127.0.0.1:{number}", region="home", seq=1)
        world.state.members.by_name[name] = member
    for _ in range(12):
        world.now += 0.5
        for member in world.state.members.by_name.values():
            member.last_seen_at = world.now
        retry_shares.on_tick(world.state, world.now)


def spend(world: StoreWorld, req: Request) -> bool:
    """Send a request once more if the budget allows it."""
    req.holds_retry = False
    if not retry.take(world.state, world.now, req, RetryCause.SERVER_ERROR):
        return False
    req.arrivals = 1
    retry.note_sent(world.state, world.now, req)
    return True


def spend_all(world: StoreWorld) -> int:
    """Return the number of retries that an instance makes at once, without first attempts."""
    req = world.request("1", target=PLAIN)
    spent = 0
    while spend(world, req):
        spent += 1
    return spent


# A part of a retry beside six whole ones.
@example([0.0, 0.0, 0.0, 0.5, *[0.0] * 16], 9)
@given(st.lists(st.floats(0.0, 0.5), min_size=20, max_size=120), st.integers(1, 9))
def test_no_window_holds_more_than_the_share(gaps: list[float], instances: int) -> None:
    """Limit the retries of every window even if all requests fail repeatedly."""
    world = StoreWorld()
    add_live_instances(world, instances)
    firsts: list[float] = []
    retries: list[float] = []
    for number, gap in enumerate(gaps):
        world.now += gap
        req = world.request(str(number), target=PLAIN)
        retry.earn_retry(world.state, world.now, req)
        firsts.append(world.now)
        while spend(world, req):
            retries.append(world.now)
    for end in retries:
        within = [at for at in retries if end - 10.0 <= at <= end]
        paid = [at for at in firsts if end - 20.0 <= at <= end]
        assert len(within) <= 0.2 * len(paid) + 56.0 / instances


def test_partition_does_not_double_the_burst() -> None:
    """Prevents a partition of eight instances into halves from doubling the burst."""
    world = StoreWorld()
    add_live_instances(world, 8)
    for number in range(5, 9):
        del world.state.members.by_name[InstanceName(f"a-{number}")]
    for _ in range(8):
        world.now += 0.5
        retry_shares.on_tick(world.state, world.now)
    assert spend_all(world) <= 56.0 / 8


def test_new_instance_takes_no_part() -> None:
    """Prevents a new instance from using a part that its predecessor has just used."""
    world = StoreWorld()
    world.state.retries.sharers.clear()
    retry_shares.on_tick(world.state, world.now)
    assert spend_all(world) == 0
