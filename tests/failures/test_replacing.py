"""Instances that are replaced one after the other under load, and the callers that meet them."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Final, Self

from tests.failures.fault_cluster import CALL_S, Chat, Chats, chats, small
from turmericweir_standins.deployment import Instance
from turmericweir_standins.procs import wait_until

INSTANCES: Final = 3
# Callers at each instance, who know of no replacement; in all about as many as there are slots.
CALLERS: Final = 3
ANSWER: Final = "[len=60]"


class Crowd:
    """Callers who stay with an instance and send again as soon as they are answered."""

    answers: list[Chat]
    # Times that an instance's port was closed to them.
    refused: int

    def __init__(self, callers: Chats, pool: ThreadPoolExecutor) -> None:
        self.answers = []
        self.refused = 0
        self._callers = callers
        self._pool = pool
        self._numbers = itertools.count()
        self._ended = threading.Event()
        self._running: list[Future[None]] = []

    def __enter__(self) -> Self:
        self._running = [
            self._pool.submit(self._send, 1 + number % INSTANCES)
            for number in range(CALLERS * INSTANCES)
        ]
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
            try:
                self.answers.append(self._callers.ask(prompt, instance=instance))
            except ConnectionRefusedError:
                # Nothing of the request was sent. A balancer would turn to another instance.
                self.refused += 1
                instances = self._callers.cluster.instances
                is_back = partial(_is_ready, instances, f"entry-{instance}")
                wait_until(is_back, f"entry-{instance} is back", CALL_S)

    def wait_whole(self, count: int) -> None:
        """Wait until so many more have had their whole answers."""
        wanted = self._whole() + count
        wait_until(lambda: self._whole() >= wanted, f"{count} more whole answers", CALL_S)

    def _whole(self) -> int:
        return sum(each.is_whole() for each in list(self.answers))


def _is_ready(instances: Mapping[str, Instance], name: str) -> bool:
    return instances[name].ready()


def test_replacing_all_instances_under_load_cuts_off_nobody(tmp_path: Path) -> None:
    # Callers stream through three instances, and each of these is stopped in turn and a new one
    # takes its place, while its callers go on sending to it. Each of them gets its whole answer,
    # is told that nothing was run as the instance is stopping, or finds the port closed. Nobody is
    # cut off and nobody hears nothing, and no engine has run what a caller was told was not run.
    with (
        chats(small(instances=INSTANCES), tmp_path) as callers,
        ThreadPoolExecutor(CALLERS * INSTANCES) as pool,
        Crowd(callers, pool) as crowd,
    ):
        cluster = callers.cluster
        crowd.wait_whole(INSTANCES * CALLERS)
        for name in list(cluster.instances):
            cluster.instances[name].process.terminate()
            assert cluster.instances[name].process.wait(CALL_S) == 0
            replaced = cluster.restart_instance(name)
            wait_until(replaced.ready, f"{name} is ready")
            crowd.wait_whole(INSTANCES * CALLERS)

    told = [each for each in crowd.answers if not each.is_whole()]
    # The one that takes its place listens before it knows its customers.
    reasons = {("not_run", "stopping"), ("not_run", "no_settings")}
    assert {(each.outcome, each.reason) for each in told} <= reasons
    assert crowd.refused > 0
    ends = cluster.records("ended")
    assert [each for each in ends if each["outcome"] != "finished"] == []
    assert len(ends) == len(crowd.answers) - len(told)
