"""Faults of the soak test in which servers state in their answers what they accept.

Servers name limits, announce that they leave, and ask for pauses, beside faults of the store and of
servers. Servers cannot tell instances apart, so instances are not stopped here and all requests
count; `tests/core/membership/test_notice_soak.py` adds trouble of instances.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final, Self

from tests.core.server_fleet import STABLE_S, allowed, busiest_window
from tests.platform.soak import DRAIN_S, SLACK_S, Soak, Span

LIMITS: Final = ("0", "0.5", "2", "6")


@dataclass(slots=True)
class LimitSpan:
    """A period in which a server named one limit."""

    span: Span
    limit_s: float


@dataclass(slots=True)
class NoticeSoak(Soak):
    """A soak whose servers make statements."""

    limits: list[LimitSpan] = field(default_factory=list)
    announced: list[Span] = field(default_factory=list)

    def faults(self) -> Sequence[Callable[[Self], None]]:
        """Return the faults of which one is drawn at a time."""
        return NOTICE_FAULTS

    def name_limit(self) -> None:
        """Make a server name a limit for some time."""
        name = self._pick_calm_server()
        if name is None:
            return
        server = self.world.servers[name]
        server.limit = self.rng.choice(LIMITS)
        limit = LimitSpan(Span(name, time.monotonic()), float(server.limit))
        self.limits.append(limit)
        self._log(f"{name} names a limit of {server.limit}")

        def lift() -> None:
            server.limit = ""
            limit.span.end = time.monotonic()

        self._end_later(6.0, 9.0, lift)

    def announce_leaving(self) -> None:
        """Make a server announce that it leaves, and start again later under its name."""
        name = self._pick_calm_server()
        if name is None:
            return
        server = self.world.servers[name]
        server.is_leaving = True
        span = Span(name, time.monotonic())
        self.announced.append(span)
        self._log(f"{name} announces that it leaves")

        def start_again() -> None:
            span.end = time.monotonic()
            server.is_leaving = False
            self.world.register(name, born=time.time_ns() // 1_000_000)

        self._end_later(3.5, 5.0, start_again)

    def ask_for_pause(self) -> None:
        """Make a server refuse some requests and ask for a pause."""
        name = self.rng.choice(sorted(self.world.servers))
        self.world.servers[name].pause = self.rng.choice(("0.3", "1.5", "3"))
        self.world.set_mode("shed", name, request_count=self.rng.randint(1, 3))
        self._log(f"{name} asks for a pause")

    def leaving_servers(self) -> set[str]:
        """Return the names of the servers that are leaving now.

        Prevents a crash of a server that has announced its leaving: it would start again with a new
        incarnation, which each instance may have to learn about anew.
        """
        announced = {each.subject for each in self.announced if each.end == float("inf")}
        return Soak.leaving_servers(self) | announced

    def _pick_calm_server(self) -> str | None:
        """Return a server that makes no statement and is not leaving, if enough others are left."""
        busy = {each.span.subject for each in self.limits if each.span.end == float("inf")}
        busy |= self.leaving_servers()
        calm = sorted(set(self.world.servers) - busy - set(self.world.crashed_servers))
        return self.rng.choice(calm) if len(busy) < 3 and calm else None

    def violations(self) -> list[str]:
        """Return descriptions of all violated guarantees."""
        return [
            *Soak.violations(self),
            *self._limit_violations(),
            *self._leaving_violations(),
        ]

    def _limit_violations(self) -> Iterator[str]:
        for limit in self.limits:
            received = self.world.servers[limit.span.subject].received
            # A server names its limit in an answer, so the first request counts.
            first_at = min(
                (each.received_at for each in received if each.received_at >= limit.span.start),
                default=limit.span.end,
            )
            since = first_at + STABLE_S + SLACK_S
            times = [
                each.received_at for each in received if since <= each.received_at < limit.span.end
            ]
            got = busiest_window(times)
            if got > allowed(limit.limit_s):
                yield f"{limit} got {got} requests, allowed {allowed(limit.limit_s)}"

    def _leaving_violations(self) -> Iterator[str]:
        for span in self.announced:
            received = self.world.servers[span.subject].received
            passed_on_at = min(
                (each.received_at for each in received if each.received_at >= span.start),
                default=span.end,
            )
            late = [
                each
                for each in received
                if passed_on_at + DRAIN_S + SLACK_S < each.received_at < span.end and each.was_run
            ]
            # Each instance may have learned of it by its own first request only.
            if len(late) >= len(self.world.running):
                yield f"{span.subject} announced its leaving at {span.start:.2f} and got {late}"


NOTICE_FAULTS: Final[tuple[Callable[[NoticeSoak], None], ...]] = (
    NoticeSoak.disturb_store,
    NoticeSoak.change_settings,
    NoticeSoak.crash_server,
    NoticeSoak.make_server_misbehave,
    NoticeSoak.name_limit,
    NoticeSoak.name_limit,
    NoticeSoak.announce_leaving,
    NoticeSoak.ask_for_pause,
)
