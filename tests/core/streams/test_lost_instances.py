"""Streams that are taken up after all instances, or all that knew them, ended at once."""

from __future__ import annotations

import pytest

from tests.core.stream_network import StreamNetwork
from tests.core.streams.test_streams_at_size import CONTROL_BYTES_S, STREAMS_S, take_up_all
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.streams import stream_bindings

# Instances and data centres.
SIZES = [(6, 3), (120, 4), (320, 5)]


def _begin(network: StreamNetwork, count: int = 100) -> list[str]:
    """Begin streams at all servers, and let what is written be written."""
    network.run_records()
    streams = [network.begin(network.rng.choice(network.names)) for _ in range(count)]
    network.run_records()
    return streams


@pytest.mark.parametrize(("instances", "centres"), SIZES)
def test_streams_go_on_at_their_versions(instances: int, centres: int) -> None:
    """Guards against refusals of all streams because all instances ended at once."""
    network = StreamNetwork(instances, centres)
    streams = _begin(network)
    network.restart_all()
    assert take_up_all(network, streams) == (100, 0)


def test_batch_that_is_being_written_is_not_replaced_by_the_next() -> None:
    """Guards against a read that shows too little and gives the key of a batch out again."""
    network = StreamNetwork(6, 3)
    _begin(network)
    name = next(each for each in network.names if network.states[each].streams.is_writer)
    streams = network.states[name].streams
    # Its newest batch is not carried out yet.
    slot = streams.next_slot
    del network.store.rows[name, slot - 1]
    network.read_records(name)
    assert streams.next_slot == slot


def test_no_stream_goes_on_at_the_version_that_is_left() -> None:
    """Guards against a version that nobody sees any more being taken for one that never was."""
    network = StreamNetwork(6, 3)
    streams = _begin(network)
    # What is known of the streams themselves is lost.
    network.store.rows.clear()
    network.restart_all(network.servers[1:])
    assert take_up_all(network, streams) == (0, 0)


def test_stream_of_a_version_that_is_gone_is_known() -> None:
    network = StreamNetwork(6, 3)
    streams = _begin(network)
    network.restart_all(network.servers[1:])
    assert take_up_all(network, streams) == (100, 0)


def test_lost_history_is_no_proof_of_one_version() -> None:
    """Guards against records that are gone being taken for a service with one version."""
    network = StreamNetwork(6, 3)
    streams = _begin(network)
    network.store.releases = None
    network.store.rows.clear()
    network.restart_all(network.servers[1:])
    assert take_up_all(network, streams) == (0, 0)


def test_history_of_a_copy_of_the_store_is_no_proof_of_one_version() -> None:
    """Guards against a copy that lacks the newest version."""
    network = StreamNetwork(6, 3)
    streams = _begin(network)
    assert network.store.releases is not None
    network.store.releases = {name: each[:1] for name, each in network.store.releases.items()}
    network.store.rows.clear()
    network.store.era, network.store.marked = 2, 1
    network.restart_all(network.servers[1:])
    assert take_up_all(network, streams) == (0, 0)


def test_streams_sent_to_a_writer_that_does_not_know_it_yet_are_stored() -> None:
    """Guards against bindings that come before their receiver has seen the second version."""
    network = StreamNetwork(6, 3)
    for name in network.names:
        # The writer sees the versions, and with them its duty, after all others.
        network.states[name].streams.next_update_at = network.now
    writer = _writer_of(network)
    network.states[writer].streams.next_update_at = network.now + 1.0
    streams = [network.begin(name) for name in network.names for _ in range(5)]
    network.run_records(2.5)
    network.restart_all()
    assert take_up_all(network, streams) == (len(streams), 0)


def _writer_of(network: StreamNetwork) -> InstanceName:
    """Return the instance that writes the streams of all."""
    probe = StreamNetwork(len(network.names), 3)
    probe.run_records(1.0)
    (writer,) = [name for name in probe.names if probe.states[name].streams.is_writer]
    return writer


