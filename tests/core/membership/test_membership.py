"""Membership: who is taken for live, when the network, the processes and the list misbehave."""

from __future__ import annotations

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.core.member_network import Network
from turmericweir_core.base.config import Config, Kind, ServerEntry, Service
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.membership.membership import (
    data_centres,
    member,
    paused_since_last_tick,
    region_tag,
)
from turmericweir_core.messages.effects import SendDatagram
from turmericweir_core.messages.events import (
    DrainRequested,
    ListedInstance,
    PeerReceived,
    ServerReport,
)
from turmericweir_core.messages.peer_messages import Heartbeat, Mark, MarksAsk, SettingsSend, Word
from turmericweir_core.state.server_table import is_open, note_leaving

# Left out at the latest after so long, also at 64 instances: the time without progress, plus the
# time that the last news may still be under way.
DETECTED_S = 4.5
# By one seed, 64 at once, with a tenth of the datagrams lost.
MET_S = 15.0


def start(network: Network, count: int, data_centre: str = "north") -> list[str]:
    """Start instances that know the first one by its address only."""
    names = [f"{data_centre}-{number:02}" for number in range(count)]
    for name in names:
        network.add(name, data_centre, seeds=names[:1] if name != names[0] else ())
    return names


def met(count: int, *, loss: float = 0.0) -> tuple[Network, list[str]]:
    """Start instances and wait until they have all met."""
    network = Network(loss=loss)
    names = start(network, count)
    network.run_until(lambda: network.agree(names, names), MET_S)
    # The news of the last ones settles.
    network.run(3.0)
    return network, names


# --- one data centre -------------------------------------------------------------------------


@pytest.mark.parametrize("count", [2, 8, 64])
def test_instances_meet_by_one_seed(count: int) -> None:
    network, names = met(count)

    assert network.agree(names, names)


@pytest.mark.parametrize("count", [2, 8, 64])
def test_nobody_is_left_out_while_a_tenth_of_the_datagrams_is_lost(count: int) -> None:
    network, names = met(count, loss=0.1)
    for _ in range(50):
        network.run(0.2)

        assert network.agree(names, names)


@pytest.mark.parametrize("count", [2, 8, 64])
def test_killed_instance_is_left_out(count: int) -> None:
    network, names = met(count)
    gone, rest = names[-1], names[:-1]
    network.kill(gone)

    took = network.run_until(lambda: network.agree(rest, rest), DETECTED_S)

    assert took >= network.options.suspect_s - 1.5


def test_frozen_instance_is_left_out_and_comes_back() -> None:
    network, names = met(8)
    rest = names[:-1]
    network.pause(names[-1])
    network.run_until(lambda: network.agree(rest, rest), DETECTED_S)
    network.run(20.0)

    network.resume(names[-1])

    network.run_until(lambda: network.agree(names, names), 4.0)


def test_resumed_instance_doubts_what_its_sockets_held() -> None:
    # A caller's request would go by way of an instance that is long dead. While one instance is
    # paused, another goes on for a little and is killed. The first goes on and reads the other's
    # last datagrams; these are real progress since the pause began, and prove nothing now.
    network, names = met(8)
    paused, killed, rest = names[0], names[1], names[2:]
    network.pause(paused)
    network.run(2.0)
    network.kill(killed)
    network.run(5.0)

    assert paused_since_last_tick(network.nodes[paused].state, network.now) > 5.0
    network.resume(paused)

    for _ in range(60):
        assert killed not in network.live(paused)
        network.run(0.1)
    assert network.agree([paused, *rest], [paused, *rest])


def test_instance_that_nobody_hears_is_left_out_by_all() -> None:
    network, names = met(8)
    mute, rest = names[3], names[:3] + names[4:]
    network.passes = lambda sender, receiver: sender != mute

    network.run_until(lambda: network.agree(rest, rest), DETECTED_S)

    # It hears the others progress, and has no way of knowing that they do not hear it.
    assert network.live(mute) == names


def test_instance_that_hears_nobody_takes_nobody_for_live() -> None:
    network, names = met(8)
    deaf = names[3]
    network.passes = lambda sender, receiver: receiver != deaf

    network.run_until(lambda: network.live(deaf) == [deaf], DETECTED_S)

    assert network.agree([name for name in names if name != deaf], names)


