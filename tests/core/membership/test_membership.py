"""Which members are considered live when the network, the processes and the list misbehave."""

from __future__ import annotations

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.core.member_network import Network
from turmericweir_core.base.config import Config, ServerEntry, Service, ServiceKind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.membership.membership import (
    data_centre_views,
    find_member,
    pause_since_last_tick_s,
    region_tag,
)
from turmericweir_core.messages.effects import SendDatagram
from turmericweir_core.messages.events import (
    DrainRequested,
    ListedInstance,
    PeerReceived,
    ServerReport,
)
from turmericweir_core.messages.membership_messages import Heartbeat, Mark, MarksAsk, Word
from turmericweir_core.messages.settings_messages import SettingsSend
from turmericweir_core.state.server_table import can_take_work, note_leaving

# Longest time until a dead member is removed, with 64 instances as well: the time without progress
# and the delay of gossip.
DETECTION_MAX_S = 4.5
# Longest time until 64 instances with one seed know each other while a tenth of the datagrams is
# lost.
DISCOVERY_MAX_S = 15.0


def start(network: Network, count: int, data_centre: str = "north") -> list[str]:
    """Start instances that know only the address of the first one."""
    names = [f"{data_centre}-{number:02}" for number in range(count)]
    for name in names:
        network.add(name, data_centre, seeds=names[:1] if name != names[0] else ())
    return names


def connected_network(count: int, *, loss: float = 0.0) -> tuple[Network, list[str]]:
    """Start instances and wait until all know each other."""
    network = Network(loss=loss)
    names = start(network, count)
    network.run_until(lambda: network.agree(names, names), DISCOVERY_MAX_S)
    # Lets the records of the last members spread.
    network.run(3.0)
    return network, names


# --- one data centre -------------------------------------------------------------------------


@pytest.mark.parametrize("count", [2, 8, 64])
def test_instances_discover_each_other_from_one_seed(count: int) -> None:
    network, names = connected_network(count)

    assert network.agree(names, names)


@pytest.mark.parametrize("count", [2, 8, 64])
def test_all_stay_live_while_a_tenth_of_the_datagrams_is_lost(count: int) -> None:
    network, names = connected_network(count, loss=0.1)
    for _ in range(50):
        network.run(0.2)

        assert network.agree(names, names)


@pytest.mark.parametrize("count", [2, 8, 64])
def test_killed_instance_is_no_longer_live(count: int) -> None:
    network, names = connected_network(count)
    gone, rest = names[-1], names[:-1]
    network.kill(gone)

    took = network.run_until(lambda: network.agree(rest, rest), DETECTION_MAX_S)

    assert took >= network.options.suspect_s - 1.5


def test_paused_instance_is_not_live_until_it_resumes() -> None:
    network, names = connected_network(8)
    rest = names[:-1]
    network.pause(names[-1])
    network.run_until(lambda: network.agree(rest, rest), DETECTION_MAX_S)
    network.run(20.0)

    network.resume(names[-1])

    network.run_until(lambda: network.agree(names, names), 4.0)


def test_resumed_instance_ignores_progress_from_its_sockets() -> None:
    # Prevents requests from being sent to a dead instance: datagrams that were received during a
    # pause are no proof that their sender is still alive.
    network, names = connected_network(8)
    paused, killed, rest = names[0], names[1], names[2:]
    network.pause(paused)
    network.run(2.0)
    network.kill(killed)
    network.run(5.0)

    assert pause_since_last_tick_s(network.nodes[paused].state, network.now) > 5.0
    network.resume(paused)

    for _ in range(60):
        assert killed not in network.live(paused)
        network.run(0.1)
    assert network.agree([paused, *rest], [paused, *rest])


def test_instance_whose_datagrams_are_lost_is_not_live() -> None:
    network, names = connected_network(8)
    mute, rest = names[3], names[:3] + names[4:]
    network.passes = lambda sender, receiver: sender != mute

    network.run_until(lambda: network.agree(rest, rest), DETECTION_MAX_S)

    # It receives the others' heartbeats and cannot detect that its own are lost.
    assert network.live(mute) == names


