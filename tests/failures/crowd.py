"""Callers who stay with an instance and send again as soon as they are answered."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from types import TracebackType
from typing import Self

from tests.failures.fault_cluster import CALL_S, Chat, Chats
from turmericweir_standins.deployment import Instance
from turmericweir_standins.procs import wait_until


class Crowd:
    """So many callers, spread over the instances."""

    answers: list[Chat]
    # Times that an instance's port was closed to them.
    refused: int

    def __init__(
        self, callers: Chats, pool: ThreadPoolExecutor, *, size: int, instances: int, answer: str
    ) -> None:
        self.answers = []
        self.refused = 0
        self._size = size
        self._instances = instances
        # How long an answer they ask for, in the engines' words.
        self._answer = answer
        self._callers = callers
        self._pool = pool
        self._numbers = itertools.count()
        self._ended = threading.Event()
        self._running: list[Future[None]] = []

    def __enter__(self) -> Self:
        self._running = [
            self._pool.submit(self._send, 1 + number % self._instances)
            for number in range(self._size)
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
            prompt = f"question {next(self._numbers)} {self._answer}"
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

    def wait_refused(self) -> None:
        """Wait until one more has found a port closed."""
        before = self.refused
        wait_until(lambda: self.refused > before, "a caller finds the port closed", CALL_S)

    def _whole(self) -> int:
        return sum(each.is_whole() for each in list(self.answers))


def _is_ready(instances: Mapping[str, Instance], name: str) -> bool:
    return instances[name].ready()