def test_cut_between_two_instances_leaves_nobody_out() -> None:
    network, names = met(8)
    pair = {names[2], names[3]}
    network.passes = lambda sender, receiver: {sender, receiver} != pair
    for _ in range(100):
        network.run(0.1)

        assert network.agree(names, names)


def test_halves_of_a_data_centre_part_and_meet_again() -> None:
    network, names = met(16)
    left, right = names[:8], names[8:]
    network.passes = lambda sender, receiver: (sender in left) == (receiver in left)
    # Longer than for one: half of what is sent is lost until the ring has closed again.
    network.run_until(lambda: network.agree(left, left), 2 * DETECTED_S)
    network.run_until(lambda: network.agree(right, right), 2 * DETECTED_S)
    # Long enough for either side to have taken the other out of its roster.
    network.run(30.0)

    network.passes = lambda sender, receiver: True

    network.run_until(lambda: network.agree(names, names), 6.0)


def test_instance_that_was_forgotten_does_not_come_back_by_hearsay() -> None:
    network, names = met(8)
    gone, rest = names[-1], names[:-1]
    network.kill(gone)
    network.run_until(lambda: network.agree(rest, rest), DETECTED_S)
    for _ in range(100):
        for name in rest:
            network.read_list(name, [network.list_entry(it) for it in rest])
        network.run(1.0)

        assert network.agree(rest, rest)
    assert all(member(network.nodes[it].state, InstanceName(gone)) is None for it in rest)


def test_newcomer_does_not_take_the_dead_for_live() -> None:
    # Its peers still hold the last counter of one that has just died. That they tell it proves
    # nothing: only a counter that moves does.
    network, names = met(8)
    network.kill(names[-1])
    network.run_until(lambda: network.agree(names[:-1], names[:-1]), DETECTED_S)
    network.add("late", seeds=names[:1])

    for _ in range(60):
        network.run(0.1)
        assert names[-1] not in network.live("late")
    assert set(network.live("late")) == {*names[:-1], "late"}


def test_former_incarnation_that_comes_up_again_still_leaves() -> None:
    # Both incarnations are silent, so a late datagram of the former one is believed again.
    network, names = met(2)
    network.stop(names[0])
    network.run(1.0)
    old = [it for it in beats(network, names[0]) if it.address][-1]
    network.add(names[0], incarnation="b", seeds=names[1:2])
    network.run(3.0)
    assert not leaving_by(network, names[1], names[0])
    network.kill(names[0])
    network.run(5.0)

    late = replace(old, seq=10_000, leaving=False, entries=[])
    network.give(names[1], PeerReceived(InstanceName(names[0]), late))

    found = member(network.nodes[names[1]].state, InstanceName(names[0]))
    assert found is not None
    assert found.incarnation == "a"
    assert found.leaving


def beats(network: Network, name: str) -> list[Heartbeat]:
    """List the heartbeats that an instance has sent."""
    sent = [it.message for it in network.nodes[name].effects if isinstance(it, SendDatagram)]
    return [message for message in sent if isinstance(message, Heartbeat)]


def test_restarted_instance_replaces_its_former_self() -> None:
    network, names = met(8)
    network.kill(names[0])
    network.run(0.3)
    network.add(names[0], incarnation="b", seeds=names[1:2])

    def known() -> bool:
        found = [member(network.nodes[it].state, InstanceName(names[0])) for it in names]
        return all(each is not None and each.incarnation == "b" for each in found)

    network.run_until(known, 3.0)
    network.run(4.0)

    assert known()
    assert network.agree(names, names)


def test_late_datagram_of_a_former_incarnation_is_noise() -> None:
    network, names = met(2)
    old = beats(network, names[0])
    spelled = replace(next(beat for beat in old if beat.address), seq=10_000)
    network.add(names[0], incarnation="b", seeds=names[1:2])
    network.run(3.0)
    state = network.nodes[names[1]].state

    network.give(names[1], PeerReceived(InstanceName(names[0]), spelled))

    found = member(state, InstanceName(names[0]))
    assert found is not None
    assert found.incarnation == "b"
    assert state.members.noise["retired"] == 1