def test_instance_that_receives_nothing_considers_no_member_live() -> None:
    network, names = connected_network(8)
    deaf = names[3]
    network.passes = lambda sender, receiver: receiver != deaf

    network.run_until(lambda: network.live(deaf) == [deaf], DETECTION_MAX_S)

    assert network.agree([name for name in names if name != deaf], names)


def test_cut_between_two_instances_keeps_all_live() -> None:
    network, names = connected_network(8)
    pair = {names[2], names[3]}
    network.passes = lambda sender, receiver: {sender, receiver} != pair
    for _ in range(100):
        network.run(0.1)

        assert network.agree(names, names)


def test_halves_of_a_data_centre_rejoin_after_a_partition() -> None:
    network, names = connected_network(16)
    left, right = names[:8], names[8:]
    network.passes = lambda sender, receiver: (sender in left) == (receiver in left)
    # Longer than for one member: half of the datagrams are lost until the ring has closed again.
    network.run_until(lambda: network.agree(left, left), 2 * DETECTION_MAX_S)
    network.run_until(lambda: network.agree(right, right), 2 * DETECTION_MAX_S)
    # Long enough for each side to remove the other one from its roster.
    network.run(30.0)

    network.passes = lambda sender, receiver: True

    network.run_until(lambda: network.agree(names, names), 6.0)


def test_dropped_instance_is_not_restored_by_gossip() -> None:
    network, names = connected_network(8)
    gone, rest = names[-1], names[:-1]
    network.kill(gone)
    network.run_until(lambda: network.agree(rest, rest), DETECTION_MAX_S)
    for _ in range(100):
        for name in rest:
            network.read_list(name, [network.list_entry(peer_name) for peer_name in rest])
        network.run(1.0)

        assert network.agree(rest, rest)
    assert all(
        find_member(network.nodes[peer_name].state, InstanceName(gone)) is None
        for peer_name in rest
    )


def test_new_instance_does_not_consider_a_dead_one_live() -> None:
    # Prevents a new instance from considering a dead one live because peers still send its last
    # counter.
    network, names = connected_network(8)
    network.kill(names[-1])
    network.run_until(lambda: network.agree(names[:-1], names[:-1]), DETECTION_MAX_S)
    network.add("late", seeds=names[:1])

    for _ in range(60):
        network.run(0.1)
        assert names[-1] not in network.live("late")
    assert set(network.live("late")) == {*names[:-1], "late"}


def test_restored_former_incarnation_is_still_leaving() -> None:
    # Both incarnations are unresponsive, so a delayed datagram of the former one is accepted.
    network, names = connected_network(2)
    network.stop(names[0])
    network.run(1.0)
    former_beat = [beat for beat in sent_heartbeats(network, names[0]) if beat.address][-1]
    network.add(names[0], incarnation="b", seeds=names[1:2])
    network.run(3.0)
    assert not is_seen_leaving(network, names[1], names[0])
    network.kill(names[0])
    network.run(5.0)

    delayed_beat = replace(former_beat, seq=10_000, leaving=False, entries=[])
    network.give(names[1], PeerReceived(InstanceName(names[0]), delayed_beat))

    restored = find_member(network.nodes[names[1]].state, InstanceName(names[0]))
    assert restored is not None
    assert restored.incarnation == "a"
    assert restored.leaving


def sent_heartbeats(network: Network, name: str) -> list[Heartbeat]:
    """Return the heartbeats that an instance has sent."""
    sent = [
        effect.message for effect in network.nodes[name].effects if isinstance(effect, SendDatagram)
    ]
    return [message for message in sent if isinstance(message, Heartbeat)]


