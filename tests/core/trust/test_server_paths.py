"""Tests of direct paths to servers, and of those by way of peers."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.core.path_network import PathNetwork
from tests.core.store_world import StoreWorld, start_of
from turmericweir_core.base.ids import DIRECT, InstanceName, ServerName
from turmericweir_core.messages.events import ServerUnreachable
from turmericweir_core.messages.server_messages import PathsSend

ONE = InstanceName("i-000")


def cut_off(network: PathNetwork, count: int) -> set[InstanceName]:
    """Cut some instances off from all servers; have each notice it by its requests."""
    cut = set(list(network.worlds)[:count])
    network.can_connect = lambda instance, _: instance not in cut
    for name in cut:
        for server in network.servers[:2]:
            network.send(name, server)
    return cut


@pytest.mark.parametrize("fails_at_once", [True, False])
def test_cut_instance_uses_every_server_by_way_of_peers(fails_at_once: bool) -> None:
    """Guards against a connection timeout for each server in turn."""
    network = PathNetwork(4, 6)
    network.fails_at_once = fails_at_once
    cut_off(network, 1)
    network.wait(0.05)
    assert network.usable_servers(ONE) == network.servers
    assert {network.send(ONE, server) for server in network.servers}.isdisjoint({None, DIRECT})


def test_server_that_is_down_is_excluded_at_all_instances() -> None:
    """Guards against requests that are sent to a dead server by way of peers."""
    network = PathNetwork(4, 6)
    dead = network.servers[0]
    for name in network.worlds:
        for server in network.servers:
            network.send(name, server)
    network.can_connect = lambda _, server: server != dead
    for name in network.worlds:
        assert network.send(name, dead) is None
    for _ in range(40):
        network.wait(0.1)
        for name in network.worlds:
            assert dead not in network.usable_servers(name)
            assert set(network.usable_servers(name)) == set(network.servers) - {dead}


def test_peer_answers_only_by_connections_that_were_opened_after_the_loss() -> None:
    """Guards against peers that still believe in a server which has just died."""
    network = PathNetwork(3, 2)
    dead = network.servers[0]
    for name in network.worlds:
        network.send(name, dead)
    network.can_connect = lambda _, server: server != dead
    network.send(ONE, dead)
    assert dead not in network.usable_servers(ONE)


def test_two_servers_that_crash_at_once_make_no_other_path_suspect() -> None:
    """Guards against probing all servers, and using none meanwhile, whenever two crash together."""
    network = PathNetwork(4, 6)
    dead = set(network.servers[:2])
    network.can_connect = lambda _, server: server not in dead
    for server in dead:
        network.send(ONE, server)
    network.now += 0.01
    network.send(ONE, network.servers[2])
    network.wait(0.05)
    assert not network.probes[ONE]
    assert set(network.usable_servers(ONE)) == set(network.servers) - dead
    network.wait(0.5)
    assert set(network.paths(ONE).by_server) == dead


def test_partial_cut_concerns_only_the_servers_behind_it() -> None:
    """Guards against using peers for servers that the instance reaches itself."""
    network = PathNetwork(4, 6)
    lost = set(network.servers[:3])
    network.can_connect = lambda instance, server: instance != ONE or server not in lost
    for server in network.servers:
        network.send(ONE, server)
    network.wait(0.5)
    for server in network.servers:
        via = network.send(ONE, server)
        assert via is not None
        assert (via != DIRECT) == (server in lost)


def test_direct_paths_are_used_again_soon_after_a_cut() -> None:
    """Guards against connections by way of peers that outlast the cut."""
    network = PathNetwork(4, 6)
    cut_off(network, 1)
    network.wait(5.0)
    network.can_connect = lambda *_: True
    network.wait(2.5)
    assert not network.paths(ONE).by_server
    assert {network.send(ONE, server) for server in network.servers} == {DIRECT}


def test_peer_that_loses_its_own_paths_is_replaced() -> None:
    """Guards against an instance that keeps to a peer which is cut off later."""
    network = PathNetwork(6, 4)
    cut_off(network, 1)
    network.wait(0.5)
    (via,) = {network.send(ONE, network.servers[0]) for _ in range(1)}
    cut = {ONE, via}
    network.can_connect = lambda instance, _: instance not in cut
    for _ in range(10):
        for server in network.servers:
            network.send(ONE, server)
        network.wait(0.1)
    assert {network.send(ONE, server) for server in network.servers}.isdisjoint({None, DIRECT, via})


def test_half_of_the_instances_cut_off_spread_over_the_others() -> None:
    """Guards against one peer that gets the requests of all instances that are cut off."""
    network = PathNetwork(24, 12)
    cut = cut_off(network, 12)
    network.wait(1.0)
    carried: Counter[InstanceName] = Counter()
    for _ in range(20):
        for name in cut:
            via = network.send(name, network.rng.choice(network.servers))
            assert via is not None
            carried[via] += 1
    assert set(carried).isdisjoint(cut)
    assert max(carried.values()) <= 4 * sum(carried.values()) / 12


def test_questions_become_rare_while_all_servers_are_down() -> None:
    """Guards against questions and probes that pile up while no server is up."""
    network = PathNetwork(12, 24)
    network.can_connect = lambda *_: False
    for name in network.worlds:
        for server in network.servers[:2]:
            network.send(name, server)
    network.wait(3.0)
    network.sent_bytes.clear()
    network.probes.clear()
    network.wait(10.0)
    for name in network.worlds:
        assert network.sent_bytes[name] / 10.0 <= 6_000
        # The retries of the instance itself: each server once a second.
        assert network.probes[name] / 10.0 <= 1.1 * len(network.servers)
    assert not any(network.usable_servers(name) for name in network.worlds)


def test_instance_without_peers_tries_the_servers_itself() -> None:
    """Guards against waiting for peers that there are none of."""
    network = PathNetwork(1, 3)
    cut_off(network, 1)
    network.wait(2.0)
    assert not network.usable_servers(ONE)
    network.can_connect = lambda *_: True
    network.wait(1.5)
    assert network.usable_servers(ONE) == network.servers
    assert network.send(ONE, ServerName(network.servers[0])) == DIRECT


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("is_cut", [True, False])
def test_carried_stream_that_must_not_be_repeated_opens_a_connection(
    is_cut: bool, repeatable: bool
) -> None:
    """Guards against a stream on a connection of which the peer alone knows that it has ended."""
    world = StoreWorld(1, 0)
    peer = world.know("peer")
    (name,) = world.state.servers.by_name
    if is_cut:
        world.give(ServerUnreachable(name, "refused"))
        world.peer(peer, PathsSend([name], [], 0))
    start = start_of(world.arrive("r", repeatable=repeatable))
    assert start.via == (peer if is_cut else DIRECT)
    assert start.needs_new_connection == (is_cut and not repeatable)
