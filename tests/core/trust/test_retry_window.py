"""Tests of the retry budget in a window, which limits all instances together."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.core.retry_count import Window
from tests.core.retry_fleet import BOUNDS, RetryFleet

RATE_S = 40.0
# A process uses no part of the burst for this time after its start.
SETTLED_S = 16.0
# Share of the allowed retries that can be used in a calm cluster.
USABLE_SHARE = 0.7


def start_settled(count: int = 8, *, seed: int = 1) -> tuple[RetryFleet, list[str]]:
    """Return instances that serve requests and have their parts of the burst."""
    fleet = RetryFleet(seed=seed)
    names = fleet.start(count, min(count, 2))
    fleet.send(names, RATE_S, SETTLED_S)
    return fleet, names


def fail_all(fleet: RetryFleet, callers_at: list[str], seconds: float = 12.0) -> Window:
    """Let servers fail all requests; return the worst window since then."""
    since = fleet.now
    fleet.failed_share = 1.0
    fleet.send(callers_at, RATE_S, seconds)
    return fleet.worst_window(since)


# --- what can be used ------------------------------------------------------------------------


def test_budget_is_usable_with_equal_load() -> None:
    """Guards against a budget that is kept by leaving most of it unused."""
    fleet, names = start_settled()
    assert USABLE_SHARE <= fail_all(fleet, names).used_share <= 1.0


def test_budget_is_usable_with_most_callers_at_one_instance() -> None:
    """Guards against a part of the burst that is too small where the callers are."""
    fleet, names = start_settled()
    assert USABLE_SHARE <= fail_all(fleet, names[:1]).used_share <= 1.0


def test_budget_is_usable_by_a_single_instance() -> None:
    """Guards against a single instance that waits for others."""
    fleet, names = start_settled(1)
    assert USABLE_SHARE <= fail_all(fleet, names).used_share <= 1.0


def test_last_instance_gets_the_budget_of_those_that_are_gone() -> None:
    """Guards against parts of the burst that are lost with their instances."""
    fleet, names = start_settled()
    for name in names[1:]:
        fleet.kill(name)
    fleet.send(names[:1], RATE_S, 80.0)
    assert USABLE_SHARE <= fail_all(fleet, names[:1]).used_share <= 1.0


def test_cluster_that_starts_beside_failing_servers_retries() -> None:
    """Guards against a start in which no failure is made up for until the burst is known."""
    fleet = RetryFleet()
    names = fleet.start(8, 2)
    fleet.failed_share = 1.0
    fleet.send(names, RATE_S, 3.0)
    assert fleet.worst_window().retries >= 0.5 * BOUNDS.ratio * RATE_S * 3.0


# --- what must never be exceeded -------------------------------------------------------------


def test_kills_of_all_instances_bring_no_new_burst() -> None:
    """Guards against a burst of retries from each process that starts again."""
    fleet, names = start_settled()
    for number in range(4):
        fail_all(fleet, names, 2.5)
        fleet.kill_and_start(names, f"b{number}")
    assert fail_all(fleet, names).used_share <= 1.0
    assert fleet.worst_window().used_share <= 1.0


def test_moving_callers_do_not_bring_their_first_attempts_twice() -> None:
    """Guards against retries that one instance earned before and another earns now."""
    fleet, names = start_settled()
    fail_all(fleet, names[1:], 2.0)
    for name in names:
        fail_all(fleet, [name], 3.0)
    assert fleet.worst_window().used_share <= 1.0


@pytest.mark.parametrize("from_store", [True, False])
def test_halves_that_are_cut_off_share_the_burst(from_store: bool) -> None:
    """Guards against a burst for each half of a cluster."""
    assert fail_halves(1, from_store=from_store).used_share <= 1.0


@pytest.mark.parametrize("seed", [2, 7, 8])
def test_parts_of_a_retry_do_not_add_up_beyond_the_budget(seed: int) -> None:
    """Guards against a retry at each instance that is granted for a part of one by chance."""
    assert fail_halves(seed, from_store=False).used_share <= 1.0


def fail_halves(seed: int, *, from_store: bool) -> Window:
    """Cut a cluster in halves and let servers fail; return the worst window since then."""
    fleet, names = start_settled(seed=seed)
    fleet.cut(names[:4], names[4:], from_store=from_store)
    fleet.send(names, RATE_S, 30.0)
    return fail_all(fleet, names)


def test_process_that_starts_cut_off_takes_no_part_of_the_burst() -> None:
    """Guards against a process that divides the burst by the instances it has heard, itself."""
    fleet, names = start_settled()
    fleet.cut(names[:7], names[7:], from_store=False)
    fleet.kill_and_start(names[7:], "b")
    fleet.send(names, RATE_S, 40.0)
    assert fail_all(fleet, names).used_share <= 1.0


def test_instance_that_is_long_cut_off_leaves_its_part_to_others() -> None:
    """Guards against a part that others divide while its instance still uses it."""
    fleet, names = start_settled()
    fleet.cut(names[:6], names[6:], from_store=True)
    fleet.send(names, RATE_S, 80.0)
    window = fail_all(fleet, names)
    assert window.used_share <= 1.0


def test_burst_is_shared_while_loans_are_lost() -> None:
    """Guards against loans that both the lender and the borrower use."""
    fleet, names = start_settled()
    fleet.loss = 0.3
    for turn in range(3):
        fail_all(fleet, names[turn : turn + 1], 4.0)
        fleet.kill_and_start(names[turn + 1 : turn + 2], f"b{turn}")
    assert fleet.worst_window().used_share <= 1.0


class Trouble:
    """A random series of overlapping kills, starts, freezes, cuts and rushes."""

    def __init__(self, seed: int) -> None:
        self.fleet, self.names = start_settled(seed=seed)
        self.fleet.refused_share = 0.3
        self.callers_at = self.names
        self.starts = 0
        self.rng = self.fleet.rng

    def play(self) -> Window:
        """Play a fault each second or so, while servers fail requests."""
        faults: tuple[Callable[[], None], ...] = (
            self.kill_all,
            self.kill_some,
            self.freeze,
            self.cut,
            self.heal,
            self.rush,
            self.join,
            self.stop,
            self.recover_servers,
        )
        for _ in range(16):
            self.fleet.failed_share = self.rng.choice((0.6, 1.0, 1.0))
            self.rng.choice(faults)()
            self.fleet.send(self.callers_at, RATE_S, self.rng.uniform(0.3, 2.5))
        return self.fleet.worst_window()

    def _start(self, names: list[str]) -> None:
        self.starts += 1
        self.fleet.kill_and_start(names, f"b{self.starts:02d}")

    def kill_all(self) -> None:
        self._start(self.names)

    def kill_some(self) -> None:
        self._start(self.rng.sample(self.names, self.rng.randint(1, 4)))

    def freeze(self) -> None:
        names = self.rng.sample(self.names, self.rng.randint(1, 4))
        for name in names:
            self.fleet.pause(name)
        self.fleet.send(self.callers_at, RATE_S, self.rng.uniform(0.5, 3.0))
        for name in names:
            self.fleet.resume(name)

    def cut(self) -> None:
        side = self.rng.sample(self.names, self.rng.randint(1, len(self.names) - 1))
        others = [each for each in self.names if each not in side]
        self.fleet.cut(others, side, from_store=self.rng.random() < 0.5)

    def heal(self) -> None:
        self.fleet.heal()

    def rush(self) -> None:
        self.callers_at = self.rng.choice((self.names, [self.rng.choice(self.names)]))

    def join(self) -> None:
        if len(self.names) >= 12:
            return
        name = f"j{self.starts:02d}{len(self.names)}"
        self.fleet.add(name, "dc0")
        self.fleet.begin([name])
        self.names = [*self.names, name]

    def stop(self) -> None:
        self.fleet.stop(self.rng.choice(self.names))

    def recover_servers(self) -> None:
        self.fleet.failed_share = 0.0
        self.fleet.send(self.callers_at, RATE_S, self.rng.uniform(1.0, 6.0))


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_window_exceeds_the_budget_in_random_trouble(seed: int) -> None:
    """Guards against an order of faults in which retries of two processes count for one part."""
    window = Trouble(seed).play()
    assert window.used_share <= 1.0, window