def test_restarted_instance_replaces_its_former_incarnation() -> None:
    network, names = connected_network(8)
    network.kill(names[0])
    network.run(0.3)
    network.add(names[0], incarnation="b", seeds=names[1:2])

    def is_replaced() -> bool:
        records = [
            find_member(network.nodes[peer_name].state, InstanceName(names[0]))
            for peer_name in names
        ]
        return all(record is not None and record.incarnation == "b" for record in records)

    network.run_until(is_replaced, 3.0)
    network.run(4.0)

    assert is_replaced()
    assert network.agree(names, names)


def test_delayed_datagram_of_a_former_incarnation_is_dropped() -> None:
    network, names = connected_network(2)
    former_beats = sent_heartbeats(network, names[0])
    delayed_beat = replace(next(beat for beat in former_beats if beat.address), seq=10_000)
    network.add(names[0], incarnation="b", seeds=names[1:2])
    network.run(3.0)
    state = network.nodes[names[1]].state

    network.give(names[1], PeerReceived(InstanceName(names[0]), delayed_beat))

    record = find_member(state, InstanceName(names[0]))
    assert record is not None
    assert record.incarnation == "b"
    assert state.members.noise["retired"] == 1


def test_datagrams_stay_small() -> None:
    network, names = connected_network(64)
    for name in names:
        for effect in network.nodes[name].effects:
            if isinstance(effect, SendDatagram) and isinstance(effect.message, Heartbeat):
                assert len(effect.message.entries) <= 3 * network.options.counters_max
    network.run(10.0)
    for node in network.nodes.values():
        node.effects.clear()
    network.run(10.0)
    sent = sent_heartbeats(network, names[0])

    # Counters have no keys while the roster does not change.
    assert len(sent) > 40
    assert not any(beat.entries for beat in sent)


# --- the platform's list ---------------------------------------------------------------------


def test_listed_instance_is_not_live_until_it_progresses() -> None:
    network, names = connected_network(2)
    ghost = ListedInstance(InstanceName("ghost"), "north", "10.0.0.1:9", "x", False)

    network.read_list(names[0], [ghost])
    network.run(5.0)

    assert network.agree(names, names)


def test_instances_discover_each_other_from_the_list_alone() -> None:
    network = Network()
    names = [network.add(f"north-{number}").state.me.name for number in range(4)]
    for name in names:
        network.read_list(name, [network.list_entry(peer_name) for peer_name in names])

    network.run_until(lambda: network.agree(names, names), DISCOVERY_MAX_S)


def test_instance_missing_from_the_list_stays_live() -> None:
    network, names = connected_network(4)
    for name in names:
        network.read_list(name, [])
    network.run(90.0)

    assert network.agree(names, names)


# --- leaving instances -----------------------------------------------------------------------


def is_seen_leaving(network: Network, name: str, leaving_name: str) -> bool:
    record = find_member(network.nodes[name].state, InstanceName(leaving_name))
    return record is not None and record.leaving


def test_stopping_instance_is_seen_leaving_while_the_list_is_stale() -> None:
    network, names = connected_network(64)
    gone, rest = names[5], names[:5] + names[6:]
    network.stop(gone)

    took = network.run_until(
        lambda: all(is_seen_leaving(network, peer_name, gone) for peer_name in rest), 3.0
    )
    for name in rest:
        network.read_list(name, [network.list_entry(peer_name) for peer_name in names])
    network.run(5.0)

    assert took < 3.0
    assert all(is_seen_leaving(network, peer_name, gone) for peer_name in rest)


def test_restarted_instance_is_no_longer_leaving() -> None:
    network, names = connected_network(4)
    network.stop(names[0])
    network.run(1.0)
    network.kill(names[0])
    network.add(names[0], incarnation="b", seeds=names[1:2])

    network.run_until(lambda: network.agree(names, names), 5.0)
    network.run(3.0)

    assert not any(is_seen_leaving(network, peer_name, names[0]) for peer_name in names)


# --- data centres ----------------------------------------------------------------------------


