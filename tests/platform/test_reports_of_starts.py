"""Tests of engines that are asked for their report before a stream begins or goes on there."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.platform.platform_world import PlatformWorld
from tests.platform.standin_http import Call
from tests.platform.standin_server import HEALTH_PATH, REPORT_PATH, Server

BORN = 1_700_000_000_000


class SilentReports(Server):
    """An engine that answers no reports; streams as before."""

    __slots__ = ()

    async def handle(self, call: Call) -> bool:
        """Answer one request, unless it asks for a report."""
        if call.path != REPORT_PATH:
            return await Server.handle(self, call)
        await call.wait_closed()
        return False


class ClosesAfterReport(Server):
    """An engine that closes a connection after a report."""

    __slots__ = ()

    async def handle(self, call: Call) -> bool:
        """Answer one request; the connection carries no other one after a report."""
        return await Server.handle(self, call) and call.path != REPORT_PATH


class RefusesWithoutId(Server):
    """An engine that refuses streams, and does not name them."""

    __slots__ = ()

    async def handle(self, call: Call) -> bool:
        """Refuse one request, unless it asks for a status."""
        if call.path in (REPORT_PATH, HEALTH_PATH):
            return await Server.handle(self, call)
        await call.answer(503, b"", {"X-Not-Executed": "1"})
        return True


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield a world with one engine, whose entry and report name its start."""
    with PlatformWorld(tmp_path, engines=1, plain_servers=0, born=BORN) as world:
        yield world


def replace_engine(world: PlatformWorld, kind: type[Server]) -> None:
    """Listen at the address of the engine with another way of answering."""
    old = world.servers["lm-1"]
    world.crash_server("lm-1")
    world.servers["lm-1"] = kind(old.name, True, old.address, version=old.version, born=BORN)
    world.restart_unregistered("lm-1", BORN)


def test_stream_begins_at_an_engine_that_answers_no_reports(world: PlatformWorld) -> None:
    # Guards against refusing streams, and giving up a path, for the sake of a report.
    replace_engine(world, SilentReports)
    answer = world.send("/lm/chat/")
    assert answer.status == 200
    assert not world.running["entry-1"].logged("path_lost")


def test_stream_begins_at_an_engine_that_closes_after_a_report(world: PlatformWorld) -> None:
    # Guards against refusing all streams of an engine whose connections carry one request each.
    replace_engine(world, ClosesAfterReport)
    assert world.send("/lm/chat/").status == 200


def test_refusal_without_an_id_is_believed_after_a_report(world: PlatformWorld) -> None:
    # Guards against telling a caller that a stream may have run, which its engine refused.
    replace_engine(world, RefusesWithoutId)
    assert world.send("/lm/chat/").status == 503
