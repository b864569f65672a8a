"""Soak test in which servers send extra copies of answers to earlier arrivals of requests.

Half of the requests are refused, truly and with their IDs, so that many come to a server again;
copies of any earlier answer on a connection come where the next answer is due.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import ClassVar, Final

from tests.platform.soak import FAULTS, Soak

MODES: Final = ("copies", "copies", "copies", "refuse_once", "error_once", "half_once")
STATUSES: Final = (400, 429, 503)
STREAM_MODES: Final = frozenset({"half_once"})


@dataclass(slots=True)
class RepeatSoak(Soak):
    """A soak whose faults include extra copies of earlier answers."""

    engines: ClassVar[int] = 2
    has_unique_requests: ClassVar[bool] = True
    born: ClassVar[int | None] = 1_700_000_000_000

    def __post_init__(self) -> None:
        """Let connections carry several streams."""
        for server in self.world.servers.values():
            server.keeps_streams = True

    def faults(self) -> Sequence[Callable[[RepeatSoak], None]]:
        """Return the faults of which one is drawn at a time."""
        return REPEAT_FAULTS

    def copy_answers(self) -> None:
        """Make servers refuse requests and copy their earlier answers."""
        mode, status = self.rng.choice(MODES), self.rng.choice(STATUSES)
        for name, server in self.world.servers.items():
            if mode not in STREAM_MODES or server.is_streaming:
                server.extra_status = status
                self.world.set_mode(mode, name, request_count=self.rng.randint(10, 60))
        self._log(f"all servers: {mode} {status}")


REPEAT_FAULTS: Final[tuple[Callable[[RepeatSoak], None], ...]] = (
    *FAULTS,
    *[RepeatSoak.copy_answers] * 20,
)