def network_of_five_centres(count: int = 6) -> tuple[Network, list[str]]:
    """Start data centres that know each other from the list."""
    network = Network()
    names: list[str] = []
    for data_centre in ("north", "south", "mid", "coast", "hill"):
        names += start(network, count, data_centre)
    for name in names:
        network.read_list(name, [network.list_entry(peer_name) for peer_name in names])
    network.run_until(lambda: network.agree(names, names), 20.0)
    return network, names


def reachable_centres(network: Network, name: str) -> list[str]:
    views = data_centre_views(network.nodes[name].state, network.now)
    return [view.name for view in views if view.reachable]


def test_all_data_centres_know_each_other() -> None:
    network, names = network_of_five_centres()

    assert network.agree(names, names)
    assert reachable_centres(network, names[0]) == ["coast", "hill", "mid", "north", "south"]


def test_instances_with_seeds_only_in_another_data_centre_discover_each_other() -> None:
    # Each instance of three data centres knows one address in the first one. Prevents partial views
    # in a data centre without a seed, which would split its retry budget, load updates and leaving
    # notices.
    network = Network()
    north = start(network, 4)
    names = [*north]
    for data_centre in ("south", "mid"):
        for number in range(4):
            name = f"{data_centre}-{number:02}"
            network.add(name, data_centre, seeds=[north[number]])
            names.append(name)

    network.run_until(lambda: network.agree(names, names), 20.0)


def test_killed_instance_is_removed_in_other_data_centres() -> None:
    network, names = network_of_five_centres()
    gone, rest = names[3], names[:3] + names[4:]
    network.kill(gone)

    network.run_until(lambda: network.agree(rest, rest), 15.0)


def test_data_centre_is_unreachable_until_the_partition_heals() -> None:
    network, names = network_of_five_centres()
    north = [name for name in names if name.startswith("north")]
    others = [name for name in names if name not in north]
    network.passes = lambda sender, receiver: (sender in north) == (receiver in north)

    network.run_until(lambda: network.agree(north, north), 20.0)
    network.run_until(lambda: network.agree(others, others), 20.0)
    assert reachable_centres(network, north[0]) == ["north"]
    network.run(100.0)
    network.passes = lambda sender, receiver: True

    network.run_until(lambda: network.agree(names, names), 20.0)


def test_status_passes_through_a_third_data_centre() -> None:
    network, names = network_of_five_centres()

    def passes(sender: str, receiver: str) -> bool:
        ends = {sender.partition("-")[0], receiver.partition("-")[0]}
        return ends != {"north", "south"}

    network.passes = passes
    network.run(30.0)

    assert "south" in reachable_centres(network, names[0])
    assert network.agree(names, names)


def test_data_centre_announces_its_lowest_offset() -> None:
    network, names = network_of_five_centres(3)
    # Prevents the instance with the lower version from catching up through its peers.
    network.lost = (SettingsSend,)
    for name in names:
        node = network.nodes[name]
        node.state.settings.settings.offset = 7 if name == "south-01" else 9
        node.state.settings.has_been_complete = True

    def offsets(name: str) -> list[int]:
        return [
            view.settings_offset
            for view in data_centre_views(network.nodes[name].state, network.now)
        ]

    # In the order of names: coast, hill, mid, north, south.
    network.run_until(
        lambda: all(offsets(peer_name) == [9, 9, 9, 9, 7] for peer_name in names), 15.0
    )


# --- noise -----------------------------------------------------------------------------------


def test_other_clusters_and_unknown_regions_are_ignored() -> None:
    network = Network()
    network.add("a", region="east", other_regions=("west",))
    network.add("b", "far", region="west", seeds=["a"], other_regions=("east",))
    network.add("c", region="nowhere", seeds=["a"])
    network.add("d", seeds=["a"], cluster="another")
    network.run(20.0)

    assert network.live("a") == ["a", "b"]
    assert network.live("b") == ["a", "b"]
    assert network.nodes["a"].state.members.noise["tag"] > 0


