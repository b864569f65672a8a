"""Test that servers that fail more requests than others get no work, under load and by cases."""

from __future__ import annotations

from itertools import pairwise

import msgspec
import pytest
from msgspec.structs import replace

from tests.core.outlier_fleet import (
    CALL,
    FAILURES,
    LONG,
    PLAIN,
    SHORT,
    FailingServer,
    Load,
    OutlierFleet,
    ejecting_world,
)
from tests.core.store_world import PLAIN as SHOP
from tests.core.store_world import StoreWorld, only, start_of
from turmericweir_core.base.ids import ServerName, Target
from turmericweir_core.base.release import release_of
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.messages.effects import Log
from turmericweir_core.messages.events import (
    AttemptEnd,
    EndBroken,
    EndComplete,
    EndRefused,
    RegistryRead,
)
from turmericweir_core.messages.load_messages import LoadNews
from turmericweir_core.messages.outlier_messages import OutlierRow
from turmericweir_core.trust.outlier_evidence import lower_bound

MODEL = Target("lm")
NO_ANSWER = EndBroken("bytes that are no answer", server_alive=True, is_malformed=True)
RESET = EndBroken("connection reset", server_alive=True)
OK = EndComplete(200)
LOAD_S = 12.0


def play(
    bad: list[str],
    loads: list[Load],
    *,
    servers: int = 4,
    instances: int = 1,
    share: float = 1.0,
    failure: str = "no_answer",
) -> OutlierFleet:
    """Play a load on a fleet in which some servers fail a share of requests."""
    fleet = OutlierFleet(servers, instances=instances)
    fleet.failing = {name: FailingServer(share, FAILURES[failure]) for name in bad}
    fleet.play(loads, LOAD_S)
    return fleet


# --- under load ------------------------------------------------------------------------------


@pytest.mark.parametrize("instances", [1, 4])
@pytest.mark.parametrize("failure", FAILURES)
def test_server_that_fails_at_once_does_not_draw_the_work(failure: str, instances: int) -> None:
    """Guards against losing calls to an idle failing server beside three sound ones."""
    # The server that most prefixes go to.
    fleet = play(["lm-1"], [Load(20.0)], failure=failure, instances=instances)
    assert fleet.served() >= 0.95
    assert fleet.share_sent_to("lm-1") < 0.05


@pytest.mark.parametrize("instances", [1, 4])
@pytest.mark.parametrize("bad", [["lm-1", "lm-2"], ["lm-5", "lm-6"], ["lm-7", "lm-8"]])
def test_servers_that_fail_half_are_found(bad: list[str], instances: int) -> None:
    """Guards against a rule that takes a row of failures and never sees one at such servers."""
    fleet = play(bad, [Load(40.0)], servers=8, share=0.5, instances=instances)
    assert fleet.served() >= 0.9


def test_one_of_two_servers_is_left_alone() -> None:
    """Guards against losing all calls beside a sound idle server."""
    fleet = play(["lm-1"], [Load(10.0)], servers=2)
    assert fleet.served() >= 0.9


@pytest.mark.parametrize("bad", ["lm-1", "lm-2", "lm-3", "lm-4"])
def test_kinds_of_prompts_get_other_engines(bad: str) -> None:
    """Guards against a kind of prompts that stays with its only, failing engine."""
    fleet = play([bad], [Load(10.0, SHORT), Load(10.0, LONG)])
    assert fleet.served() >= 0.95


@pytest.mark.parametrize("rate_s", [30.0, 90.0])
def test_plain_server_that_fails_at_once_gets_little(rate_s: float) -> None:
    """Guards against a black hole for plain calls, at little load and near the limit."""
    fleet = play(["shop-1"], [Load(rate_s, CALL, PLAIN)])
    assert fleet.served() >= 0.98


def test_all_instances_restart_at_once() -> None:
    """Guards against what only running instances know."""
    fleet = OutlierFleet(4, instances=4)
    fleet.failing = {"lm-1": FailingServer()}
    fleet.schedule([Load(40.0)], 16.0)
    fleet.run(6.0)
    restarted_at = fleet.now
    for name in fleet.names:
        fleet.restart(name, "2")
    fleet.run(13.0)
    assert fleet.served(restarted_at + 1.0) >= 0.95


@pytest.mark.parametrize("share", [0.3, 0.5, 1.0])
def test_nothing_stays_ejected_where_all_servers_fail_alike(share: float) -> None:
    """Guards against taking a fault of the whole service for that of one server after another."""
    bad = [f"lm-{number}" for number in range(1, 5)]
    fleet = play(bad, [Load(20.0)], share=share)
    (state,) = [node.state for node in fleet.nodes.values()]
    assert len(state.outliers.ejected) <= 1
    assert len(open_servers(state, fleet.now, MODEL)) >= 3


