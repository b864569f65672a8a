"""Test the choice of a server: subsets, loads, stale reports and prefixes."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.load_world import CLASSES, DATA_CENTRE, MODEL, LoadWorld, report_of
from turmericweir_core.base.config import Config, PlacementPolicy, ServerEntry, Service, ServiceKind
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
from turmericweir_core.state.server_table import rebuild_table
from turmericweir_core.state.state import Identity, State

OPTIONS = Options()
CENTRES = ("north", "south", "west")


def region_state(name: str, servers: int, *, centres: tuple[str, ...] = CENTRES) -> State:
    """Return the state of an instance of the first data centre, with servers in all of them."""
    service = Service(str(MODEL), ServiceKind.MODEL, (str(MODEL),))
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
    rebuild_table(state.servers, state.config)
    return state


def subset_names(state: State) -> list[str]:
    """Return the names of the servers in the subset."""
    return [server.entry.name for server in target_subset(state, MODEL).servers]


# --- subsets ---------------------------------------------------------------------------------


def test_subset_is_bounded_and_prefers_local_data_centre() -> None:
    """Guards against an unbounded subset, or one that prefers other data centres."""
    state = region_state("entry-1", 300)
    subset = target_subset(state, MODEL).servers
    own = [server for server in subset if server.entry.data_centre == CENTRES[0]]
    assert len(subset) == OPTIONS.subset_size
    assert len(own) == OPTIONS.subset_size - OPTIONS.subset_remote
    assert list(subset[: len(own)]) == own


def test_small_region_is_used_whole() -> None:
    """Guards against leaving out servers of a small region."""
    state = region_state("entry-1", 6)
    assert sorted(subset_names(state)) == [f"s{number}" for number in range(6)]


def test_subsets_cover_the_servers_evenly() -> None:
    """Guards against subsets that leave servers out or overload some."""
    uses_by_server: Counter[str] = Counter()
    for number in range(160):
        uses_by_server.update(subset_names(region_state(f"entry-{number}", 40, centres=("north",))))
    mean = 160 * OPTIONS.subset_size / 40
    assert len(uses_by_server) == 40
    assert min(uses_by_server.values()) > mean / 2
    assert max(uses_by_server.values()) < mean * 1.5


def test_leaving_server_changes_only_its_place_in_the_subset() -> None:
    """Guards against a reshuffled subset when one server leaves."""
    state = region_state("entry-1", 100)
    before = set(subset_names(state))
    leaving_server = target_subset(state, MODEL).servers[0]
    leaving_server.leaving = True
    state.servers.version += 1
    after = set(subset_names(state))
    assert before - after == {leaving_server.entry.name}
    assert len(after - before) == 1


def test_unreachable_subset_falls_back_to_other_servers() -> None:
    """Guards against unserved callers when all servers of the subset are unreachable."""
    state = region_state("entry-1", 100)
    for server in target_subset(state, MODEL).servers:
        server.unreachable_until = 200.0
    open_names = {server.entry.name for server in open_servers(state, 100.0, MODEL)}
    assert len(open_names) == 100 - OPTIONS.subset_size
    assert not open_names & set(subset_names(state))


def test_other_region_is_used_only_when_this_one_has_no_server() -> None:
    """Guards against use of another region while the local one has servers."""
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
    """Guards against sending to a failed server before a probe was answered."""
    world = LoadWorld(servers=2, slots=8, report_s=None)
    world.advance(0.1)
    failed_server = world.first.servers.by_name[ServerName("s0")]
    failed_server.unreachable_until = world.now + 0.5
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
    """Guards against a baseline policy that depends on load."""
    world = LoadWorld(servers=3, slots=4, policy=PlacementPolicy.BASELINE)
    for _ in range(9):
        world.arrive("quote")
    assert Counter(each.server for each in world.started) == {"s0": 3, "s1": 3, "s2": 3}


def test_least_loaded_server_is_taken() -> None:
    """Guards against sending to a server that other instances keep busier."""
    world = LoadWorld(servers=3, slots=8, report_s=None)
    for number, running in enumerate((6, 1, 4)):
        report = report_of(ServerName(f"s{number}"), 1, running, 8)
        world.event(InstanceName("entry-0"), report)
    world.arrive("quote", name="q")
    assert world.run_of("q").server == "s1"


@pytest.mark.parametrize("policy", [PlacementPolicy.COUNTS, PlacementPolicy.CREDITS])
@pytest.mark.parametrize("instances", [4, 8])
def test_stale_reports_do_not_cause_herding(policy: PlacementPolicy, instances: int) -> None:
    """Guards against all instances sending a burst to the one server whose stale report shows it
    idle.
    """
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


def test_ended_local_requests_free_room_at_once() -> None:
    """Guards against counting ended local requests as those of other instances."""
    world = LoadWorld(servers=1, slots=2, report_s=None)
    world.advance(0.1)
    for _ in range(3):
        world.arrive("quote")
    world.report()
    for running in list(world.running.values())[:2]:
        world.end(running)
    world.arrive("quote", name="q")
    assert "q" in world.running_ids()


def test_instance_without_running_requests_is_served() -> None:
    """Guards against starvation of an instance where others keep the only server full."""
    world = LoadWorld(servers=1, slots=2, report_s=None, kind=ServiceKind.PLAIN)
    world.event(InstanceName("entry-0"), report_of(ServerName("s0"), 1, 7, 2, ServiceKind.PLAIN))
    world.arrive("quote", name="q1")
    world.arrive("quote", name="q2")
    assert world.running_ids() == ["q1"]


def test_server_that_failed_a_request_is_avoided() -> None:
    """Guards against a retry on the server that refused the request."""
    world = LoadWorld(servers=2, slots=4)
    world.arrive("quote", name="q")
    first = world.run_of("q").server
    world.end(world.run_of("q"), EndRefused(429, leaving=False))
    second = world.run_of("q").server
    assert second != first


def test_predicted_work_breaks_a_tie() -> None:
    """Guards against ignoring the work left where request counts are equal."""
    world = LoadWorld(servers=2, slots=4, options=Options(predict_default=1000.0))
    world.arrive("quote", name="long", max_tokens=1000)
    world.arrive("quote", name="short", max_tokens=10)
    assert world.run_of("short").server != world.run_of("long").server
    world.arrive("quote", name="next")
    assert world.run_of("next").server == world.run_of("short").server


def test_remote_data_centre_is_used_only_when_local_is_busier() -> None:
    """Guards against leaving the local data centre while it is not much busier."""
    state = region_state("entry-1", 2, centres=("north", "south"))
    world = LoadWorld(servers=1)
    world.arrive("quote", name="q")
    req = world.first.requests[world.run_of("q").request_id]
    for _ in range(20):
        server = placement.pick_server(state, 100.0, req, 2)
        assert server is not None
        assert server.entry.data_centre == "north"
    for number in range(4):
        state.servers.by_name[ServerName("s0")].in_flight[world.run_of("q").attempt_id] = 2
        busy = report_of(ServerName("s0"), number, number + 1, 8)
        state.servers.by_name[ServerName("s0")].report = busy
        state.servers.by_name[ServerName("s0")].report_at = 100.0
    server = placement.pick_server(state, 100.0, req, 2)
    assert server is not None
    assert server.entry.data_centre == "south"
    assert DATA_CENTRE not in CENTRES


# --- prefixes --------------------------------------------------------------------------------


def test_request_follows_its_prefix() -> None:
    """Guards against ignoring a cached prefix for a small difference in load."""
    world = LoadWorld(servers=4, slots=8)
    world.arrive("quote", name="q0", prefixes=("catalogue", "catalogue/shirts"))
    for number in range(1, 4):
        world.arrive("quote", name=f"q{number}", prefixes=("catalogue", f"catalogue/{number}"))
    assert len({world.run_of(f"q{number}").server for number in range(4)}) == 1


def test_load_limits_prefix_affinity() -> None:
    """Guards against filling one server because of a prefix that all requests share."""
    world = LoadWorld(servers=4, slots=8)
    for _ in range(24):
        world.arrive("quote", prefixes=("catalogue",))
    by_server = Counter(each.server for each in world.running.values())
    mean = 24 / 4
    assert len(by_server) == 4
    assert max(by_server.values()) <= mean * OPTIONS.affinity_load_factor + 1


def cache_events(server: str, *events: CacheEvent, gap: bool) -> CacheEvents:
    """Return cache events of a server."""
    return CacheEvents(ServerName(server), events, gap)


def test_gap_in_cache_events_makes_prefix_uncertain() -> None:
    """Guards against treating prefixes from before a gap in cache events as certain or absent."""
    prefixes = PrefixMap()
    for server in ("s0", "s1"):
        prefix.note_sent(prefixes, OPTIONS, 1.0, ServerName(server), ("a", "a/b"))
    prefix.note_cache_events(prefixes, OPTIONS, 2.0, cache_events("s0", gap=True))
    scores = prefix.match_scores(prefixes, OPTIONS, ("a", "a/b"))
    assert scores == {"s0": OPTIONS.affinity_unknown_weight, "s1": 1.0}
    stored = CacheEvent(stored=True, prefix="a/b")
    prefix.note_cache_events(prefixes, OPTIONS, 3.0, cache_events("s0", stored, gap=False))
    assert prefix.match_scores(prefixes, OPTIONS, ("a", "a/b"))[ServerName("s0")] == 1.0


def test_eviction_keeps_shorter_prefix() -> None:
    """Guards against forgetting a shorter prefix when a longer one is evicted."""
    prefixes = PrefixMap()
    prefix.note_sent(prefixes, OPTIONS, 1.0, ServerName("s0"), ("a", "a/b"))
    evicted = CacheEvent(stored=False, prefix="a/b")
    prefix.note_cache_events(prefixes, OPTIONS, 2.0, cache_events("s0", evicted, gap=False))
    assert prefix.match_scores(prefixes, OPTIONS, ("a", "a/b")) == {"s0": 0.5}
    assert prefix.match_scores(prefixes, OPTIONS, ("c",)) == {}


@settings(deadline=None)
@given(st.integers(0, 2**16), st.integers(1, 50))
def test_prefixes_are_bounded(seed: int, keep: int) -> None:
    """Guards against unbounded memory for prefixes."""
    options = Options(prefix_keep=keep)
    prefixes = PrefixMap()
    rng = Random(seed)
    for step in range(200):
        keys = (f"p{rng.randrange(100)}",)
        prefix.note_sent(prefixes, options, float(step), ServerName(f"s{step % 3}"), keys)
        assert len(prefixes.holders) <= keep
        assert keys[0] in prefixes.holders