def test_message_of_an_unknown_sender_is_dropped_and_counted() -> None:
    network, names = connected_network(2)
    state = network.nodes[names[0]].state

    network.give(names[0], PeerReceived(InstanceName("stranger"), MarksAsk()))
    network.give(
        names[0], PeerReceived(InstanceName(names[0]), sent_heartbeats(network, names[0])[0])
    )

    assert state.members.noise == {"stranger": 1, "own_name": 1}


def test_older_status_is_ignored() -> None:
    network, names = network_of_five_centres(2)
    state = network.nodes[names[0]].state
    centre = state.members.centres["south"]
    assert centre.status_message is not None
    newest_status = centre.status_message
    old_status = Word("south", newest_status.gateway_key, newest_status.seq - 1, 1, 99, 99)

    beat = replace(sent_heartbeats(network, names[1])[0], status_messages=[old_status], seq=100_000)
    network.give(names[0], PeerReceived(InstanceName(names[1]), beat))

    assert centre.status_message == newest_status


# --- backend servers -------------------------------------------------------------------------

ENGINE = ServerEntry(ServerName("engine"), "lm", "north", "10.1.0.1:1", incarnation="1")
LM = Service("lm", ServiceKind.MODEL, models=("m",))
CONFIG = Config(services={"lm": LM})


def add_engine(network: Network) -> None:
    """Announce one engine to every instance with the list."""
    for name, node in network.nodes.items():
        node.state.config = CONFIG
        node.state.settings.config = CONFIG
        network.read_list(name, servers=[ENGINE])


def report(seq: int, incarnation: str = "i1", *, leaving: bool = False) -> ServerReport:
    return ServerReport(ENGINE.name, incarnation, seq, 0, 0, 8, leaving=leaving)


def is_engine_open(network: Network, name: str) -> bool:
    state = network.nodes[name].state
    server = state.servers.by_name.get(ENGINE.name)
    return server is not None and can_take_work(server, network.now)


def is_closed_everywhere(network: Network, names: list[str]) -> bool:
    return not any(is_engine_open(network, name) for name in names)


def refuse_as_leaving(network: Network, name: str) -> None:
    """Let the engine refuse a request of an instance because it is leaving."""
    note_leaving(network.nodes[name].state.servers, ENGINE.name)


@pytest.mark.parametrize("source", ["list", "report", "refusal", "drain"])
def test_leaving_server_gets_no_new_work_on_any_instance(source: str) -> None:
    # Prevents requests to a leaving server while the list is stale: one instance learns that it
    # leaves, and the list and the reports of the others show it as live.
    network, names = connected_network(64)
    add_engine(network)
    for name in names:
        network.give(name, report(1))
    assert all(is_engine_open(network, name) for name in names)

    first_name = names[7]
    match source:
        case "list":
            network.read_list(first_name, servers=[replace(ENGINE, leaving=True)])
        case "report":
            network.give(first_name, report(2, leaving=True))
        case "refusal":
            refuse_as_leaving(network, first_name)
        case _:
            network.give(first_name, DrainRequested(ENGINE.name, "operator"))

    network.run_until(lambda: is_closed_everywhere(network, names), 3.0)
    # Every instance receives an older list and an older report afterwards.
    for name in names:
        network.read_list(name, servers=[])
        network.read_list(name, servers=[ENGINE])
        network.give(name, report(1))
    network.run(5.0)

    assert is_closed_everywhere(network, names)


def test_older_list_does_not_restore_a_former_incarnation() -> None:
    # Two copies of the platform may return a list from before a restart after one from after it.
    # Prevents the former entry from being treated as a new server.
    network, names = connected_network(4)
    add_engine(network)
    network.read_list(names[0], servers=[replace(ENGINE, leaving=True)])
    network.run_until(lambda: is_closed_everywhere(network, names), 3.0)
    network.read_list(names[1], servers=[replace(ENGINE, incarnation="2")])
    network.give(names[1], report(1, "i2"))
    assert is_engine_open(network, names[1])

    network.read_list(names[1], servers=[ENGINE])

    assert not is_engine_open(network, names[1])


