"""Overload without an end: the lowest class is served, and nobody above pays with its request."""

from __future__ import annotations

import itertools
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from types import TracebackType
from typing import Final, Self

from tests.failures.fault_cluster import CALL_S, Chat, Chats, chats, small
from turmericweir_standins.procs import wait_until

SLOTS: Final = 4
# Upper requests that are out at any time: three times as many as there are slots.
CALLERS: Final = 12
ANSWER: Final = "[len=40]"
BULK: Final = "bulk-1"
# The assured share of the lowest class; five times the usual one, which only shortens the test.
SHARE: Final = 0.1


class Overload:
    """Upper callers at two instances, who each send again as soon as they are answered."""

    # What they were told, in the order of the answers.
    answers: list[Chat]

    def __init__(self, callers: Chats, pool: ThreadPoolExecutor) -> None:
        self.answers = []
        self._callers = callers
        self._pool = pool
        self._numbers = itertools.count()
        self._ended = threading.Event()
        self._running: list[Future[None]] = []

    def __enter__(self) -> Self:
        self._running = [self._pool.submit(self._send, 1 + it % 2) for it in range(CALLERS)]
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._ended.set()
        for each in self._running:
            each.result(CALL_S)

    def _send(self, instance: int) -> None:
        while not self._ended.is_set():
            prompt = f"question {next(self._numbers)} {ANSWER}"
            self.answers.append(self._callers.ask(prompt, instance=instance))

    def wait_more(self, count: int) -> None:
        """Wait until so many more answers have come."""
        wanted = len(self.answers) + count
        wait_until(lambda: len(self.answers) >= wanted, f"{count} more answers", CALL_S)


def test_lowest_class_is_served_in_endless_overload(tmp_path: Path) -> None:
    # Requests of the top tier come through two instances without an end, three for each slot of
    # the one engine. A bulk request comes by way of each instance. Both are answered while the
    # overload goes on: their class's assured share earns them a slot. The upper callers pay with a
    # longer wait only: each has the whole answer, none was refused, none preempted on the engine.
    deployment = small(engines=1)
    bulk = {**deployment.classes["bulk"], "assured_share": SHARE}
    deployment = replace(deployment, classes={**deployment.classes, "bulk": bulk})
    with chats(deployment, tmp_path) as callers, ThreadPoolExecutor(CALLERS) as pool:
        with Overload(callers, pool) as overload:
            overload.wait_more(2 * CALLERS)
            lower = [
                callers.send(f"essay {it} {ANSWER}", instance=it, customer=BULK) for it in (1, 2)
            ]
            answered = [each.result(CALL_S) for each in lower]
            before = len(overload.answers)
            overload.wait_more(CALLERS)

        assert [each.is_whole() for each in answered] == [True, True]
        assert len(overload.answers) >= before + CALLERS
        assert [each for each in overload.answers if not each.is_whole()] == []
        assert upper_stopped(callers) == []


def upper_stopped(callers: Chats) -> list[object]:
    """List the upper attempts that the engine preempted, or that were stopped before their end."""
    records = callers.cluster.records
    upper = {it["attempt_id"] for it in records("received") if it["priority"] == 0}
    ended = [it for it in records("ended") if it["outcome"] != "finished"]
    return [it for it in (*records("preempted"), *ended) if it["attempt_id"] in upper]
