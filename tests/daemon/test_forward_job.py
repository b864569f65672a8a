"""Tests of what remains of a forwarded request after its end."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from typing import cast

import pytest

from turmericweir.answers.forward_answer import ForwardAnswer
from turmericweir.answers.forward_wire import ForwardCall, WireAdapter
from turmericweir.process.node import Node
from turmericweir.servers.backend_attempt import Attempt
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.forward import ForwardJob
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import EndUnsent

_CALL = ForwardCall(b"POST", b"/", (), b"body", b"", False, False, b"")


@pytest.fixture
def _no_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.anyio
@pytest.mark.usefixtures("_no_collections")
async def test_job_of_an_ended_request_is_freed_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against bodies that stay in memory, uncounted, until the garbage collector runs.
    async def end(*_: object) -> EndUnsent:
        return EndUnsent("no connection")

    monkeypatch.setattr(Attempt, "run", end)
    await _run_job()
    assert not [each for each in gc.get_objects() if isinstance(each, ForwardJob)]


async def _run_job() -> None:
    job = ForwardJob(_CALL, cast(Request, None), cast(WireAdapter, None), cast(ForwardAnswer, None))
    attempt = job.make_attempt(cast(Node, None), cast(BackendPool, None), cast(StartAttempt, None))
    assert isinstance(await attempt.run(), EndUnsent)