def test_new_incarnation_of_a_server_gets_work() -> None:
    network, names = connected_network(4)
    add_engine(network)
    for name in names:
        network.give(name, report(1, leaving=True))
    network.run(2.0)
    assert is_closed_everywhere(network, names)
    for name in names:
        network.give(name, report(1, "i2"))
    network.run(30.0)

    assert all(is_engine_open(network, name) for name in names)


def test_leaving_notice_from_a_partition_reaches_all() -> None:
    # The notice is no longer sent with heartbeats when the cut ends; the digests differ.
    network, names = connected_network(4)
    add_engine(network)
    for name in names:
        network.give(name, report(1))
    network.passes = lambda sender, receiver: sender != names[0]
    network.give(names[0], report(2, leaving=True))
    network.run(20.0)
    assert is_engine_open(network, names[1])

    network.passes = lambda sender, receiver: True

    network.run_until(lambda: is_closed_everywhere(network, names), 8.0)


def test_leaving_notice_reaches_a_later_instance() -> None:
    # The instance starts after the notice has spread, with a stale list and no report.
    network, names = connected_network(4)
    add_engine(network)
    for name in names:
        network.give(name, report(1))
    network.give(names[0], DrainRequested(ENGINE.name, "operator"))
    network.run(30.0)
    network.add("late", seeds=names[:1])
    network.nodes["late"].state.config = CONFIG
    network.read_list("late", servers=[ENGINE])

    network.run_until(lambda: is_closed_everywhere(network, ["late"]), 8.0)


def test_leaving_notices_are_bounded_and_expire() -> None:
    network = Network(options=Options(mark_keep=10, mark_keep_s=30.0))
    network.add("a")
    state = network.nodes["a"].state
    beat = replace(
        Heartbeat("north", "10.9.9.9:1", "x", 1, False, 0, ""), cluster_hash=tag_of(network)
    )
    notices = [Mark(f"server-{number}", "1", False, 0) for number in range(100)]
    network.give("a", PeerReceived(InstanceName("b"), replace(beat, leaving_notices=notices)))

    assert len(state.servers.leaving_notices.by_key) == 10
    network.run(40.0)
    assert not state.servers.leaving_notices.by_key
    assert state.servers.leaving_notices.digest == 0

    # Notices older than the limit are ignored. Prevents a peer from restoring an expired notice.
    old_beat = replace(beat, seq=2, leaving_notices=[Mark("old", "1", False, 31)])
    network.give("a", PeerReceived(InstanceName("b"), old_beat))
    assert ServerName("old") not in state.servers.leaving_notices.incarnations


def tag_of(network: Network) -> int:
    me = next(iter(network.nodes.values())).state.me
    return region_tag(me.cluster, me.region)


def test_new_instance_receives_the_servers_from_a_peer_in_an_outage() -> None:
    # Prevents a new instance from refusing all requests until the platform is back.
    network, names = connected_network(4)
    add_engine(network)
    network.run(60.0)
    network.add("late", seeds=names[:1])
    state = network.nodes["late"].state
    state.config = CONFIG
    state.settings.config = CONFIG

    network.run_until(lambda: is_engine_open(network, "late"), 8.0)

    # The list has the age of the peer's read, so a newer one replaces it.
    assert state.servers.listed_at is not None
    assert network.now - state.servers.listed_at > 50.0


# --- random sequences of events ---------------------------------------------------------------

ACTIONS = st.sampled_from(
    [
        "run",
        "kill",
        "restart",
        "stop",
        "cut_out",
        "cut_in",
        "cut",
        "heal",
        "pause",
        "engine",
        "list",
    ]
)
SCRIPTS = st.lists(st.tuples(ACTIONS, st.integers(0, 3), st.floats(0.1, 3.0)), max_size=12)


