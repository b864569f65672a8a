"""Leases, fencing numbers and usage reports while the store comes back from copies."""

from __future__ import annotations

from typing import Final

import pytest

from tests.core.duties.duty_network import LATE_S, LEASE_S, DutyNetwork
from tests.core.duties.test_usage import COUNT, random_faults
from turmericweir_core.leases import lease_flow
from turmericweir_core.records.lease_record import LeaseAction, encode

# Drills between two other troubles, and the ages of the copies.
DRILLS: Final = 3
AGES_S: Final = (0.5, 2.0, 4.0, 10.0)
SEEDS: Final = (*range(1, 13), 64, 67)


def test_fencing_number_is_never_given_out_again() -> None:
    """Guards against a number of the new era that was used in the one before."""
    network = DutyNetwork()
    names = network.start(COUNT)
    network.serve_all(names, 20.0)
    used = {call.fence for call in network.platform.accepted}
    network.kill(network.holder() or "")
    # The copy lacks all records.
    network.drill(network.now + 1.0)
    network.serve_all(names, 30.0)
    later = {call.fence for call in network.platform.accepted} - used
    assert later
    assert min(later) > max(used)
    assert network.platform.refused == 0
    assert network.broken_rules() == []


@pytest.mark.parametrize("age_s", AGES_S)
def test_holder_whose_record_is_lost_has_no_rival(age_s: float) -> None:
    """Guards against a grant to another instance while the holder's term lasts."""
    network = DutyNetwork()
    names = network.start(COUNT)
    network.serve_all(names, 12.0)
    holder = network.holder() or ""
    # It learns of nothing any more, and may act to the end of its term.
    network.store_answers = lambda name: name != holder
    network.drill(age_s)
    drilled_at = network.now
    network.serve_all(names, 20.0)
    others = [
        call.called_at
        for call in network.platform.accepted
        if call.holder != holder and call.called_at > drilled_at
    ]
    assert others
    assert min(others) >= drilled_at + LEASE_S
    assert network.broken_rules() == []


def test_instance_that_starts_after_a_drill_waits_for_the_longest_lease() -> None:
    """Guards against a start that takes a copy without a grant for a free lease."""
    network = DutyNetwork()
    names = network.start(COUNT)
    network.serve_all(names, 12.0)
    holder = network.holder() or ""
    network.store_answers = lambda name: name != holder
    network.drill(network.now + 1.0)
    drilled_at = network.now
    others = [name for name in names if name != holder]
    for name in others:
        network.restart(name)
    network.begin(others)
    network.serve_all(names, 25.0)
    assert all(
        call.called_at >= drilled_at + LEASE_S
        for call in network.platform.accepted
        if call.holder != holder and call.called_at > drilled_at
    )
    assert network.broken_rules() == []


def test_append_that_takes_effect_in_a_later_era_is_void() -> None:
    """Guards against a grant that fits the end of a copy by chance."""
    network = DutyNetwork()
    names = network.start(COUNT)
    network.serve_all(names, 8.0)
    holder = network.holder() or ""
    state = network.nodes[holder].state
    (scope,) = state.leases.held_leases
    ledger = state.leases.ledger
    fence = ledger.leases[scope].fence
    late = encode(lease_flow._record(state, LeaseAction.GRANT, scope, fence))
    network.drill(0.0)
    network.serve_all(names, 4.0)
    network.records.append((str(scope), late))
    network.written_at.append(network.now)
    network.serve_all(names, 20.0)
    assert network.broken_rules() == []


@pytest.mark.parametrize("age_s", AGES_S)
def test_no_window_is_reported_with_other_counts_after_a_drill(age_s: float) -> None:
    """Guards against windows that are settled again because the copy holds an older note."""
    network = DutyNetwork()
    names = network.start(COUNT)
    for _ in range(DRILLS):
        network.serve_all(names, 12.0)
        network.drill(age_s)
    network.serve_all(names, LATE_S + 10.0)
    assert network.broken_rules() == []
    windows = [call.window for call in network.platform.accepted]
    assert len(windows) == len(set(windows))


@pytest.mark.parametrize("checks_fence", [True, False])
@pytest.mark.parametrize("seed", SEEDS)
def test_one_holder_at_a_time_in_drills_among_faults(seed: int, checks_fence: bool) -> None:
    """Guards against two holders where drills and other troubles come together."""
    network = DutyNetwork(seed, checks_fence=checks_fence)
    names = network.start(6)
    for _ in range(DRILLS):
        random_faults(network, names, 2)
        network.drill(network.rng.choice(AGES_S))
        network.serve_all(names, 3.0 * network.rng.random())
    network.lost_answers = 0.0
    network.serve_all(names, 40.0)
    assert network.broken_rules() == []
    assert max(network.reported()) >= network.window() - 4
