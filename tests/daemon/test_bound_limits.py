"""Tests of the bounds that a process can keep."""

from __future__ import annotations

import pytest

from turmericweir.entry_daemon import make_options
from turmericweir.process.bound_limits import adjusted_bounds, usable_bounds
from turmericweir.process.entry_settings import BoundsSettings, EntrySettings, StoreSettings

FIELDS = ("drain_ms", "settings_ms", "revoke_ms", "grace_s", "retry_window_s", "retry_burst")


def settings(bounds: BoundsSettings) -> EntrySettings:
    address = "127.0.0.1:1"
    return EntrySettings(
        name="entry-1",
        data_centre="dc-1",
        region="home",
        caller_address=address,
        readiness_address=address,
        peer_address=address,
        store=StoreSettings(address=address),
        bounds=bounds,
    )


@pytest.mark.parametrize("value", [-1e300, -1.0, 0.0, 1e-9, 100.0, 1e300, float("inf")])
@pytest.mark.parametrize("strict", [False, True])
def test_times_of_every_bound_can_be_kept(value: float, strict: bool) -> None:
    # Guards against reads without a pause, proofs that are never fresh, and stops without an end.
    values = dict.fromkeys(FIELDS, value)
    options = make_options(settings(BoundsSettings(strict_revoke=strict, **values)))
    assert 0.1 < options.store.settings_read_s < options.store.settings_fallback_s < 3_600
    assert 0.1 < options.store.servers_read_s < options.store.servers_fallback_s < 3_600
    assert options.key_proof_s >= 2 * options.store.settings_read_s
    assert options.stop_grace_s >= 0.0
    assert 0.0 <= options.stop_limit_s <= 86_400
    assert 1.0 <= options.retry_window_s <= 3_600


def test_bounds_that_can_be_kept_are_not_adjusted() -> None:
    # Guards against a process that keeps other bounds than its platform states.
    bounds = BoundsSettings(strict_revoke=True)
    assert usable_bounds(bounds) == bounds
    assert adjusted_bounds(bounds) == {}


def test_bound_that_is_not_used_is_not_named() -> None:
    # Guards against a log line about a bound that is not in force.
    assert adjusted_bounds(BoundsSettings(strict_revoke=False, revoke_ms=0)) == {}