@pytest.mark.parametrize("instances", [1, 4])
@pytest.mark.parametrize("repeatable", [False, True])
def test_requests_that_fail_anywhere_eject_no_server(repeatable: bool, instances: int) -> None:
    """Guards against a customer's faulty requests that follow their prefix from one to the next."""
    faulty = Load(5.0, customer="faulty", is_faulty=True, prefix="own", repeatable=repeatable)
    fleet = OutlierFleet(4, instances=instances)
    fleet.schedule([Load(20.0), faulty], 10.0)
    fleet.run(10.0)
    assert fleet.served(customer="c") == 1.0
    for node in fleet.nodes.values():
        assert not node.state.outliers.ejected


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_most_of_a_service_stays_in_use(share: float) -> None:
    """Guards against ejecting servers until the rest falls over."""
    bad = [f"lm-{number}" for number in range(1, 7)]
    fleet = play(bad, [Load(20.0)], servers=8, share=share)
    for node in fleet.nodes.values():
        assert len(open_servers(node.state, fleet.now, MODEL)) >= 4


def test_trickle_is_of_repeatable_requests_with_growing_pauses() -> None:
    """Guards against finding out by calls that are lost, and against doing so all the time."""
    fleet = OutlierFleet(4)
    fleet.failing = {"lm-1": FailingServer()}
    fleet.play([Load(20.0), Load(4.0, repeatable=True)], 30.0)
    failed = [each for each in fleet.sent if each.has_failed]
    probes = failed[3:]
    assert probes
    assert all(fleet.loads[each.request_id].repeatable for each in probes)
    pauses = [later.at - earlier.at for earlier, later in pairwise(probes)]
    assert pauses == sorted(pauses)


@pytest.mark.parametrize("repeatable", [False, True])
def test_server_that_is_well_again_gets_its_work(repeatable: bool) -> None:
    """Guards against an ejection that never ends, also without a repeatable request."""
    fleet = OutlierFleet(4)
    fleet.failing = {"lm-1": FailingServer()}
    fleet.schedule([Load(20.0, repeatable=repeatable)], 30.0)
    fleet.run(5.0)
    fleet.failing = {}
    fleet.run(25.0)
    _, _, line = fleet.logged("server_reinstated")[0]
    assert (line.fields["peer"], line.fields["reason"]) == ("lm-1", "served")
    assert fleet.share_sent_to("lm-1", since=fleet.now - 10.0) > 0.1


# --- cases -----------------------------------------------------------------------------------


def fail(world: StoreWorld, name: str, end: AttemptEnd, **fields: object) -> list[Log]:
    """Let a request to whatever server end so; return the log lines."""
    start = start_of(world.arrive(name, **fields))
    world.sent(start)
    effects = world.end(start, end)
    world.now += 0.1
    return only(effects, Log)


def eject(world: StoreWorld) -> ServerName:
    """Let two peers say that an engine fails, which ejects it here; return its name."""
    for peer in ("b-1", "b-2"):
        world.peer(peer, news(1, "lm-1"))
    world.wait(0.2)
    (name,) = world.state.outliers.ejected
    return name


def test_ejected_server_is_no_room() -> None:
    """Guards against admission and the split into kinds that count on an ejected server."""
    world = ejecting_world(engines=3)
    name = eject(world)
    assert name not in {each.entry.name for each in open_servers(world.state, world.now, MODEL)}


def test_new_incarnation_starts_anew() -> None:
    """Guards against holding the failures of a server against its successor."""
    world = ejecting_world(engines=3)
    name = eject(world)
    entries = [
        (replace(each, incarnation="2") if each.name == name else each, 2) for each in world.entries
    ]
    world.give(RegistryRead(tuple(entries), is_complete=True))
    assert not world.state.outliers.ejected
    assert not world.state.outliers.by_server


def test_only_server_of_a_release_is_used_though_ejected() -> None:
    """Guards against streams that wait for a server that no other can stand for."""
    world = ejecting_world(engines=3)
    name = eject(world)
    server = world.state.servers.by_name[name]
    server.entry = replace(server.entry, software_version="v9")
    bound = {"release": release_of(server.entry), "repeatable": True, "sends_max": 3}
    assert start_of(world.arrive("bound", **bound)).server == name


def test_only_server_of_a_service_is_never_ejected() -> None:
    """Guards against a service without any server."""
    world = ejecting_world(engines=1)
    lines = [line for number in range(9) for line in fail(world, str(number), NO_ANSWER)]
    assert not world.state.outliers.ejected
    assert "server_not_ejected" in {line.event for line in lines}


def test_attempts_that_break_together_count_once() -> None:
    """Guards against ejecting a server for one reset of its connections."""
    world = ejecting_world(engines=1, plain=4)
    starts = [start_of(world.arrive(f"{number}", target=SHOP)) for number in range(24)]
    for start in starts:
        world.sent(start)
    bad = starts[0].server
    assert sum(start.server == bad for start in starts) >= 4
    for start in sorted(starts, key=lambda start: start.server == bad):
        world.end(start, RESET if start.server == bad else OK)
    assert not world.state.outliers.ejected


