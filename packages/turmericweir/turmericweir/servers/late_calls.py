"""Run calls under time limits that follow from how long the other end takes.

A call that runs out of its limit fails for its caller, and goes on in the background for a while:
what it brings late is kept for the next one, and how long it took raises the next limit. So an end
that is always slower than the first limit is reached from the second call on, and one that is
silent is noticed after the same limit each time.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final, Generic, TypeVar

from turmericweir.process import logs
from turmericweir.process.response_times import ResponseTimes

if TYPE_CHECKING:
    from turmericweir.process.metrics import Metrics

# Limit of the other ends whose times are kept; those not called for longest are forgotten.
ENDS_MAX: Final = 512
# Limit of the calls that go on beyond their limits, of which each other end has one at most.
LATE_CALLS_MAX: Final = 32
_MS_PER_S: Final = 1000.0

Result = TypeVar("Result")


class LateCalls(Generic[Result]):
    """Owns the calls of one kind that go on beyond their limits, and the times of all."""

    # What kind of call, in log lines and counters.
    _kind: str
    _least_s: float
    # Upper bound of a limit, and how long a call goes on in all.
    _most_s: float
    _late_most_s: float
    # By the name of the other end, the one called last at the end.
    _times: OrderedDict[str, ResponseTimes]
    # By the same name, the call that goes on.
    _late: dict[str, asyncio.Task[Result]]
    # Ends whose last call that went on brought nothing, the latest at the end.
    _silent: OrderedDict[str, None]
    # Keeps what a call brought late.
    _adopt: Callable[[str, Result], None]
    # None if nobody counts the calls.
    metrics: Metrics | None

    def __init__(
        self,
        kind: str,
        least_s: float,
        most_s: float,
        late_most_s: float,
        adopt: Callable[[str, Result], None],
    ) -> None:
        self._kind = kind
        self._least_s = least_s
        self._most_s = most_s
        self._late_most_s = late_most_s
        self._times = OrderedDict()
        self._late = {}
        self._silent = OrderedDict()
        self._adopt = adopt
        self.metrics = None

    def limit_s(self, end: str, quick_limit_s: float | None = None) -> float:
        """Return the limit of the next call; another one may hold for ends not known as slow."""
        times = self._times.get(end)
        limit_s = self._least_s if times is None else times.limit_s
        return limit_s if quick_limit_s is None or limit_s > self._least_s else quick_limit_s

    def smoothed_s(self, end: str) -> float:
        """Return how long an end usually takes; 0 if it is not known."""
        times = self._times.get(end)
        return 0.0 if times is None else times.smoothed_s

    async def run(
        self,
        end: str,
        call: Callable[[], Coroutine[Any, Any, Result]],
        *,
        limit_s: float | None = None,
    ) -> Result:
        """Run a call within a limit, by default that of its end.

        Raises TimeoutError if it runs out, and what the call raises.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if limit_s is None:
            limit_s = self.limit_s(end)
        task = loop.create_task(call())
        try:
            await asyncio.wait((task,), timeout=limit_s)
        except asyncio.CancelledError:
            self._go_on(end, task, started_at)
            raise
        if not task.done():
            self._count("expired")
            self._go_on(end, task, started_at)
            raise TimeoutError(f"not within {limit_s:.2f} s")
        result = task.result()
        self._add_time(end, started_at)
        return result

    def _go_on(self, end: str, task: asyncio.Task[Result], started_at: float) -> None:
        """Let a call go on without its caller, unless there is one or there are too many."""
        if end in self._late or not self._has_room(end):
            task.cancel()
        else:
            self._late[end] = task
        loop = asyncio.get_running_loop()
        timer = loop.call_at(started_at + self._late_most_s, task.cancel)

        def conclude(done: asyncio.Task[Result]) -> None:
            timer.cancel()
            has_result = not done.cancelled() and done.exception() is None
            if self._late.get(end) is done:
                del self._late[end]
                if not has_result:
                    self._note_silent(end)
            if has_result:
                self._conclude(end, done.result(), started_at)

        task.add_done_callback(conclude)

    def _has_room(self, end: str) -> bool:
        """Return whether another call may go on; end that of a silent end for one that may not be.

        Prevents many ends that are lost from hiding that another one is only slow.
        """
        if len(self._late) < LATE_CALLS_MAX:
            return True
        if end in self._silent:
            return False
        silent = next((each for each in self._late if each in self._silent), None)
        if silent is None:
            return False
        self._late.pop(silent).cancel()
        return True

    def _note_silent(self, end: str) -> None:
        self._silent[end] = None
        self._silent.move_to_end(end)
        if len(self._silent) > ENDS_MAX:
            self._silent.popitem(last=False)

    def _conclude(self, end: str, result: Result, started_at: float) -> None:
        duration_s = self._add_time(end, started_at)
        if duration_s > self._least_s:
            self._count("late")
            after_ms = round(_MS_PER_S * duration_s)
            logs.write(f"{self._kind}_late", peer=end, after_ms=after_ms)
        self._adopt(end, result)

    def _add_time(self, end: str, started_at: float) -> float:
        times = self._times.get(end)
        if times is None:
            times = self._times[end] = ResponseTimes(self._least_s, self._most_s)
            if len(self._times) > ENDS_MAX:
                self._times.popitem(last=False)
        self._times.move_to_end(end)
        self._silent.pop(end, None)
        duration_s = asyncio.get_running_loop().time() - started_at
        times.add(duration_s)
        if self.metrics is not None:
            self.metrics.timing(self._kind, duration_s)
        return duration_s

    def _count(self, name: str) -> None:
        if self.metrics is not None:
            self.metrics.count(f"{self._kind}.{name}")

    async def stop(self) -> None:
        """End the calls that go on."""
        tasks = list(self._late.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