def test_datagrams_stay_small() -> None:
    network, names = met(64)
    for name in names:
        for effect in network.nodes[name].effects:
            if isinstance(effect, SendDatagram) and isinstance(effect.message, Heartbeat):
                assert len(effect.message.entries) <= 3 * network.options.counters_max
    network.run(10.0)
    for node in network.nodes.values():
        node.effects.clear()
    network.run(10.0)
    sent = beats(network, names[0])

    # While nothing changes no counter is sent with its key.
    assert len(sent) > 40
    assert not any(beat.entries for beat in sent)


# --- the platform's list ---------------------------------------------------------------------


def test_listed_instance_is_not_live_until_it_is_heard() -> None:
    network, names = met(2)
    ghost = ListedInstance(InstanceName("ghost"), "north", "10.0.0.1:9", "x", False)

    network.read_list(names[0], [ghost])
    network.run(5.0)

    assert network.agree(names, names)


def test_instances_meet_by_the_list_alone() -> None:
    network = Network()
    names = [network.add(f"north-{number}").state.me.name for number in range(4)]
    for name in names:
        network.read_list(name, [network.list_entry(it) for it in names])

    network.run_until(lambda: network.agree(names, names), MET_S)


def test_instance_missing_from_the_list_stays_live() -> None:
    network, names = met(4)
    for name in names:
        network.read_list(name, [])
    network.run(90.0)

    assert network.agree(names, names)


# --- leaving instances -----------------------------------------------------------------------


def leaving_by(network: Network, name: str, gone: str) -> bool:
    found = member(network.nodes[name].state, InstanceName(gone))
    return found is not None and found.leaving


def test_stopping_instance_is_known_to_leave_though_the_list_lags() -> None:
    network, names = met(64)
    gone, rest = names[5], names[:5] + names[6:]
    network.stop(gone)

    took = network.run_until(lambda: all(leaving_by(network, it, gone) for it in rest), 3.0)
    for name in rest:
        network.read_list(name, [network.list_entry(it) for it in names])
    network.run(5.0)

    assert took < 3.0
    assert all(leaving_by(network, it, gone) for it in rest)


def test_restarted_instance_no_longer_leaves() -> None:
    network, names = met(4)
    network.stop(names[0])
    network.run(1.0)
    network.kill(names[0])
    network.add(names[0], incarnation="b", seeds=names[1:2])

    network.run_until(lambda: network.agree(names, names), 5.0)
    network.run(3.0)

    assert not any(leaving_by(network, it, names[0]) for it in names)


# --- data centres ----------------------------------------------------------------------------


def five_centres(count: int = 6) -> tuple[Network, list[str]]:
    """Start data centres that know each other by the list."""
    network = Network()
    names: list[str] = []
    for data_centre in ("north", "south", "mid", "coast", "hill"):
        names += start(network, count, data_centre)
    for name in names:
        network.read_list(name, [network.list_entry(it) for it in names])
    network.run_until(lambda: network.agree(names, names), 20.0)
    return network, names


def reachable(network: Network, name: str) -> list[str]:
    views = data_centres(network.nodes[name].state, network.now)
    return [view.name for view in views if view.reachable]


def test_all_data_centres_know_each_other() -> None:
    network, names = five_centres()

    assert network.agree(names, names)
    assert reachable(network, names[0]) == ["coast", "hill", "mid", "north", "south"]


def test_instances_meet_whose_only_seeds_are_in_another_data_centre() -> None:
    # Four instances start in each of three data centres, and each knows the address of one in the
    # first. Callers of the second rely on what all instances there know together: the retry budget,
    # engines' loads, servers that leave. All have to meet, though nobody there was a seed.
    network = Network()
    north = start(network, 4)
    names = [*north]
    for data_centre in ("south", "mid"):
        for number in range(4):
            name = f"{data_centre}-{number:02}"
            network.add(name, data_centre, seeds=[north[number]])
            names.append(name)

    network.run_until(lambda: network.agree(names, names), 20.0)


