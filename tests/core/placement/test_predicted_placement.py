"""Test placement by the model of the engines."""

from __future__ import annotations

from msgspec.structs import replace

from tests.core.store_world import BULK, FIT, MODEL, QUICK, StoreWorld, only, start_of
from turmericweir_core.base.config import ServiceClass
from turmericweir_core.base.routes import Route, WeightedTarget, build_route_table
from turmericweir_core.engines import engine_pools
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import EndComplete, RegistryRead
from turmericweir_core.messages.load_messages import DemandRow, LoadNews
from turmericweir_core.placement.predicted_placement import explain

SHARED_PART = ("sheet", 13_300)


def test_request_waits_for_prefill_of_shared_part() -> None:
    """Guards against prefilling a shared part twice for two requests sent in quick succession."""
    world = StoreWorld()
    first = start_of(world.arrive("1", prompt_tokens=17_000, parts=(SHARED_PART, ("own-1", 3_700))))
    world.sent(first)
    world.now += 0.1
    assert not only(
        world.arrive("2", prompt_tokens=17_000, parts=(SHARED_PART, ("own-2", 3_700))), StartAttempt
    )
    world.now += 0.3
    second = start_of(world.begin(first))
    assert second.request_id == "2"
    assert second.server == first.server


def test_placement_is_explained_where_no_server_is_open() -> None:
    """Guards against a request that is lost to an error of its log line."""
    world = StoreWorld(engines=1)
    start = start_of(world.arrive("1", prompt_tokens=3_000, parts=(("own-1", 3_000),)))
    server = world.state.servers.by_name[start.server]
    server.leaving = True
    fields = explain(world.state, world.now, world.state.requests[start.request_id], server)
    assert fields["least_read"] == fields["read_tokens"]


def test_requests_pass_one_that_waits_for_its_part() -> None:
    """Guards against blocking other requests behind one that waits for its part."""
    world = StoreWorld()
    start_of(world.arrive("1", prompt_tokens=17_000, parts=(SHARED_PART, ("own-1", 3_700))))
    world.arrive("2", prompt_tokens=17_000, parts=(SHARED_PART, ("own-2", 3_700)))
    third = start_of(world.arrive("3", prompt_tokens=3_000, parts=(("own-3", 3_000),)))
    assert third.request_id == "3"


def test_part_is_prefilled_elsewhere_to_meet_the_target() -> None:
    """Guards against waiting for the engine that holds a part beyond the start target."""
    world = StoreWorld(engines=5)
    first = start_of(
        world.arrive("1", service_class=FIT, prompt_tokens=1_000, parts=(("few", 900),))
    )
    world.begin(first)
    world.end(first, EndComplete(200))
    home = first.server
    blocking = world.arrive("big", prompt_tokens=50_000, parts=(("few", 900), ("big", 49_100)))
    assert start_of(blocking).server == home
    quick = world.arrive(
        "2", service_class=FIT, prompt_tokens=1_000, parts=(("few", 900), ("own", 100))
    )
    assert start_of(quick).server != home


def test_short_prompts_and_long_prompts_use_different_engines() -> None:
    """Guards against late events of streams beside long prefills on the same engine."""
    world = StoreWorld(engines=5)
    long = {
        start_of(
            world.arrive(f"b{number}", prompt_tokens=17_000, parts=((f"s{number}", 17_000),))
        ).server
        for number in range(6)
    }
    quick = {
        start_of(
            world.arrive(
                f"q{number}",
                service_class=QUICK,
                prompt_tokens=1_000,
                parts=((f"q{number}", 1_000),),
            )
        ).server
        for number in range(6)
    }
    assert long
    assert quick
    assert not long & quick


def test_part_is_fetched_from_engine_that_holds_it() -> None:
    """Guards against a new prefill of a part that a leaving engine can hand over."""
    world = StoreWorld(engines=5)
    first = start_of(world.arrive("1", prompt_tokens=17_000, parts=(SHARED_PART, ("own-1", 3_700))))
    world.begin(first)
    holder = world.state.servers.by_name[first.server].entry
    leaving = world.entry(holder.name, "lm", leaving=True)
    world.give(RegistryRead(((leaving, 5),)))
    second = start_of(
        world.arrive("2", prompt_tokens=17_000, parts=(SHARED_PART, ("own-2", 3_700)))
    )
    assert second.server != first.server
    assert second.fetch_from_address == holder.address


