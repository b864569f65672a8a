"""A short soak of one seed, so that the soak itself keeps working; more are played by hand."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.platform import soak

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1])
def test_promises_hold_in_random_trouble(seed: int, tmp_path: Path) -> None:
    # Instances, servers, the store and the settings are in trouble at random. No caller gets
    # another's answer, a call that may not repeat runs once, "not run" is true, keys and servers
    # that go are not used beyond their bounds, and everything is served in the end.
    assert not soak.run(seed, SECONDS, tmp_path)
