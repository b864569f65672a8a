"""Instances that all start at once, hundreds of them, and the same three seeds for all."""

import pytest

from tests.core.member_network import Network
from turmericweir_core.base.options import Options

# The platform runs an instance with this tick.
TICK_S = 0.05
DATA_CENTRES = 6


def started(count: int, seed: int) -> Network:
    """Start so many instances at once, each with the addresses of the same three."""
    network = Network(seed, options=Options(tick_s=TICK_S))
    names = [f"i{number:03d}" for number in range(count)]
    seeds = network.rng.sample(names, 3)
    for number, name in enumerate(names):
        network.add(name, f"dc{number % DATA_CENTRES}")
    for name in names:
        network.seed(name, seeds)
    return network


@pytest.mark.parametrize("count", [100, 195])
def test_all_meet_before_they_choose_readers(count: int) -> None:
    """
    Callers see refusals and late answers in the first half minute after all instances started:
    each knew some of the others, so loads were told to few, the sum of retries was split wrongly,
    and each read the store for itself, beyond its rate. All must have met when they begin to pick
    readers of the store among themselves, 8 s after the start.
    """
    network = started(count, seed=1)
    names = list(network.nodes)

    network.run_until(lambda: network.agree(names, names), within=8.0)


def test_a_data_centre_meets_where_no_seed_is_in_it() -> None:
    """
    The seeds lie in other data centres, and all instances start at once. Whoever greets a seed is
    told of others of its own data centre, so that these can serve together when they are cut off.
    """
    network = Network(3, options=Options(tick_s=TICK_S))
    names = [f"i{number:02d}" for number in range(33)]
    network.add("seed", "elsewhere")
    for name in names:
        network.add(name, "here", seeds=["seed"])

    network.run_until(
        lambda: all(network.live(name, "here") == names for name in names), within=4.0
    )
