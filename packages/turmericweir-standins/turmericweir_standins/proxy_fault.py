"""The faults of one proxy route, and the delay line of one direction.

Forward is the direction from the client to the target; backward is the opposite one.
"""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

from pydantic import Field

from turmericweir_standins.behaviour import BehaviourTable

# The event loop rounds waiting times up to whole milliseconds. Timers are set earlier by the mean
# error; prevents delays that are too long on average.
HALF_TICK_S: Final = 0.0005


class Direction(enum.Enum):
    """The direction of bytes or datagrams through the proxy."""

    FORWARD = "forward"
    BACKWARD = "backward"

    @property
    def opposite(self) -> Direction:
        """The opposite direction."""
        return Direction.BACKWARD if self is Direction.FORWARD else Direction.FORWARD


class RouteBehaviour(BehaviourTable):
    """The faults of one route."""

    # One-way delay. A new TCP connection is also delayed by the round trip of its handshake.
    delay_ms: float = Field(default=0.0, ge=0)
    # UDP: the share of datagrams that are lost. TCP: the share of new connections that are reset;
    # at 1 the route does not listen and connections are refused.
    drop: float = Field(default=0.0, ge=0, le=1)
    # Discard all data in this direction, without an error.
    cut: Literal["both", "forward", "backward"] | None = None
    # Discard all data between clients at these IP addresses and the target, in both directions.
    cut_sources: tuple[str, ...] = ()
    # Hold all data back until unset; then deliver it in order and without loss.
    freeze: bool = False
    # Number of next answers that are discarded, each with its connection closed at both ends.
    lose_response: int = Field(default=0, ge=0)
    # Act once, at the call: silence the open TCP connections permanently, or close them.
    silence_existing: bool = False
    close_existing: bool = False

    @property
    def delay_s(self) -> float:
        """The one-way delay in seconds."""
        return self.delay_ms / 1000

    def discards(self, direction: Direction, source: str) -> bool:
        """Return whether data in this direction, of a client at this IP address, is discarded."""
        return self.cut in ("both", direction.value) or source in self.cut_sources


class _PendingAction(NamedTuple):
    """A pending action of a delay line."""

    run_at: float
    action: Callable[[], None]


class DelayLine:
    """Run actions in the order of arrival, each after its delay and none while frozen."""

    # The pending actions in order; a later one never overtakes, even with a shorter delay.
    _pending: deque[_PendingAction]
    # The timer of the first pending action.
    _timer: asyncio.TimerHandle | None
    _is_frozen: bool

    def __init__(self, frozen: bool) -> None:
        self._pending = deque()
        self._timer = None
        self._is_frozen = frozen

    def __len__(self) -> int:
        """Return the number of pending actions."""
        return len(self._pending)

    def push(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run the action after the delay, or at once without a delay and earlier actions."""
        if delay_s <= 0 and not self._pending and not self._is_frozen:
            action()
            return
        self._pending.append(_PendingAction(asyncio.get_running_loop().time() + delay_s, action))
        self._start_timer()

    def set_frozen(self, frozen: bool) -> None:
        """Hold all actions back, or resume them."""
        self._is_frozen = frozen
        if frozen:
            self._stop_timer()
        else:
            self._start_timer()

    def clear(self) -> None:
        """Drop all pending actions."""
        self._pending.clear()
        self._stop_timer()

    def _start_timer(self) -> None:
        if self._timer is None and self._pending and not self._is_frozen:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._pending[0].run_at - HALF_TICK_S, self._run_ready)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run_ready(self) -> None:
        self._timer = None
        now = asyncio.get_running_loop().time() + HALF_TICK_S
        while self._pending and self._pending[0].run_at <= now and not self._is_frozen:
            self._pending.popleft().action()
        self._start_timer()