def test_late_request_does_not_repeat_a_prefill() -> None:
    """Guards against repeated prefills of a part under overload."""
    world = StoreWorld(engines=5, engine_wait_share=100.0)
    first = start_of(world.arrive("1", prompt_tokens=17_000, parts=(SHARED_PART, ("own-1", 3_700))))
    world.begin(first)
    world.end(first, EndComplete(200))
    for number in range(40):
        part = ((f"x{number}", 30_000),)
        world.arrive(f"x{number}", prompt_tokens=30_000, parts=part)
    late = start_of(world.arrive("2", prompt_tokens=17_000, parts=(SHARED_PART, ("own-2", 3_700))))
    assert late.server == first.server


def test_new_instances_agree_on_home_engine() -> None:
    """Guards against different home engines of a part after a restart of all instances."""
    servers: set[str] = set()
    for _ in range(3):
        world = StoreWorld(engines=5)
        world.state.rng.seed(len(servers))
        start = start_of(
            world.arrive(
                "1", service_class=BULK, prompt_tokens=14_000, parts=(SHARED_PART, ("o", 700))
            )
        )
        servers.add(start.server)
    assert len(servers) == 1


def test_long_prompt_burst_leaves_needed_decode_engines() -> None:
    """Guards against a proportional cut of decode engines in a burst of equally urgent long
    prompts.
    """
    world = StoreWorld(engines=12)
    demand = [DemandRow("lm", 40_000, 3_900)]
    world.peer("a-2", LoadNews("y", 1, [], [], demand))
    used = _servers(world, "q", QUICK, 40)
    assert len(used) >= 5
    assert not used & _servers(world, "b", BULK, 4)


def test_demand_includes_slots_of_long_answers() -> None:
    """Guards against planning decode engines by prefill work alone."""
    world = StoreWorld(engines=8)
    for number in range(120):
        # One of ten instances, for 30 s.
        name = f"w{number}"
        world.arrive(name, service_class=QUICK, prompt_tokens=20, expected_tokens=600)
        world.now += 0.25
    rows = engine_pools.demand_rows(world.state, world.now)
    assert 2_500 < rows[0].short_prompt_ms_s * 10 < 3_500


def test_needed_decode_engines_are_assigned_at_once() -> None:
    """Guards against a slow change of the split where decode engines are short."""
    world = StoreWorld(engines=8)
    world.peer("a-2", LoadNews("y", 1, [], [], [DemandRow("lm", 3_500, 400)]))
    before = _servers(world, "b", BULK, 20)
    world.peer("a-2", LoadNews("y", 2, [], [], [DemandRow("lm", 3_500, 3_300)]))
    used = _servers(world, "q", QUICK, 40)
    assert len(before) >= 6
    assert len(used) >= 4


def _servers(world: StoreWorld, prefix: str, service_class: ServiceClass, count: int) -> set[str]:
    used: set[str] = set()
    for number in range(count):
        name = f"{prefix}{number}"
        size = 15_000 if service_class is BULK else 900
        effects = world.arrive(
            name, service_class=service_class, prompt_tokens=size, parts=((name, size),)
        )
        for start in only(effects, StartAttempt):
            used.add(start.server)
            world.begin(start)
    return used


def test_urgent_long_prompts_get_engines_first() -> None:
    """Guards against a burst of less urgent short prompts that takes the prefill engines."""
    world = StoreWorld(engines=8)
    table = build_route_table([_route("marking", BULK, 0), _route("homework", QUICK, 1)])
    world.state.config = replace(world.state.config, routes=table, offset=7)
    world.peer("a-2", LoadNews("y", 1, [], [], [DemandRow("lm", 3_500, 9_000)]))
    assert len(_servers(world, "b", BULK, 20)) >= 6
    assert len(_servers(world, "q", QUICK, 20)) <= 2


def _route(name: str, service_class: ServiceClass, priority: int) -> Route:
    return Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        targets=(WeightedTarget(MODEL, 1),),
        streamed=True,
        repeatable=False,
        sends_max=1,
        timeout_s=9.0,
        target_s=service_class.target_s,
        gap_target_s=service_class.token_gap_target_s,
        priority=priority,
    )