def test_two_rollouts_and_two_losses_join_nothing() -> None:
    """Guards against batches that a second start of the same writer overwrites."""
    network = StreamNetwork(6, 3, versions=3)
    streams = _begin(network)
    network.restart_all(network.servers[1:])
    assert take_up_all(network, streams) == (100, 0)
    streams += _begin(network)
    network.restart_all(network.servers[2:])
    went_on, wrong = take_up_all(network, streams)
    assert not wrong
    assert went_on == 200


def test_second_loss_finds_streams_that_were_taken_up_after_the_first() -> None:
    network = StreamNetwork(6, 3)
    streams = _begin(network)
    for _ in range(3):
        network.restart_all()
        assert take_up_all(network, streams) == (100, 0)
        network.run_records()


def test_stream_is_found_in_the_store_when_all_its_holders_are_lost() -> None:
    """Guards against a stream that only instances which ended knew."""
    network = StreamNetwork(6, 3)
    streams = _begin(network)
    survivor = network.names[0]
    network.kill(network.names[1:])
    network.states[survivor].streams.by_key.clear()
    network.update_members()
    assert {network.take_up(survivor, each) for each in streams} <= set(network.streams.values())
    assert all(network.take_up(survivor, each) == network.streams[each] for each in streams)


def test_instance_that_starts_alone_trusts_peers_that_know_the_history() -> None:
    """Guards against refusals after the start of one instance."""
    network = StreamNetwork(8, 4, versions=1)
    network.restart(network.names[0])
    network.update_members()
    assert network.take_up(network.names[0], "nobody's") is not None


def test_peer_that_started_as_late_vouches_for_nothing() -> None:
    """Guards against two instances that know nothing and take each other's word."""
    network = StreamNetwork(2, 1)
    streams = _begin(network)
    network.store.releases = None
    network.store.rows.clear()
    network.restart_all(network.servers[1:])
    assert take_up_all(network, streams) == (0, 0)


def test_instance_that_was_cut_off_during_a_rollout_vouches_for_nothing() -> None:
    """Guards against a version that came and went unseen."""
    network = StreamNetwork(2, 1, versions=1)
    state = network.states[network.names[0]]
    # The record of the store would show what it missed.
    network.without_records.add(network.names[0])
    network.now += 30.0
    stream_bindings.note_gap(state, network.now)
    network.kill(network.names[1:])
    network.update_members()
    assert network.take_up(network.names[0], "nobody's") is None
    # It has followed the entries for longer than a stream lasts.
    network.now += 60.0
    assert network.take_up(network.names[0], "nobody's") is not None


@pytest.mark.parametrize(("instances", "centres"), SIZES)
def test_cost_of_records(instances: int, centres: int) -> None:
    """Guards against writes and messages that grow with the number of instances."""
    network = StreamNetwork(instances, centres)
    network.run_records()
    network.sent_bytes.clear()
    network.store.writes.clear()
    for _ in range(STREAMS_S):
        for name in network.names:
            network.begin(name)
        network.run_records(1.0 / STREAMS_S)
    assert max(network.sent_bytes.values()) <= CONTROL_BYTES_S
    # Two batches a second of each writer.
    assert sum(network.store.writes.values()) <= 4 * (1 + instances // 16)


def test_version_that_is_gone_is_forgotten_though_streams_are_asked_for() -> None:
    """Guards against a record that is read again and again and keeps itself alive."""
    network = StreamNetwork(6, 3)
    _begin(network)
    network.restart_all(network.servers[1:])
    for _ in range(8):
        network.take_up(network.names[0], "nobody's")
        network.run_records(10.0)
        network.update_members()
    assert network.store.releases is not None
    assert [len(each) for each in network.store.releases.values()] == [1]


def test_start_writes_nothing_that_is_stored() -> None:
    """Guards against a write of each instance at each start."""
    network = StreamNetwork(6, 3, versions=1)
    _begin(network)
    network.store.writes.clear()
    network.store.era = network.store.marked = 1
    network.restart_all()
    network.run_records()
    assert not sum(network.store.writes.values())


def test_nothing_is_written_of_streams_where_one_version_serves() -> None:
    """Guards against a cost for services that need no records."""
    network = StreamNetwork(6, 3, versions=1)
    _begin(network)
    assert not network.store.rows
    assert sum(network.store.writes.values()) == 1