def test_kill_shows_in_the_other_data_centres() -> None:
    network, names = five_centres()
    gone, rest = names[3], names[:3] + names[4:]
    network.kill(gone)

    network.run_until(lambda: network.agree(rest, rest), 15.0)


def test_data_centre_that_is_cut_off_is_out_of_reach_until_it_heals() -> None:
    network, names = five_centres()
    north = [name for name in names if name.startswith("north")]
    others = [name for name in names if name not in north]
    network.passes = lambda sender, receiver: (sender in north) == (receiver in north)

    network.run_until(lambda: network.agree(north, north), 20.0)
    network.run_until(lambda: network.agree(others, others), 20.0)
    assert reachable(network, north[0]) == ["north"]
    network.run(100.0)
    network.passes = lambda sender, receiver: True

    network.run_until(lambda: network.agree(names, names), 20.0)


def test_word_goes_round_a_cut_between_two_data_centres() -> None:
    network, names = five_centres()

    def passes(sender: str, receiver: str) -> bool:
        ends = {sender.partition("-")[0], receiver.partition("-")[0]}
        return ends != {"north", "south"}

    network.passes = passes
    network.run(30.0)

    assert "south" in reachable(network, names[0])
    assert network.agree(names, names)


def test_data_centre_tells_its_lowest_offset() -> None:
    network, names = five_centres(3)
    # The one that lags cannot catch up by its peers.
    network.lost = (SettingsSend,)
    for name in names:
        node = network.nodes[name]
        node.state.settings.settings.offset = 7 if name == "south-01" else 9
        node.state.settings.ready = True

    def offsets(name: str) -> list[int]:
        return [it.settings_offset for it in data_centres(network.nodes[name].state, network.now)]

    # By name: coast, hill, mid, north, south.
    network.run_until(lambda: all(offsets(it) == [9, 9, 9, 9, 7] for it in names), 15.0)


# --- noise -----------------------------------------------------------------------------------


def test_other_clusters_and_unknown_regions_are_not_listened_to() -> None:
    network = Network()
    network.add("a", region="east", other_regions=("west",))
    network.add("b", "far", region="west", seeds=["a"], other_regions=("east",))
    network.add("c", region="nowhere", seeds=["a"])
    network.add("d", seeds=["a"], cluster="another")
    network.run(20.0)

    assert network.live("a") == ["a", "b"]
    assert network.live("b") == ["a", "b"]
    assert network.nodes["a"].state.members.noise["tag"] > 0


def test_message_of_a_stranger_is_dropped_and_counted() -> None:
    network, names = met(2)
    state = network.nodes[names[0]].state

    network.give(names[0], PeerReceived(InstanceName("stranger"), MarksAsk()))
    network.give(names[0], PeerReceived(InstanceName(names[0]), beats(network, names[0])[0]))

    assert state.members.noise == {"stranger": 1, "own_name": 1}


def test_older_word_changes_nothing() -> None:
    network, names = five_centres(2)
    state = network.nodes[names[0]].state
    centre = state.members.centres["south"]
    assert centre.word is not None
    newest = centre.word
    old = Word("south", newest.relay, newest.seq - 1, 1, 99, 99)

    beat = replace(beats(network, names[1])[0], words=[old], seq=100_000)
    network.give(names[0], PeerReceived(InstanceName(names[1]), beat))

    assert centre.word == newest


# --- backend servers -------------------------------------------------------------------------

ENGINE = ServerEntry(ServerName("engine"), "lm", "north", "10.1.0.1:1", incarnation="1")
LM = Service("lm", Kind.MODEL, models=("m",))
CONFIG = Config(services={"lm": LM})


def with_engine(network: Network) -> None:
    """Let every instance know one engine by the list."""
    for name, node in network.nodes.items():
        node.state.config = CONFIG
        node.state.settings.config = CONFIG
        network.read_list(name, servers=[ENGINE])


def report(seq: int, incarnation: str = "i1", *, leaving: bool = False) -> ServerReport:
    return ServerReport(ENGINE.name, incarnation, seq, 0, 0, 8, leaving=leaving)


def engine_open(network: Network, name: str) -> bool:
    state = network.nodes[name].state
    server = state.servers.by_name.get(ENGINE.name)
    return server is not None and is_open(server, network.now)


