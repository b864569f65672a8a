"""Discovery when hundreds of instances start at once with the same three seeds."""

import pytest

from tests.core.member_network import Network
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options

# The tick interval on the platform.
TICK_S = 0.05
DATA_CENTRES = 6


def started_network(count: int, seed: int) -> Network:
    """Start a number of instances at once, each with the addresses of the same three."""
    network = Network(seed, options=Options(tick_s=TICK_S))
    names = [f"i{number:03d}" for number in range(count)]
    seeds = network.rng.sample(names, 3)
    for number, name in enumerate(names):
        network.add(name, f"dc{number % DATA_CENTRES}")
    for name in names:
        network.seed(name, seeds)
    return network


@pytest.mark.parametrize("count", [100, 195])
def test_all_discover_each_other_before_they_pick_readers(count: int) -> None:
    """All instances that start together know each other by the time they pick readers of the store.

    Prevents refusals and late answers after a start: with partial views, load updates reach few
    instances, the retry budget is divided wrongly and each instance reads the store itself.
    """
    network = started_network(count, seed=1)
    names = list(network.nodes)

    network.run_until(lambda: network.agree(names, names), within=8.0)


def test_process_that_starts_without_seeds_hears_peers_of_the_earlier_one() -> None:
    """Guards against a process that drops heartbeats whose senders take it for the earlier one."""
    network = Network(2, options=Options(tick_s=TICK_S))
    names = ["a", "b", "c"]
    for name in names:
        network.add(name, seeds=["a"])
    network.run_until(lambda: network.agree(names, names), within=4.0)
    network.run(4.0)
    network.kill("a")
    network.run(0.5)
    network.add("a", incarnation="b")

    network.run_until(lambda: network.agree(["a"], names), within=0.8)
    network.run(0.5)
    assert {
        network.nodes[name].state.members.by_name[InstanceName("a")].incarnation for name in "bc"
    } == {"b"}


def test_data_centre_without_a_seed_discovers_itself() -> None:
    """Instances discover their own data centre when all seeds are in another one."""
    network = Network(3, options=Options(tick_s=TICK_S))
    names = [f"i{number:02d}" for number in range(33)]
    network.add("seed", "elsewhere")
    for name in names:
        network.add(name, "here", seeds=["seed"])

    network.run_until(
        lambda: all(network.live(name, "here") == names for name in names), within=4.0
    )
