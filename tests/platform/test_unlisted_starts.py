"""Streams that began at a start of a server that no list names, after all instances were lost."""

from __future__ import annotations

from pathlib import Path

from tests.platform.test_restarted_versions import BORN, begin_at, open_world
from tests.platform.test_versions import finish, joined


def test_stream_of_an_unlisted_start_does_not_go_on_after_all_instances_were_lost(
    tmp_path: Path,
) -> None:
    # Guards against taking the only version that is listed for the only one there was.
    with open_world(tmp_path) as world:
        world.crash_server("lm-1")
        world.restart_unregistered("lm-1", BORN + 1, "v2")
        callers = begin_at(world, "lm-1")
        for instance in world.running.values():
            instance.process.kill()
        world.crash_server("lm-1")
        for name in world.running:
            world.restart_instance(name)
        assert not joined(finish(callers))
