"""Count what is held for callers, and cut off those that do not read.

A caller's connection is tracked from its request's body until the answer has been sent, so that a
caller that reads nothing of a complete answer counts as well. Connections without a request, of all
ports, are tracked while something is held for them. Those that read nothing for some
seconds while something waits for them are cut off; so are others when the memory is short
(`process.memory_budget`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final, Protocol

import anyio

from turmericweir.process import logs
from turmericweir.process.memory_budget import (
    SMALL_BODY_BYTES,
    Holder,
    choose_cut_off,
    release_free_memory,
    resident_size,
)
from turmericweir.process.node import Node

# What is held is also counted when much was read (`MemoryBudget.add`).
_CHECK_INTERVAL_S: Final = 1.0
_SHORT_CHECK_INTERVAL_S: Final = 0.1
_RELEASE_INTERVAL_S: Final = 1.0
# A request is refused only by a count that is at most this old.
_COUNT_AGE_S: Final = 0.05
# How long room is kept for the rest of a body of which nothing arrives.
_AWAITED_S: Final = 5.0


class CallerChannel(Protocol):
    """The part of a caller's connection that is used here."""

    @property
    def unread_bytes(self) -> int:
        """The number of bytes held of what was received: not parsed, not read yet, or headers."""

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that were written and wait for the caller to read."""

    @property
    def sent_bytes(self) -> int:
        """The number of bytes that were passed to the network."""

    def expect_body(self, body_bytes: int) -> None:
        """Prepare to receive a body that was admitted."""

    def reset_connection(self) -> None:
        """Reset the connection."""


class HoldingJob(Protocol):
    """The part of a request's job that is used here."""

    @property
    def held_bytes(self) -> int:
        """The number of bytes held for the request and its answer."""


class TrackedCaller:
    """What is held for one caller's connection."""

    __slots__ = (
        "_announced_bytes",
        "_awaited_until",
        "body_bytes",
        "channel",
        "is_running",
        "job",
        "request_id",
        "sent_at",
        "sent_bytes",
        "since",
    )

    channel: CallerChannel
    request_id: str
    since: float
    # Whether a request runs on the connection.
    is_running: bool
    # Bytes of the request's body, until there is a job that counts them.
    body_bytes: int
    # The length of a body for which there is room, and until when the room is kept.
    _announced_bytes: int
    _awaited_until: float
    job: HoldingJob | None
    # What the caller had read at the last change, and when that was.
    sent_bytes: int
    sent_at: float

    def __init__(self, channel: CallerChannel, request_id: str, now: float) -> None:
        self.channel = channel
        self.request_id = request_id
        self.since = now
        self.is_running = True
        self.body_bytes = 0
        self._announced_bytes = 0
        self._awaited_until = now
        self.job = None
        self.sent_bytes = 0
        self.sent_at = now

    @property
    def held_bytes(self) -> int:
        """The number of bytes held for the connection."""
        held_bytes = self.body_bytes if self.job is None else self.job.held_bytes
        return held_bytes + self.channel.unread_bytes + self.channel.unsent_bytes

    def keep_room(self, body_bytes: int, now: float) -> None:
        """Keep room for a body that will arrive."""
        self._announced_bytes = body_bytes
        self._awaited_until = now + _AWAITED_S

    def add_body(self, size: int, now: float) -> None:
        """Count a part of the body."""
        self.body_bytes += size
        self._awaited_until = now + _AWAITED_S

    def has_room(self, now: float) -> bool:
        """Return whether room is kept for what will arrive of the body."""
        return self._announced_bytes > 0 and now < self._awaited_until

    def awaited_bytes(self, now: float) -> int:
        """Return the number of bytes for which room is kept."""
        return self._announced_bytes - self.body_bytes if self.has_room(now) else 0

    def unread_s(self, now: float) -> float:
        """Return for how long the caller has read nothing of what waits for it."""
        sent_bytes = self.channel.sent_bytes
        if sent_bytes != self.sent_bytes or not self.channel.unsent_bytes:
            self.sent_bytes = sent_bytes
            self.sent_at = now
        return now - self.sent_at


