"""Closed-loop callers: each one uses one instance and sends again when its answer is complete."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from types import TracebackType
from typing import Self

from tests.failures.fault_cluster import CALL_TIMEOUT_S, Chat, ChatCallers
from turmericweir_standins.deployment import Instance
from turmericweir_standins.procs import wait_until


class ClosedLoopCallers:
    """A fixed number of closed-loop callers, spread over the instances."""

    answers: list[Chat]
    # How often an instance refused a connection.
    refused_connections: int

    def __init__(
        self,
        callers: ChatCallers,
        pool: ThreadPoolExecutor,
        *,
        size: int,
        instances: int,
        length_marker: str,
    ) -> None:
        self.answers = []
        self.refused_connections = 0
        self._size = size
        self._instances = instances
        # Marker in the prompt that sets the length of the answer.
        self._length_marker = length_marker
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
        for future in self._running:
            future.result(CALL_TIMEOUT_S)

    def _send(self, instance: int) -> None:
        while not self._ended.is_set():
            prompt = f"question {next(self._numbers)} {self._length_marker}"
            try:
                self.answers.append(self._callers.ask(prompt, instance=instance))
            except ConnectionRefusedError:
                # Nothing of the request was sent. A load balancer would use another instance.
                self.refused_connections += 1
                instances = self._callers.cluster.instances
                is_back = partial(_is_ready, instances, f"entry-{instance}")
                wait_until(is_back, f"entry-{instance} is back", CALL_TIMEOUT_S)

    def wait_complete_answers(self, count: int) -> None:
        """Wait until this many more answers are complete."""
        target_count = self._complete_count() + count
        wait_until(
            lambda: self._complete_count() >= target_count,
            f"{count} more complete answers",
            CALL_TIMEOUT_S,
        )

    def wait_refused_connection(self, before: int) -> None:
        """Wait until more connections were refused than before.

        The count is taken before the instance stops: its callers may all be refused, and wait for
        its return, before its end is noticed.
        """
        wait_until(
            lambda: self.refused_connections > before,
            "an instance refuses a connection",
            CALL_TIMEOUT_S,
        )

    def _complete_count(self) -> int:
        return sum(each.is_complete() for each in list(self.answers))


def _is_ready(instances: Mapping[str, Instance], name: str) -> bool:
    return instances[name].is_ready()
