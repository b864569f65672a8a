"""Tests of many clients that ask for the whole state, through a real process."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from tests.platform.client_crowd import Crowd, LimitedWorld, Sent, peak_bytes
from tests.platform.crowds import one_at_a_time
from tests.platform.platform_world import call, until

_MEMORY_MB: Final = 300
_ROUTES: Final = 9_000
_CLIENTS: Final = 200


def test_crowd_that_asks_for_a_large_state_leaves_memory_and_answers(tmp_path: Path) -> None:
    # Guards against answers to operators that are made all at once, whatever memory they take.
    machine = {"memory_mb": _MEMORY_MB}
    with one_at_a_time(), LimitedWorld(tmp_path, machine=machine) as world:
        process = world.running["entry-1"].process
        world.publish_more_routes(_ROUTES)
        until(
            lambda: world.reported_state("entry-1")["settings_version"] == world.version,
            "the settings are in force",
        )
        sent = Sent(b"GET /state HTTP/1.1\r\n\r\n")
        with Crowd(world.address_of("admin"), _CLIENTS, sent) as crowd:
            crowd.settle(world.send_safe)
            peak_mb = peak_bytes(process) / 1_000_000
        print(f"peak {peak_mb:.0f} MB")
        assert peak_mb < _MEMORY_MB
        until(
            lambda: call(world.address_of("admin"), "GET", "/state").status == 200,
            "the state is shown again",
        )