class CallerMemory:
    """Tracks the callers for which memory is held."""

    _node: Node
    # Time after which a caller that reads nothing is cut off.
    _unread_max_s: float
    _tracked: dict[CallerChannel, TrackedCaller]
    # Those whose bodies are being read.
    _receiving: set[TrackedCaller]
    _counted_at: float
    # When free memory may be returned again while much is held.
    _next_release_at: float
    # Returns all connections, also those without a request.
    _connections: Callable[[], Iterable[CallerChannel]]

    def __init__(
        self,
        node: Node,
        unread_max_s: float,
        connections: Callable[[], Iterable[CallerChannel]] = lambda: (),
    ) -> None:
        self._node = node
        self._connections = connections
        self._unread_max_s = unread_max_s
        self._tracked = {}
        self._receiving = set()
        self._counted_at = 0.0
        self._next_release_at = 0.0
        node.memory.recount = self.count

    def admit(self, tracked: TrackedCaller, body_bytes: int | None) -> bool:
        """Return whether a request's body may be read, and keep room for it; None if unknown."""
        now = anyio.current_time()
        size = body_bytes or 0
        if not self._fits(size, now) and not (self._count_again(now) and self._fits(size, now)):
            return False
        if body_bytes:
            tracked.keep_room(body_bytes, now)
            self._receiving.add(tracked)
        if body_bytes != 0:
            tracked.channel.expect_body(SMALL_BODY_BYTES if body_bytes is None else body_bytes)
        return True

    def can_hold_headers(self, size: int) -> bool:
        """Return whether large headers may be parsed and held."""
        budget = self._node.memory
        if budget.fits_headers(size):
            return True
        return self._count_again(anyio.current_time()) and budget.fits_headers(size)

    def add_body(self, tracked: TrackedCaller, size: int) -> bool:
        """Count a part of a body; return False if no more of it may be read."""
        now = anyio.current_time()
        budget = self._node.memory
        if budget.is_short and not tracked.has_room(now):
            self._count_again(now)
            if budget.is_short:
                return False
        tracked.add_body(size, now)
        return True

    def _fits(self, body_bytes: int, now: float) -> bool:
        awaited_bytes = sum(each.awaited_bytes(now) for each in self._receiving)
        return self._node.memory.fits(body_bytes, awaited_bytes)

    def _count_again(self, now: float) -> bool:
        """Count what is held if the last count is old; return whether it was.

        Prevents refusals for what has been passed on or freed since.
        """
        if now - self._counted_at < _COUNT_AGE_S:
            return False
        self.count()
        return True

    def end_body(self, tracked: TrackedCaller) -> None:
        """Record that nothing more of a body is read."""
        self._receiving.discard(tracked)

    def track(self, channel: CallerChannel, request_id: str) -> TrackedCaller:
        """Track a connection on which a request begins."""
        tracked = TrackedCaller(channel, request_id, anyio.current_time())
        self._tracked[channel] = tracked
        return tracked

    def end_request(self, tracked: TrackedCaller) -> None:
        """Record that the request has ended; the connection is tracked until all is sent."""
        tracked.is_running = False
        tracked.body_bytes = 0
        tracked.job = None
        if not tracked.channel.unsent_bytes:
            self._forget(tracked)

    async def check_forever(self) -> None:
        """Check all callers at intervals."""
        while True:
            is_short = self._node.memory.is_short
            await anyio.sleep(_SHORT_CHECK_INTERVAL_S if is_short else _CHECK_INTERVAL_S)
            self.count()

    def count(self) -> None:
        """Count what is held now, and cut off callers if that is too much."""
        self.check(anyio.current_time(), resident_size())
        budget = self._node.memory
        if budget.can_release:
            release_free_memory()
            budget.note_released(resident_size())
        elif budget.is_oversized and self._counted_at >= self._next_release_at:
            # Others are held up for as long, so it is not done at each count.
            self._next_release_at = self._counted_at + _RELEASE_INTERVAL_S
            release_free_memory()
            budget.resident_bytes = resident_size()

    def check(self, now: float, resident_bytes: int) -> None:
        """Cut off callers that do not read, and others if the memory is short."""
        self._counted_at = now
        for tracked in list(self._tracked.values()):
            if not tracked.is_running and not tracked.channel.unsent_bytes:
                self._forget(tracked)
            elif tracked.unread_s(now) > self._unread_max_s:
                self._cut_off(tracked, "unread", now)
        self._track_idle(now)
        budget = self._node.memory
        budget.update(sum(each.held_bytes for each in self._tracked.values()), resident_bytes)
        if budget.excess_bytes:
            self._cut_off_excess(now, budget.excess_bytes)

    def _track_idle(self, now: float) -> None:
        """Track connections without a request for which something is held."""
        for channel in self._connections():
            if channel not in self._tracked and (channel.unread_bytes or channel.unsent_bytes):
                tracked = TrackedCaller(channel, "", now)
                tracked.is_running = False
                self._tracked[channel] = tracked

    def _cut_off_excess(self, now: float, excess_bytes: int) -> None:
        holders = [
            Holder(each, each.held_bytes, each.since, is_unread=bool(each.channel.unsent_bytes))
            for each in self._tracked.values()
        ]
        for holder in choose_cut_off(holders, excess_bytes):
            self._cut_off(holder.key, "memory", now)

    def _forget(self, tracked: TrackedCaller) -> None:
        # A later request on the same connection has its own entry.
        if self._tracked.get(tracked.channel) is tracked:
            del self._tracked[tracked.channel]

    def _cut_off(self, tracked: TrackedCaller, reason: str, now: float) -> None:
        self._node.count(f"caller.cut_off.{reason}")
        logs.write(
            "caller_cut_off",
            request_id=tracked.request_id,
            reason=reason,
            held_bytes=tracked.held_bytes,
            unread_ms=round(1000 * tracked.unread_s(now)),
            age_ms=round(1000 * (now - tracked.since)),
        )
        tracked.channel.reset_connection()
        self._forget(tracked)
