"""Which server a request goes to: subsets, loads, prefixes, and reports that lag."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.load_world import CLASSES, DATA_CENTRE, MODEL, LoadWorld, report_of
from turmericweir_core.base.config import Config, Kind, Policy, ServerEntry, Service
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.membership.subset import on_tick as subset_tick
from turmericweir_core.membership.subset import open_servers, target_subset
from turmericweir_core.messages.events import CacheEvent, CacheEvents, EndRefused
from turmericweir_core.placement import placement
from turmericweir_core.reducers.reducer import new_state
from turmericweir_core.state import prefix
from turmericweir_core.state.membership_state import RemoteCentre
from turmericweir_core.state.prefix import PrefixMap
from turmericweir_core.state.server_table import rebuild
from turmericweir_core.state.state import Identity, State

OPTIONS = Options()
CENTRES = ("north", "south", "west")


def region_state(name: str, servers: int, *, centres: tuple[str, ...] = CENTRES) -> State:
    """Make an instance of the first data centre before servers of all of them."""
    service = Service(str(MODEL), Kind.MODEL, (str(MODEL),))
    entries = {
        ServerName(f"s{number}"): ServerEntry(
            ServerName(f"s{number}"), service.name, centres[number % len(centres)], "127.0.0.1:1"
        )
        for number in range(servers)
    }
    identity = Identity(InstanceName(name), centres[0], "region", "127.0.0.1:2", "1")
    state = new_state(identity, OPTIONS, seed=1)
    state.config = Config(
        classes=CLASSES,
        services={service.name: service},
        service_by_target={MODEL: service},
        servers=entries,
    )
    rebuild(state.servers, state.config)
    return state


def subset_names(state: State) -> list[str]:
    """Name the servers of the subset."""
    return [server.entry.name for server in target_subset(state, MODEL).servers]


# --- subsets ---------------------------------------------------------------------------------


def test_subset_is_bounded_and_own_data_centre_comes_first() -> None:
    """Use a bounded number of servers: most of the own data centre, and a few of others."""
    state = region_state("entry-1", 300)
    subset = target_subset(state, MODEL).servers
    own = [server for server in subset if server.entry.data_centre == CENTRES[0]]
    assert len(subset) == OPTIONS.subset_size
    assert len(own) == OPTIONS.subset_size - OPTIONS.subset_remote
    assert list(subset[: len(own)]) == own


def test_small_region_is_used_whole() -> None:
    """Use every server where there are few."""
    state = region_state("entry-1", 6)
    assert sorted(subset_names(state)) == [f"s{number}" for number in range(6)]


def test_subsets_cover_the_servers_evenly() -> None:
    """Leave no server of a region out, and crowd none."""
    used: Counter[str] = Counter()
    for number in range(160):
        used.update(subset_names(region_state(f"entry-{number}", 40, centres=("north",))))
    mean = 160 * OPTIONS.subset_size / 40
    assert len(used) == 40
    assert min(used.values()) > mean / 2
    assert max(used.values()) < mean * 1.5


def test_one_server_that_leaves_moves_only_its_own_place() -> None:
    """Keep the rest of the subset when a server starts leaving."""
    state = region_state("entry-1", 100)
    before = set(subset_names(state))
    gone = target_subset(state, MODEL).servers[0]
    gone.leaving = True
    state.servers.version += 1
    after = set(subset_names(state))
    assert before - after == {gone.entry.name}
    assert len(after - before) == 1


def test_subset_that_is_cut_off() -> None:
    # The rack with all servers of an instance's subset loses its network. Its callers are served by
    # the servers of the region that it does not use at other times.
    state = region_state("entry-1", 100)
    for server in target_subset(state, MODEL).servers:
        server.unreachable_until = 200.0
    found = {server.entry.name for server in open_servers(state, 100.0, MODEL)}
    assert len(found) == 100 - OPTIONS.subset_size
    assert not found & set(subset_names(state))


def test_other_region_is_used_only_when_this_one_has_no_server() -> None:
    """Leave the servers of another region alone while there are any in this one."""
    state = region_state("entry-1", 9)
    state.members.centres["west"] = RemoteCentre("west", region="far away")
    subset_tick(state, 100.0)
    assert {
        state.servers.by_name[ServerName(name)].entry.data_centre for name in subset_names(state)
    } == {"north", "south"}
    for server in state.servers.by_name.values():
        server.leaving = server.entry.data_centre != "west"
    state.servers.version += 1
    assert len(subset_names(state)) == 3


def test_server_that_failed_is_used_again_only_after_a_probe() -> None:
    # A server is cut off: connections to it time out. Its pause ends, and a caller's request comes
    # before the probe is answered: it must go to the server that is known to answer.
    world = LoadWorld(servers=2, slots=8, report_s=None)
    world.advance(0.1)
    failed = world.first.servers.by_name[ServerName("s0")]
    failed.unreachable_until = world.now + 0.5
    world.advance(1.0)
    for _ in range(6):
        world.arrive("quote")
    assert not world.on_server("s0")
    assert (InstanceName("entry-0"), ServerName("s0")) in world.probes
    world.report()
    for _ in range(6):
        world.arrive("quote")
    assert world.on_server("s0")


# --- loads and reports -----------------------------------------------------------------------


def test_baseline_takes_servers_in_turn() -> None:
    """Send to the servers in turn, whatever their load."""
    world = LoadWorld(servers=3, slots=4, policy=Policy.BASELINE)
    for _ in range(9):
        world.arrive("quote")
    assert Counter(each.server for each in world.started) == {"s0": 3, "s1": 3, "s2": 3}


def test_least_loaded_server_is_taken() -> None:
    """Send to the server with the smallest share of its slots in use, by all instances."""
    world = LoadWorld(servers=3, slots=8, report_s=None)
    for number, running in enumerate((6, 1, 4)):
        report = report_of(ServerName(f"s{number}"), 1, running, 8)
        world.event(InstanceName("entry-0"), report)
    world.arrive("quote", name="q")
    assert world.run_of("q").server == "s1"


@pytest.mark.parametrize("policy", [Policy.COUNTS, Policy.CREDITS])
@pytest.mark.parametrize("instances", [4, 8])
def test_reports_that_lag_do_not_herd(policy: Policy, instances: int) -> None:
    # One server has just become idle; the last report of every other one says that it is busy, and
    # no further report comes. A burst arrives at all instances at once. Were each to believe the
    # report alone, all of it would go to the idle server.
    world = LoadWorld(instances=instances, servers=4, slots=8, policy=policy, report_s=None)
    world.advance(0.3)
    for name in world.states:
        for number in range(4):
            running = 0 if number == 0 else 5
            world.event(name, report_of(ServerName(f"s{number}"), 1, running, 8))
    for _ in range(4):
        for number in range(instances):
            world.arrive("quote", instance=number)
    on_idle = len(world.on_server("s0"))
    assert on_idle <= world.slots + world.options.slack_slots


def test_own_requests_that_ended_make_room_before_the_next_report() -> None:
    # The last report shows the server full of this instance's own requests. They end; no further
    # report comes. Were the old numbers taken for others' requests, the caller would wait before
    # an idle server.
    world = LoadWorld(servers=1, slots=2, report_s=None)
    world.advance(0.1)
    for _ in range(3):
        world.arrive("quote")
    world.report()
    for running in list(world.running.values())[:2]:
        world.end(running)
    world.arrive("quote", name="q")
    assert "q" in world.running_ids()


def test_instance_that_runs_nothing_gets_a_turn() -> None:
    # The other instances keep the only server full, so that every report says so. The caller of an
    # instance that runs nothing there is served all the same.
    world = LoadWorld(servers=1, slots=2, report_s=None, kind=Kind.PLAIN)
    world.event(InstanceName("entry-0"), report_of(ServerName("s0"), 1, 7, 2, Kind.PLAIN))
    world.arrive("quote", name="q1")
    world.arrive("quote", name="q2")
    assert world.running_ids() == ["q1"]


def test_server_that_failed_a_request_is_avoided() -> None:
    """Try another server after one has refused, and the same one only where there is no other."""
    world = LoadWorld(servers=2, slots=4)
    world.arrive("quote", name="q")
    first = world.run_of("q").server
    world.end(world.run_of("q"), EndRefused(429, leaving=False))
    second = world.run_of("q").server
    assert second != first


def test_predicted_work_breaks_a_tie() -> None:
    """Prefer the server whose requests have less left to generate."""
    world = LoadWorld(servers=2, slots=4, options=Options(predict_default=1000.0))
    world.arrive("quote", name="long", max_tokens=1000)
    world.arrive("quote", name="short", max_tokens=10)
    assert world.run_of("short").server != world.run_of("long").server
    world.arrive("quote", name="next")
    assert world.run_of("next").server == world.run_of("short").server


def test_other_data_centre_only_when_the_own_is_busier() -> None:
    """Stay in the own data centre while it is not much busier."""
    state = region_state("entry-1", 2, centres=("north", "south"))
    world = LoadWorld(servers=1)
    world.arrive("quote", name="q")
    req = world.first.requests[world.run_of("q").request_id]
    for _ in range(20):
        picked = placement.pick_server(state, 100.0, req, 2)
        assert picked is not None
        assert picked.entry.data_centre == "north"
    for number in range(4):
        state.servers.by_name[ServerName("s0")].in_flight[world.run_of("q").attempt_id] = 2
        busy = report_of(ServerName("s0"), number, number + 1, 8)
        state.servers.by_name[ServerName("s0")].report = busy
        state.servers.by_name[ServerName("s0")].report_at = 100.0
    picked = placement.pick_server(state, 100.0, req, 2)
    assert picked is not None
    assert picked.entry.data_centre == "south"
    assert DATA_CENTRE not in CENTRES


# --- prefixes --------------------------------------------------------------------------------


def test_request_follows_its_prefix() -> None:
    """Send a request where its prefix went before, though another server is less loaded."""
    world = LoadWorld(servers=4, slots=8)
    world.arrive("quote", name="q0", prefixes=("catalogue", "catalogue/shirts"))
    for number in range(1, 4):
        world.arrive("quote", name=f"q{number}", prefixes=("catalogue", f"catalogue/{number}"))
    assert len({world.run_of(f"q{number}").server for number in range(4)}) == 1


def test_affinity_gives_way_to_load() -> None:
    # Every quote has the same catalogue as its prefix. While the servers have room the burst must
    # spread: the server that saw the catalogue first gets no more than its part, and a bit.
    world = LoadWorld(servers=4, slots=8)
    for _ in range(24):
        world.arrive("quote", prefixes=("catalogue",))
    by_server = Counter(each.server for each in world.running.values())
    mean = 24 / 4
    assert len(by_server) == 4
    assert max(by_server.values()) <= mean * OPTIONS.affinity_load_factor + 1


def gap_of(server: str, *events: CacheEvent, gap: bool) -> CacheEvents:
    """Make the cache events of a server."""
    return CacheEvents(ServerName(server), events, gap)


def test_gap_makes_a_prefix_unknown_and_not_absent() -> None:
    """Weigh what stood before a gap less than what is known, and more than nothing."""
    prefixes = PrefixMap()
    for server in ("s0", "s1"):
        prefix.note_sent(prefixes, OPTIONS, 1.0, ServerName(server), ("a", "a/b"))
    prefix.note_cache_events(prefixes, OPTIONS, 2.0, gap_of("s0", gap=True))
    scores = prefix.match_scores(prefixes, OPTIONS, ("a", "a/b"))
    assert scores == {"s0": OPTIONS.affinity_unknown_weight, "s1": 1.0}
    stored = CacheEvent(stored=True, prefix="a/b")
    prefix.note_cache_events(prefixes, OPTIONS, 3.0, gap_of("s0", stored, gap=False))
    assert prefix.match_scores(prefixes, OPTIONS, ("a", "a/b"))[ServerName("s0")] == 1.0


def test_eviction_leaves_the_shorter_prefix() -> None:
    """Go by the longest prefix that is left."""
    prefixes = PrefixMap()
    prefix.note_sent(prefixes, OPTIONS, 1.0, ServerName("s0"), ("a", "a/b"))
    evicted = CacheEvent(stored=False, prefix="a/b")
    prefix.note_cache_events(prefixes, OPTIONS, 2.0, gap_of("s0", evicted, gap=False))
    assert prefix.match_scores(prefixes, OPTIONS, ("a", "a/b")) == {"s0": 0.5}
    assert prefix.match_scores(prefixes, OPTIONS, ("c",)) == {}


@settings(deadline=None)
@given(st.integers(0, 2**16), st.integers(1, 50))
def test_prefixes_are_bounded(seed: int, keep: int) -> None:
    """Keep the newest prefixes, and no more than may be kept."""
    options = Options(prefix_keep=keep)
    prefixes = PrefixMap()
    rng = Random(seed)
    for step in range(200):
        keys = (f"p{rng.randrange(100)}",)
        prefix.note_sent(prefixes, options, float(step), ServerName(f"s{step % 3}"), keys)
        assert len(prefixes.holders) <= keep
        assert keys[0] in prefixes.holders