def none_open(network: Network, names: list[str]) -> bool:
    return not any(engine_open(network, name) for name in names)


def refused(network: Network, name: str) -> None:
    """Let the engine refuse a request of an instance as leaving."""
    note_leaving(network.nodes[name].state.servers, ENGINE.name)


@pytest.mark.parametrize("source", ["list", "report", "refusal", "drain"])
def test_leaving_server_gets_no_new_work_on_any_instance(source: str) -> None:
    # Callers would see requests refused by a server that is on its way out, for as long as the list
    # lags. One instance learns that the server leaves; the list and the reports that the others
    # have say that it lives.
    network, names = met(64)
    with_engine(network)
    for name in names:
        network.give(name, report(1))
    assert all(engine_open(network, name) for name in names)

    first = names[7]
    match source:
        case "list":
            network.read_list(first, servers=[replace(ENGINE, leaving=True)])
        case "report":
            network.give(first, report(2, leaving=True))
        case "refusal":
            refused(network, first)
        case _:
            network.give(first, DrainRequested(ENGINE.name, "operator"))

    network.run_until(lambda: none_open(network, names), 3.0)
    # An older list and an older report come in late, at every instance.
    for name in names:
        network.read_list(name, servers=[])
        network.read_list(name, servers=[ENGINE])
        network.give(name, report(1))
    network.run(5.0)

    assert none_open(network, names)


def test_older_list_does_not_bring_a_former_incarnation_back() -> None:
    # A list from before the restart follows one from after it, as they come from two copies of the
    # platform. The entry of the former incarnation looks like one that has just come.
    network, names = met(4)
    with_engine(network)
    network.read_list(names[0], servers=[replace(ENGINE, leaving=True)])
    network.run_until(lambda: none_open(network, names), 3.0)
    network.read_list(names[1], servers=[replace(ENGINE, incarnation="2")])
    network.give(names[1], report(1, "i2"))
    assert engine_open(network, names[1])

    network.read_list(names[1], servers=[ENGINE])

    assert not engine_open(network, names[1])


def test_new_incarnation_gets_work_again() -> None:
    network, names = met(4)
    with_engine(network)
    for name in names:
        network.give(name, report(1, leaving=True))
    network.run(2.0)
    assert none_open(network, names)
    for name in names:
        network.give(name, report(1, "i2"))
    network.run(30.0)

    assert all(engine_open(network, name) for name in names)


def test_mark_that_was_made_behind_a_cut_reaches_all() -> None:
    # Its news is over when the way is open again, and all but one have the same marks: none.
    network, names = met(4)
    with_engine(network)
    for name in names:
        network.give(name, report(1))
    network.passes = lambda sender, receiver: sender != names[0]
    network.give(names[0], report(2, leaving=True))
    network.run(20.0)
    assert engine_open(network, names[1])

    network.passes = lambda sender, receiver: True

    network.run_until(lambda: none_open(network, names), 8.0)


def test_mark_reaches_an_instance_that_comes_later() -> None:
    # It starts long after the news has gone round, with a list that lags and no report yet.
    network, names = met(4)
    with_engine(network)
    for name in names:
        network.give(name, report(1))
    network.give(names[0], DrainRequested(ENGINE.name, "operator"))
    network.run(30.0)
    network.add("late", seeds=names[:1])
    network.nodes["late"].state.config = CONFIG
    network.read_list("late", servers=[ENGINE])

    network.run_until(lambda: none_open(network, ["late"]), 8.0)


def test_marks_are_bounded_and_expire() -> None:
    network = Network(options=Options(mark_keep=10, mark_keep_s=30.0))
    network.add("a")
    state = network.nodes["a"].state
    beat = replace(Heartbeat("north", "10.9.9.9:1", "x", 1, False, 0, ""), tag=tag_of(network))
    marks = [Mark(f"server-{number}", "1", False, 0) for number in range(100)]
    network.give("a", PeerReceived(InstanceName("b"), replace(beat, marks=marks)))

    assert len(state.servers.marks.by_key) == 10
    network.run(40.0)
    assert not state.servers.marks.by_key
    assert state.servers.marks.digest == 0

    # Older than any is kept: whoever still has it is about to drop it, and must not bring it back.
    old = replace(beat, seq=2, marks=[Mark("old", "1", False, 31)])
    network.give("a", PeerReceived(InstanceName("b"), old))
    assert ServerName("old") not in state.servers.marks.incarnations


