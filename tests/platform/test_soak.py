"""A short soak of one seed, so that the soak itself keeps working; more are played by hand."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.platform import soak

# Seeds that once failed stay, with how long they are played:
# 21: servers that left and were back under their names got no work for good.
SEEDS = [(1, 6.0), (21, 12.0)]


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_promises_hold_in_random_trouble(seed: int, seconds: float, tmp_path: Path) -> None:
    # Instances, servers, the store and the settings are in trouble at random. No caller gets
    # another's answer, a call that may not repeat runs once, "not run" is true, keys and servers
    # that go are not used beyond their bounds, and everything is served in the end.
    assert not soak.run(seed, seconds, tmp_path)
