"""Tests of requests in whose handling an instance fails."""

from __future__ import annotations

import http.client
from pathlib import Path

import pytest

from tests.platform.answer_ends import PLAIN, STREAMS
from tests.platform.failing_instance import STEPS
from tests.platform.faulty_world import FailingWorld
from tests.platform.platform_world import PlatformWorld, until


def _send(world: PlatformWorld, path: str) -> tuple[str, int]:
    """Return the ID of a request and the status that its caller saw; 0 for a reset."""
    request_id = world.new_id()
    try:
        answer = world.send(path, request_id=request_id, body=request_id.encode())
    except (ConnectionError, http.client.HTTPException):
        return request_id, 0
    return request_id, 0 if answer.is_cut else answer.status


@pytest.mark.parametrize("path", [*STREAMS, *PLAIN])
def test_request_that_fails_within_the_instance_ends_and_is_logged(
    tmp_path: Path, path: str
) -> None:
    # Guards against requests whose end is not in the log, and against answers that look complete.
    with FailingWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        for number, step in enumerate(STEPS, 1):
            world.trigger("entry-1", step)
            request_id, status = _send(world, path)
            assert status in (0, 502), step
            until(lambda count=number: len(instance.logged("fault")) == count, step)  # type: ignore[misc]
            until(
                lambda sent=request_id: sent  # type: ignore[misc]
                in [line["request_id"] for line in instance.logged("finished")],
                f"the end of the request is logged after an error in {step}",
            )
        assert _send(world, path)[1] == 200