def tag_of(network: Network) -> int:
    me = next(iter(network.nodes.values())).state.me
    return region_tag(me.cluster, me.region)


def test_newcomer_in_an_outage_has_the_servers_from_a_peer() -> None:
    # Without it the newcomer refuses all callers until the platform is back.
    network, names = met(4)
    with_engine(network)
    network.run(60.0)
    network.add("late", seeds=names[:1])
    state = network.nodes["late"].state
    state.config = CONFIG
    state.settings.config = CONFIG

    network.run_until(lambda: engine_open(network, "late"), 8.0)

    # What it has is as old as the peer's reading, so a newer one replaces it.
    assert state.servers.listed_at is not None
    assert network.now - state.servers.listed_at > 50.0


# --- anything in any order -------------------------------------------------------------------

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


class Believed:
    """What instances have believed; leaving may not be taken back."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.left: set[tuple[str, str, str, str]] = set()

    def check(self) -> None:
        for name, node in self.network.nodes.items():
            own = node.state.me.incarnation
            for each in node.state.members.by_name.values():
                key = (name, own, str(each.name), each.incarnation)
                if each.leaving:
                    self.left.add(key)
                assert each.leaving or key not in self.left
            server = node.state.servers.by_name.get(ENGINE.name)
            if server is not None:
                said = server.report.incarnation if server.report else server.entry.incarnation
                about = (name, own, str(server.entry.name), said)
                if server.leaving:
                    self.left.add(about)
                assert server.leaving or about not in self.left


class Script:
    """Does what hypothesis thinks of to four instances."""

    def __init__(self, seed: int) -> None:
        self.network = Network(seed, loss=0.2, twice=0.2, jitter_s=0.4)
        self.names = [f"north-{number}" for number in range(4)]
        for name in self.names:
            self.network.add(name)
        self.believed = Believed(self.network)
        self.starts = 0
        self.cuts: set[tuple[str, str]] = set()
        self.network.passes = lambda sender, receiver: (sender, receiver) not in self.cuts
        with_engine(self.network)
        for name in self.names:
            self.network.read_list(name, [self.network.list_entry(it) for it in self.names])

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 10)):
            self.network.run(0.1)
            self.believed.check()

    def act(self, action: str, which: int, seconds: float) -> None:
        name = self.names[which]
        others = [it for it in self.names if it != name]
        match action:
            case "kill":
                self.network.kill(name)
            case "restart":
                self.start(name)
            case "stop":
                self.network.stop(name)
            case "cut_out":
                self.cuts |= {(name, it) for it in others}
            case "cut_in":
                self.cuts |= {(it, name) for it in others}
            case "cut":
                self.cuts |= {(name, others[0]), (others[0], name)}
            case "heal":
                self.cuts.clear()
            case "pause":
                self.network.pause(name)
                self.run(seconds)
                self.network.resume(name)
            case "engine":
                self.network.give(name, report(1 + int(seconds * 10), leaving=which > 1))
            case "list":
                self.network.read_list(
                    name,
                    [self.network.list_entry(it) for it in others],
                    [replace(ENGINE, leaving=which == 0)],
                )
            case _:
                assert action == "run"
        self.run(seconds)

    def start(self, name: str) -> None:
        self.starts += 1
        seeds = [it for it in self.names if it != name]
        node = self.network.add(name, incarnation=f"r{self.starts}", seeds=seeds)
        node.state.config = CONFIG
        node.state.settings.config = CONFIG


@settings(max_examples=40, deadline=None)
@given(script=SCRIPTS, seed=st.integers(0, 1000))
# north-1 hears the restarted north-2 and then a late datagram of the incarnation before.
@example(script=[("run", 0, 0.25), ("restart", 2, 1.0)], seed=1)
def test_leaving_never_reverts_and_all_who_hear_each_other_agree(
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
    marks = {world.network.nodes[it].state.servers.marks.digest for it in alive}
    assert len(marks) <= 1
