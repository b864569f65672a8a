"""Tests of what remains of a forwarded request after its end."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from dataclasses import dataclass
from types import SimpleNamespace
from typing import cast

import anyio
import pytest

from turmericweir.answers.caller_answer import Caller
from turmericweir.answers.forward_answer import ForwardAnswer
from turmericweir.answers.forward_wire import ForwardCall, WireAdapter
from turmericweir.process.node import Node
from turmericweir.servers.backend_attempt import Attempt
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.forward import ForwardJob
from turmericweir_core.base.config import ServiceClass, ServiceKind
from turmericweir_core.base.ids import AttemptId, RequestId, ServerName, Target
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import EndCancelled, EndUnsent

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


def _make_answer() -> ForwardAnswer:
    return ForwardAnswer(cast(Caller, None), cast(WireAdapter, None), lambda: False, b"")


async def _run_job() -> None:
    job = ForwardJob(_CALL, cast(Request, None), cast(WireAdapter, None), _make_answer())
    attempt = job.make_attempt(cast(Node, None), cast(BackendPool, None), cast(StartAttempt, None))
    assert isinstance(await attempt.run(), EndUnsent)


class _NotSentError(Exception):
    """Raised in place of a request that would be sent."""


class _Connection:
    """A connection that nothing may be sent on."""

    is_reused = False
    has_carried_request = False
    held_bytes = 0

    async def send(self, *_: object) -> None:
        raise _NotSentError


class _Pool:
    """A pool whose connection is open only after some time; its server may leave meanwhile."""

    def __init__(self, opens_after_s: float, leaving: SimpleNamespace | None = None) -> None:
        self.opens_after_s = opens_after_s
        self.leaving = leaving
        self.released: list[object] = []

    async def acquire(self, *_: object, **__: object) -> _Connection:
        await anyio.sleep(self.opens_after_s)
        if self.leaving is not None:
            self.leaving.leaving = True
        return _Connection()

    async def release(self, _: str, conn: object) -> None:
        self.released.append(conn)

    def closes_early(self, *_: object) -> bool:
        return False

    def closes_under_calls(self, *_: object) -> bool:
        return False


@dataclass(frozen=True, slots=True)
class _Late:
    """A connection that opens late, or not."""

    name: str
    is_sent: bool
    deadline_s: float = 10.0
    end_by_s: float = 20.0
    has_begun: bool = False
    # Whether the server is leaving when the attempt starts, and when its connection is open.
    was_leaving: bool = False
    is_leaving: bool = False


_LATE = (
    _Late("in time", is_sent=True),
    _Late("at a server that leaves meanwhile", is_leaving=True, is_sent=False),
    _Late("at a server that was leaving", was_leaving=True, is_leaving=True, is_sent=True),
    _Late("past the deadline", deadline_s=0.0, is_sent=False),
    _Late("past the deadline of a resumed answer", deadline_s=0.0, has_begun=True, is_sent=True),
    _Late("past the limit of a resumed answer", end_by_s=0.0, has_begun=True, is_sent=False),
)


@pytest.mark.anyio
@pytest.mark.parametrize("case", _LATE, ids=lambda case: case.name)
async def test_request_is_not_sent_once_its_time_is_over(
    case: _Late, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against requests that are sent after their callers have gone, by a process that lags,
    # or to a server that has begun to leave while a slow connection opened.
    now = anyio.current_time()
    req = Request(
        RequestId("r"),
        ServiceKind.MODEL,
        Target("lm"),
        customer="c",
        team="",
        service_class=ServiceClass("quick", priority=1, target_s=1.0),
        arrived_at=now,
        deadline=now + case.deadline_s,
        end_by=now + case.end_by_s,
        first_token_at=now if case.has_begun else None,
    )
    start = StartAttempt(req.request_id, AttemptId("r.0"), ServerName("lm-1"), "127.0.0.1:1", 1, 0)
    job = ForwardJob(_CALL, req, cast(WireAdapter, None), _make_answer())
    server = SimpleNamespace(leaving=case.was_leaving, drained=False)
    servers = SimpleNamespace(by_name={start.server: server})
    node = SimpleNamespace(state=SimpleNamespace(servers=servers))
    pool = _Pool(opens_after_s=0.001, leaving=server if case.is_leaving else None)
    attempt = job.make_attempt(cast(Node, node), cast(BackendPool, pool), start)
    monkeypatch.setattr(type(attempt), "_make_request", lambda _: None)
    if case.is_sent:
        with pytest.raises(_NotSentError):
            await attempt.run()
    else:
        assert isinstance(await attempt.run(), EndCancelled)
        assert not attempt.may_have_started
    assert len(pool.released) == 1