def test_long_prompts_do_not_starve_short_prompt() -> None:
    """Guards against starvation of a short-prompt request by a series of long prompts."""
    world = StoreWorld(engines=1)
    long = start_of(world.arrive("long", prompt_tokens=30_000, parts=(("sheet", 30_000),)))
    world.sent(long)
    assert not only(world.arrive("quick", service_class=QUICK, prompt_tokens=900), StartAttempt)
    starts = only(world.wait(0.5), StartAttempt)
    assert [each.request_id for each in starts] == ["quick"]


def test_short_prompts_spill_to_prefill_engines() -> None:
    """Guards against unanswered short-prompt requests where all decode slots are in use."""
    world = StoreWorld(engines=2)
    first = start_of(world.arrive("q0", service_class=QUICK, prompt_tokens=20))
    for number in range(1, 64):
        world.arrive(f"q{number}", service_class=QUICK, prompt_tokens=20)
    arrival_effects = world.arrive("next", service_class=QUICK, prompt_tokens=20)
    assert not only(arrival_effects, StartAttempt)
    (start,) = only(world.wait(0.5), StartAttempt)
    assert start.request_id == "next"
    assert start.server != first.server


def test_short_prompts_are_answered_in_local_data_centre() -> None:
    """Guards against short-prompt answers from other data centres, which a partition would cut."""
    centres = {f"lm-{number}": f"dc-{'abc'[number % 3]}" for number in range(1, 7)}
    used: set[str] = set()
    for own in "abc":
        world = StoreWorld(engines=6)
        entries = [
            replace(each, data_centre=centres.get(each.name, "dc-a")) for each in world.entries
        ]
        world.give(RegistryRead(tuple((each, 2) for each in entries), is_complete=True))
        world.state.me = replace(world.state.me, data_centre=f"dc-{own}")
        shared = ("greeting", 120)
        fields = {"service_class": QUICK, "prompt_tokens": 700}
        for number in range(20):
            # The split follows the demand by one step in ten seconds.
            world.wait(1.0)
            parts = (shared, (f"q{number}", 580))
            start = start_of(world.arrive(str(number), parts=parts, **fields))
            world.begin(start)
            world.end(start, EndComplete(200))
        assert centres[start.server] == f"dc-{own}"
        used.add(start.server)
    assert len(used) == 3


def test_long_part_is_reused_across_data_centres() -> None:
    """Guards against a new prefill of a long part in each data centre."""
    world = StoreWorld(engines=6)
    first = start_of(world.arrive("1", prompt_tokens=17_000, parts=(SHARED_PART, ("own-1", 3_700))))
    world.begin(first)
    world.end(first, EndComplete(200))
    entries = [
        replace(each, data_centre="dc-b" if each.name == first.server else "dc-a")
        for each in world.entries
    ]
    world.give(RegistryRead(tuple((each, 2) for each in entries), is_complete=True))
    second = start_of(
        world.arrive("2", prompt_tokens=17_000, parts=(SHARED_PART, ("own-2", 3_700)))
    )
    assert second.server == first.server


def test_common_prefix_does_not_overload_one_engine() -> None:
    """Guards against filling one engine because of a short common prefix."""
    world = StoreWorld(engines=8)
    servers: list[str] = []
    for number in range(80):
        world.wait(0.05)
        parts = (("greeting", 350), (f"own-{number}", 1_100))
        start = start_of(
            world.arrive(str(number), service_class=QUICK, prompt_tokens=1_450, parts=parts)
        )
        world.begin(start)
        servers.append(start.server)
    assert max(servers.count(name) for name in set(servers)) <= 40


def test_long_prompts_follow_their_cached_part() -> None:
    """Guards against prefilling a long part on each engine in turn."""
    world = StoreWorld(engines=8)
    servers = set()
    for number in range(10):
        world.wait(0.3)
        parts = (SHARED_PART, (f"own-{number}", 1_000))
        start = start_of(world.arrive(str(number), prompt_tokens=14_300, parts=parts))
        world.begin(start)
        servers.add(start.server)
    assert len(servers) <= 2
