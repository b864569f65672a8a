"""The faults of one proxy route, and the line that delays what passes in one direction.

Forward is from the one who connects to the target; backward is the other way.
"""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

from pydantic import Field

from turmericweir_standins.behaviour import BehaviourTable

# The event loop waits in whole milliseconds and rounds up, so that a timer fires half a tick late
# on average. Timers are set that much early, or a delay of 1.5 ms would come out nearer to 2 ms.
HALF_TICK_S: Final = 0.0005


class Direction(enum.Enum):
    """Which way bytes or datagrams go through the proxy."""

    FORWARD = "forward"
    BACKWARD = "backward"

    @property
    def opposite(self) -> Direction:
        """The other way."""
        return Direction.BACKWARD if self is Direction.FORWARD else Direction.FORWARD


class RouteBehaviour(BehaviourTable):
    """The faults of one route."""

    # One-way delay. A new TCP connection is delayed by the round trip of its handshake, too.
    delay_ms: float = Field(default=0.0, ge=0)
    # UDP: the share of datagrams that are lost. TCP: the share of new connections that are reset;
    # at 1 the route does not listen, so that connecting itself is refused.
    drop: float = Field(default=0.0, ge=0, le=1)
    # Swallow silently what goes this way.
    cut: Literal["both", "forward", "backward"] | None = None
    # Swallow silently, both ways, what passes between senders at these IPs and the target.
    cut_sources: tuple[str, ...] = ()
    # Hold everything back until unset; then it moves on, in order and with nothing lost.
    freeze: bool = False
    # How many of the next answers are swallowed, each with its connection closed at both ends.
    lose_response: int = Field(default=0, ge=0)
    # Act once, at the call: the TCP connections of that moment go silent for good, or are closed.
    silence_existing: bool = False
    close_existing: bool = False

    @property
    def delay_s(self) -> float:
        """The one-way delay in seconds."""
        return self.delay_ms / 1000

    def cuts(self, direction: Direction, source: str) -> bool:
        """Tell whether what goes this way, from or to a sender at this IP, is swallowed."""
        return self.cut in ("both", direction.value) or source in self.cut_sources


class _Held(NamedTuple):
    """An action that waits in a delay line."""

    due: float
    action: Callable[[], None]


class DelayLine:
    """Run actions in the order in which they came, each after its delay and none while frozen."""

    # The actions that wait, in order; a later one never overtakes, even with a shorter delay.
    _held: deque[_Held]
    # The timer of the first one.
    _timer: asyncio.TimerHandle | None
    _frozen: bool

    def __init__(self, frozen: bool) -> None:
        self._held = deque()
        self._timer = None
        self._frozen = frozen

    def __len__(self) -> int:
        """Return the number of actions that wait."""
        return len(self._held)

    def push(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run the action after the delay, or at once when nothing holds it back."""
        if delay_s <= 0 and not self._held and not self._frozen:
            action()
            return
        self._held.append(_Held(asyncio.get_running_loop().time() + delay_s, action))
        self._arm()

    def set_frozen(self, frozen: bool) -> None:
        """Hold all actions back, or let them go on."""
        self._frozen = frozen
        if frozen:
            self._disarm()
        else:
            self._arm()

    def clear(self) -> None:
        """Drop all actions that wait."""
        self._held.clear()
        self._disarm()

    def _arm(self) -> None:
        if self._timer is None and self._held and not self._frozen:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._held[0].due - HALF_TICK_S, self._run_due)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run_due(self) -> None:
        self._timer = None
        now = asyncio.get_running_loop().time() + HALF_TICK_S
        while self._held and self._held[0].due <= now and not self._frozen:
            self._held.popleft().action()
        self._arm()
