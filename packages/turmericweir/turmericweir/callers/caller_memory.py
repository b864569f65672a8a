"""Count what is held for callers, and cut off those that do not read.

A caller's connection is tracked from its request's body until the answer has been sent, so that a
caller that reads nothing of a complete answer counts as well. Those that read nothing for some
seconds while something waits for them are cut off; so are others when the memory is short
(`process.memory_budget`).
"""

from __future__ import annotations

from math import inf
from typing import Final, Protocol

import anyio

from turmericweir.process import logs
from turmericweir.process.memory_budget import Holder, choose_cut_off, resident_size
from turmericweir.process.node import Node

_CHECK_INTERVAL_S: Final = 0.1
# Interval between reads of the size of the process, which each take some system calls.
_RESIDENT_INTERVAL_S: Final = 1.0


class CallerChannel(Protocol):
    """The part of a caller's connection that is used here."""

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that were written and wait for the caller to read."""

    @property
    def sent_bytes(self) -> int:
        """The number of bytes that were passed to the network."""

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
        self.job = None
        self.sent_bytes = 0
        self.sent_at = now

    @property
    def held_bytes(self) -> int:
        """The number of bytes held for the connection."""
        held_bytes = self.body_bytes if self.job is None else self.job.held_bytes
        return held_bytes + self.channel.unsent_bytes

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

    def __init__(self, node: Node, unread_max_s: float) -> None:
        self._node = node
        self._unread_max_s = unread_max_s
        self._tracked = {}

    @property
    def is_short(self) -> bool:
        """Whether no new requests should be taken."""
        return self._node.memory.is_short

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
        resident_bytes, next_read_at = 0, -inf
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            now = anyio.current_time()
            if now >= next_read_at:
                resident_bytes, next_read_at = resident_size(), now + _RESIDENT_INTERVAL_S
            self.check(now, resident_bytes)

    def check(self, now: float, resident_bytes: int) -> None:
        """Cut off callers that do not read, and others if the memory is short."""
        for tracked in list(self._tracked.values()):
            if not tracked.is_running and not tracked.channel.unsent_bytes:
                self._forget(tracked)
            elif tracked.unread_s(now) > self._unread_max_s:
                self._cut_off(tracked, "unread", now)
        budget = self._node.memory
        budget.update(sum(each.held_bytes for each in self._tracked.values()), resident_bytes)
        if budget.excess_bytes:
            self._cut_off_excess(now, budget.excess_bytes)

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
