"""Soak test in which requests that must run once meet trouble at every part of their way.

Paths to servers are cut, so that peers carry requests; these peers are killed, stopped and
suspended; servers refuse, repeat answers, and start again under their names at once, with or
without a new entry; and callers send requests ahead and break off.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, ClassVar, Final

from tests.platform.ahead_callers import AheadCaller, request_bytes
from tests.platform.platform_world import KEY
from tests.platform.soak import FAULTS, SentRequest
from tests.platform.soak_cuts import CutSoak

AHEAD_CALLERS: Final = 3
MODES: Final = ("copies", "refuse_once", "refuse_once", "shed", "misdirected", "lost")
STATUSES: Final = (400, 429, 503)
PATHS: Final = {
    "buy": "/shop/buy/",
    "doc": "/lm/doc/",
    "look": "/shop/look/",
    "chat": "/lm/chat/",
}
# In place of the error of a request that was sent ahead.
AHEAD: Final = "ahead"
# What such a caller sends behind its requests, besides nothing.
ENDINGS: Final = (b"", b"GET / HT", b"\0\0\r\n\r\n", b"POST /shop/buy/ HTTP/1.1\r\nHost")


@dataclass(slots=True)
class SecondRunSoak(CutSoak):
    """A soak whose faults meet requests between two sends."""

    engines: ClassVar[int] = 2
    has_unique_requests: ClassVar[bool] = True
    born: ClassVar[int | None] = 1_700_000_000_000

    def __post_init__(self) -> None:
        """Let connections carry several streams."""
        for server in self.world.servers.values():
            server.keeps_streams = True
            server.event_interval_s = 0.01 if server.is_streaming else 0.0

    def faults(self) -> Sequence[Callable[[Any], None]]:
        """Return the faults of which one is drawn at a time."""
        return SECOND_RUN_FAULTS

    def more_callers(self) -> list[Callable[[], None]]:
        """Return callers that send requests ahead."""
        return [partial(self.send_ahead, number) for number in range(AHEAD_CALLERS)]

    def inject_faults(self, seconds: float) -> None:
        """Inject faults, and let servers that have called requests misdirected start again."""
        CutSoak.inject_faults(self, seconds)
        for name in self.world.servers:
            self.world.set_mode("", name)
            self.world.register(name, born=time.time_ns() // 1_000_000)

    def refuse_requests(self) -> None:
        """Make some servers refuse requests, or repeat their earlier answers."""
        servers = sorted(self.world.servers)
        for name in self.rng.sample(servers, self.rng.randint(1, len(servers))):
            self.world.servers[name].extra_status = self.rng.choice(STATUSES)
            self.world.set_mode(self.rng.choice(MODES), name, request_count=self.rng.randint(5, 30))

    def restart_at_once(self) -> None:
        """Restart a server under its name and address, with or without a new entry."""
        if self.world.crashed_servers:
            return
        name = self.rng.choice(sorted(set(self.world.servers) - self.leaving_servers()))
        born = time.time_ns() // 1_000_000
        self.world.crash_server(name)
        time.sleep(self.rng.choice((0.0, 0.02, 0.1)))
        if self.rng.random() < 0.5:
            self.world.restart_server(name, born)
        else:
            self.world.restart_unregistered(name, born)
        self._log(f"{name} starts again")

    def _was_stopped_gracefully(self, sent: SentRequest) -> bool:
        # What was sent ahead may be left unread, and its caller may have left.
        return sent.error != AHEAD and CutSoak._was_stopped_gracefully(self, sent)

    # --- callers that send ahead ---

    def send_ahead(self, number: int) -> None:
        """Send requests ahead until the soak is over."""
        rng = Random(1000 + number)
        while not self.stop_event.is_set():
            reachable = [name for name in self.world.running if name not in self.unavailable]
            if reachable:
                self._send_group(rng, rng.choice(reachable), f"a{number}")
            self.stop_event.wait(rng.uniform(0.0, 0.1))

    def _send_group(self, rng: Random, instance: str, prefix: str) -> None:
        group = []
        for _ in range(rng.randint(2, 5)):
            kind = rng.choice(("buy", "doc", "buy", "doc", "look", "chat"))
            request_id = f"{prefix}-{len(self.sent)}-{rng.random():.9f}"
            now = time.monotonic()
            group.append(SentRequest(request_id, kind, instance, KEY, now, now, error=AHEAD))
            self.sent.append(group[-1])
        try:
            with AheadCaller(self.world, instance) as caller:
                requests = [self._bytes_of(rng, each) for each in group]
                caller.send(*requests)
                caller.send_part(rng.choice(ENDINGS))
                if rng.random() < 0.2:
                    caller.end_sending()
                for sent in group[: rng.randint(1, 2 * len(group))]:
                    sent.answer = caller.read_answer()
                    if sent.answer is None:
                        return
        except OSError:
            return

    def _bytes_of(self, rng: Random, sent: SentRequest) -> bytes:
        path = f"{PATHS[sent.kind]}{sent.request_id}"
        if sent.kind == "look":
            return request_bytes(self.world, path, sent.request_id, method="GET", body=b"")
        is_chunked = rng.random() < 0.3
        data = request_bytes(self.world, path, sent.request_id, chunked=is_chunked)
        return data + b"X-Trailer: a\r\n\r\n" if is_chunked else data


SECOND_RUN_FAULTS: Final[tuple[Callable[[SecondRunSoak], None], ...]] = (
    *FAULTS,
    *[SecondRunSoak.cut_paths] * 4,
    *[SecondRunSoak.refuse_requests] * 10,
    *[SecondRunSoak.restart_at_once] * 4,
    SecondRunSoak.kill_instance,
    SecondRunSoak.freeze_instance,
)