def test_refusals_of_a_server_that_answers_others_are_no_failures() -> None:
    """Guards against ejecting servers because they are full."""
    world = ejecting_world(engines=2)
    for number in range(12):
        start = start_of(world.arrive(f"q{number}"))
        other = start_of(world.arrive(f"r{number}"))
        world.sent(start)
        world.sent(other)
        world.end(start, OK)
        world.end(other, EndRefused(503, leaving=False))
        world.wait(0.2)
    assert not world.state.outliers.ejected


def test_time_limit_of_a_server_is_no_failure() -> None:
    """Guards against ejecting slow servers from a service that is overloaded."""
    world = ejecting_world(engines=2)
    for number in range(9):
        fail(world, str(number), EndComplete(504))
    assert not world.state.outliers.ejected


def news(seq: int, server: str, *, tried: int = 20, failed: int = 20) -> LoadNews:
    """Return a load update that says that a server fails."""
    rows = [OutlierRow(server, "", tried, failed, 1, 0)]
    return LoadNews("y", seq, outliers=rows)


def test_one_peer_ejects_nothing_by_itself() -> None:
    """Guards against the vote of one instance, whose own network may be at fault."""
    world = ejecting_world(engines=4)
    for seq in range(1, 20):
        world.peer("b-1", news(seq, "lm-1"))
        world.wait(0.1)
    assert not world.state.outliers.ejected


def test_peers_do_not_overrule_own_answers() -> None:
    """Guards against ejecting a server that answers this instance."""
    world = ejecting_world(engines=1, plain=0)
    fail(world, "1", OK)
    world.give(
        RegistryRead(
            tuple((world.entry(f"lm-{n}", "lm"), 2) for n in range(1, 5)), is_complete=True
        )
    )
    for peer in ("b-1", "b-2", "b-3"):
        world.peer(peer, news(1, "lm-1"))
    world.wait(0.2)
    assert not world.state.outliers.ejected


def test_peers_support_one_own_failure() -> None:
    """Guards against each of many instances losing as many calls as one alone would."""
    world = ejecting_world(engines=4)
    start = start_of(world.arrive("1"))
    world.peer("b-1", news(1, start.server))
    world.sent(start)
    world.end(start, NO_ANSWER)
    assert set(world.state.outliers.ejected) == {start.server}


def test_several_peers_tell_an_instance_that_starts() -> None:
    """Guards against each started instance finding out by lost calls."""
    world = ejecting_world(engines=4)
    for peer in ("b-1", "b-2"):
        world.peer(peer, news(1, "lm-1"))
    lines = only(world.wait(0.2), Log)
    assert set(world.state.outliers.ejected) == {"lm-1"}
    (line,) = [each for each in lines if each.event == "server_ejected"]
    assert (line.fields["own_tried"], line.fields["peers_told"]) == (0, 2)


@pytest.mark.parametrize(
    "row",
    [
        OutlierRow("unknown", "", 9, 9, 1, 0),
        OutlierRow("lm-1", "another", 9, 9, 1, 0),
        OutlierRow("lm-1", "", 3, 9, 1, 0),
        OutlierRow("lm-1", "", 9, 9, 0, 0),
        OutlierRow("lm-1", "", 9, 9, 1, -5),
    ],
)
def test_row_that_says_nothing_of_this_server_is_ignored(row: OutlierRow) -> None:
    """Guards against rows of other incarnations and rows that cannot be."""
    world = ejecting_world(engines=4)
    for peer in ("b-1", "b-2", "b-3"):
        world.peer(peer, LoadNews("y", 1, outliers=[row]))
    assert not world.state.outliers.peers


def test_what_one_peer_claims_is_bounded() -> None:
    """Guards against a peer that outweighs all others by a large number."""
    world = ejecting_world(engines=4)
    world.peer("b-1", news(1, "lm-1", tried=1_000_000, failed=1_000_000))
    (peer,) = world.state.outliers.peers[ServerName("lm-1")].values()
    assert peer.row.tried <= 32


def test_update_of_an_earlier_release_is_read() -> None:
    """Guards against instances of two releases that do not understand each other."""
    old = msgspec.msgpack.encode(["y", 7, [], [], [], True])
    assert msgspec.msgpack.decode(old, type=LoadNews) == LoadNews("y", 7)


@pytest.mark.parametrize(
    ("failed", "tried", "least", "most"),
    [(3, 3, 0.4, 0.45), (0, 9, 0.0, 0.0), (1, 1, 0.1, 0.25), (10, 20, 0.25, 0.35)],
)
def test_lower_bound_grows_with_the_results(
    failed: int, tried: int, least: float, most: float
) -> None:
    """Guards against verdicts on a share of too few results."""
    assert least <= lower_bound(failed, tried, 2.0) <= most
