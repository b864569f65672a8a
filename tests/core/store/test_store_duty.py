"""Over a hundred instances before one store: the rate of calls, and the delay of changes."""

from __future__ import annotations

import pytest

from tests.core.store_network import StoreNetwork
from tests.core.store_world import StoreWorld
from turmericweir_core.base.store_times import derive_store_times
from turmericweir_core.membership import store_duty
from turmericweir_core.messages.events import RegistryRead

COUNT = 120
DATA_CENTRES = 6
SETTINGS_BOUND_S = 4.0
DRAIN_BOUND_S = 4.0


@pytest.fixture(name="network")
def fixture_network() -> StoreNetwork:
    """A network of instances that started some time ago."""
    network = StoreNetwork(derive_store_times(SETTINGS_BOUND_S, DRAIN_BOUND_S))
    network.start_all(COUNT, DATA_CENTRES)
    network.run(16.0)
    return network


def oldest_read_age_s(network: StoreNetwork) -> float:
    """Return the age in seconds of the oldest read of the servers' entries."""
    states = [node.state for node in network.nodes.values() if not node.down]
    return max(network.now - state.registry.read_at for state in states)


def test_one_instance_reads_the_store_for_all(network: StoreNetwork) -> None:
    """After the start one instance reads for all.

    Prevents calls beyond the store's limit, and their cost.
    """
    calls_at_start = network.store.total
    assert calls_at_start < 2 * COUNT + 60
    network.datagrams.clear()
    network.run(10.0)
    assert (network.store.total - calls_at_start) / 10.0 < 3.0
    assert oldest_read_age_s(network) < DRAIN_BOUND_S
    # Datagrams of one instance per second to all others; most of them are heartbeats.
    assert max(network.datagrams.values()) / 10.0 < 120


def test_a_change_is_in_force_on_all_in_time(network: StoreNetwork) -> None:
    """A change of the settings is in force on all instances within the bound."""
    network.store.version = 2
    network.run_until(lambda: network.versions() == {2}, within=SETTINGS_BOUND_S)


def test_change_is_in_force_in_time_after_the_reader_dies(network: StoreNetwork) -> None:
    """When the reader dies, a few others read in its place within the bound."""
    network.kill(network.reader())
    network.store.version = 2
    calls_before = network.store.total
    network.run_until(lambda: network.versions() == {2}, within=SETTINGS_BOUND_S)
    network.run(6.0)
    assert network.store.total - calls_before < 60
    assert oldest_read_age_s(network) < DRAIN_BOUND_S


def test_partitioned_data_centre_reads_for_itself(
    network: StoreNetwork,
) -> None:
    """A partitioned data centre that reaches the store follows changes with few reads."""
    local_names = {
        name for name, node in network.nodes.items() if node.state.me.data_centre == "dc1"
    }
    network.passes = lambda sender, receiver: (sender in local_names) == (receiver in local_names)
    calls_before = network.store.total
    network.run(1.0)
    network.store.version = 2
    network.run_until(lambda: network.versions() == {2}, within=SETTINGS_BOUND_S)
    network.run(5.0)
    assert network.store.total - calls_before < 120
    assert oldest_read_age_s(network) < DRAIN_BOUND_S


def test_instances_refused_by_the_store_receive_changes(network: StoreNetwork) -> None:
    """The store refuses every third instance and the reader; the others send them the changes."""
    reader = network.reader()
    network.store.answers = lambda name: name != reader and int(name[1:]) % 3 != 0
    network.store.version = 2
    network.run_until(lambda: network.versions() == {2}, within=SETTINGS_BOUND_S)
    network.run(6.0)
    assert oldest_read_age_s(network) < DRAIN_BOUND_S


def test_restart_of_all_instances_applies_a_change_at_once(network: StoreNetwork) -> None:
    """All instances restart just after a change and have it at once."""
    network.store.version = 2
    names = sorted(network.nodes)
    for name in names:
        centre = network.nodes[name].state.me.data_centre
        network.add(name, centre, incarnation="b")
    network.begin(names)
    network.run(1.0)
    assert network.versions() == {2}
    assert network.store.total < 2 * (2 * COUNT + 60)


def test_read_that_proves_nothing_is_not_repeated_without_a_pause() -> None:
    """Guards against an instance that reads without end while no read can prove anything."""
    world = StoreWorld(1, 0)
    # A change of the era, after which reads prove nothing for a while.
    for era in (1, 2):
        world.give(RegistryRead((), end=9, requested_at=world.now, era=era))
        world.now += 1.0
    proved_at = world.state.registry.proved_at
    store_duty.want_registry_read(world.state, world.now)
    assert store_duty.is_registry_wanted(world.state, world.now)
    world.give(RegistryRead((), end=9, requested_at=world.now, era=2))
    assert world.state.registry.proved_at == proved_at
    for step in range(4):
        world.now += 0.1
        store_duty.want_registry_read(world.state, world.now)
        assert not store_duty.is_registry_wanted(world.state, world.now), step
    world.now += 0.2
    assert store_duty.is_registry_wanted(world.state, world.now)