class LeavingCheck:
    """Checks that no instance takes leaving back for an incarnation."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.left: set[tuple[str, str, str, str]] = set()

    def check(self) -> None:
        for name, node in self.network.nodes.items():
            own_incarnation = node.state.me.incarnation
            for record in node.state.members.by_name.values():
                key = (name, own_incarnation, str(record.name), record.incarnation)
                if record.leaving:
                    self.left.add(key)
                assert record.leaving or key not in self.left
            server = node.state.servers.by_name.get(ENGINE.name)
            if server is not None:
                server_incarnation = (
                    server.report.incarnation if server.report else server.entry.incarnation
                )
                server_key = (name, own_incarnation, str(server.entry.name), server_incarnation)
                if server.leaving:
                    self.left.add(server_key)
                assert server.leaving or server_key not in self.left


class Script:
    """Applies the actions that hypothesis generates to four instances."""

    def __init__(self, seed: int) -> None:
        self.network = Network(seed, loss=0.2, twice=0.2, jitter_s=0.4)
        self.names = [f"north-{number}" for number in range(4)]
        for name in self.names:
            self.network.add(name)
        self.leaving_check = LeavingCheck(self.network)
        self.starts = 0
        self.cuts: set[tuple[str, str]] = set()
        self.network.passes = lambda sender, receiver: (sender, receiver) not in self.cuts
        add_engine(self.network)
        for name in self.names:
            self.network.read_list(
                name, [self.network.list_entry(peer_name) for peer_name in self.names]
            )

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 10)):
            self.network.run(0.1)
            self.leaving_check.check()

    def act(self, action: str, index: int, seconds: float) -> None:
        name = self.names[index]
        others = [peer_name for peer_name in self.names if peer_name != name]
        match action:
            case "kill":
                self.network.kill(name)
            case "restart":
                self.start(name)
            case "stop":
                self.network.stop(name)
            case "cut_out":
                self.cuts |= {(name, peer_name) for peer_name in others}
            case "cut_in":
                self.cuts |= {(peer_name, name) for peer_name in others}
            case "cut":
                self.cuts |= {(name, others[0]), (others[0], name)}
            case "heal":
                self.cuts.clear()
            case "pause":
                self.network.pause(name)
                self.run(seconds)
                self.network.resume(name)
            case "engine":
                self.network.give(name, report(1 + int(seconds * 10), leaving=index > 1))
            case "list":
                self.network.read_list(
                    name,
                    [self.network.list_entry(peer_name) for peer_name in others],
                    [replace(ENGINE, leaving=index == 0)],
                )
            case _:
                assert action == "run"
        self.run(seconds)

    def start(self, name: str) -> None:
        self.starts += 1
        seeds = [peer_name for peer_name in self.names if peer_name != name]
        node = self.network.add(name, incarnation=f"r{self.starts}", seeds=seeds)
        node.state.config = CONFIG
        node.state.settings.config = CONFIG


@settings(max_examples=40, deadline=None)
@given(script=SCRIPTS, seed=st.integers(0, 1000))
# north-1 receives a delayed datagram of the previous incarnation after one of the restarted
# north-2.
@example(script=[("run", 0, 0.25), ("restart", 2, 1.0)], seed=1)
def test_leaving_never_reverts_and_connected_instances_agree(
    script: list[tuple[str, int, float]], seed: int
) -> None:
    world = Script(seed)
    for step in script:
        world.act(*step)

    world.cuts.clear()
    world.network.loss = 0.0
    alive = [name for name in world.names if not world.network.nodes[name].down]
    world.run(12.0)

    assert world.network.agree(alive, alive)
    digests = {
        world.network.nodes[peer_name].state.servers.leaving_notices.digest for peer_name in alive
    }
    assert len(digests) <= 1
