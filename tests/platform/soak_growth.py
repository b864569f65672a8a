"""Soak test of one process that runs through all trouble, and of how it grows.

`python -m tests.platform.soak --growth --seeds 1-1 --seconds 1200` prints the size, the open
descriptors and the length of the state of the first instance; the others are killed, stopped and
suspended around it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar, Final

from tests.platform.client_crowd import Crowd, Sent, open_descriptors
from tests.platform.platform_world import KEY, PlatformWorld, call
from tests.platform.slow_callers import SlowCaller
from tests.platform.soak import FAULTS, SECOND_KEY, Soak

MEMORY_MB: Final = 300
# What `docs/operators/bounds.md` states of the memory limit.
MEMORY_SHARE: Final = 0.8
INSTANCE: Final = "entry-1"
SAMPLE_S: Final = 10.0
CALLER_PAUSE_MAX_S: Final = 0.5
CROWD_CLIENTS: Final = 40
CROWD_BYTES: Final = 100_000
ROUTES: Final = 500
# Runs of faults for which the records of the test are kept, so that it does not grow itself.
RECORDS_KEPT: Final = 2_000


@dataclass(slots=True)
class GrowthWorld(PlatformWorld):
    """A world with the memory limit of a machine."""

    machine: dict[str, Any] = field(default_factory=lambda: {"memory_mb": MEMORY_MB})


@dataclass(frozen=True, slots=True)
class Sample:
    """What the process uses at a time."""

    at_s: float
    resident_bytes: int
    peak_bytes: int
    descriptors: int
    state_bytes: int


@dataclass(slots=True)
class GrowthSoak(Soak):
    """A soak in which the first instance is never ended."""

    world_class: ClassVar[type[PlatformWorld]] = GrowthWorld

    samples: list[Sample] = field(default_factory=list)

    def faults(self) -> Sequence[Callable[[GrowthSoak], None]]:
        """Return the faults of which one is drawn at a time."""
        return GROWTH_FAULTS

    def call_until_over(self, number: int, max_pause_s: float = 0.0) -> None:
        """Send requests at a modest rate until the soak is over."""
        Soak.call_until_over(self, number, max(max_pause_s, CALLER_PAUSE_MAX_S))

    def _pick_instance(self) -> str | None:
        names = [name for name in sorted(self.world.running) if name not in self.unavailable]
        others = [name for name in names if name != INSTANCE]
        return self.rng.choice(others) if others else None

    def more_callers(self) -> list[Callable[[], None]]:
        """Return what samples the process until the soak is over."""
        return [self._sample_until_over]

    def _sample_until_over(self) -> None:
        begun_at = time.monotonic()
        while not self.stop_event.wait(SAMPLE_S):
            with suppress(OSError):
                self.samples.append(self._sample(time.monotonic() - begun_at))
                print(self.samples[-1], flush=True)

    def _sample(self, at_s: float) -> Sample:
        process = self.world.running[INSTANCE].process
        fields = Path(f"/proc/{process.pid}/status").read_bytes().split()
        size, peak = (1024 * int(fields[fields.index(name) + 1]) for name in (b"VmRSS:", b"VmHWM:"))
        state = call(self._address("admin"), "GET", "/state").body
        return Sample(at_s, size, peak, open_descriptors(process), len(state))

    def _address(self, port: str) -> str:
        return self.world.instance_address(INSTANCE, port)

    def gather_crowd(self) -> None:
        """Let clients that do not behave meet a port."""
        port = self.rng.choice(("caller", "readiness", "admin"))
        sent = self.rng.choice(
            (
                Sent(b"GET / HTTP/1.1\r\n", b"a:\r\n", CROWD_BYTES),
                Sent(b"", b"GET /state HTTP/1.1\r\n\r\n", CROWD_BYTES),
                Sent(b"GET / HTTP/1.1\r\n"),
            )
        )
        self._log(f"a crowd at {port}")
        with Crowd(self._address(port), CROWD_CLIENTS, sent) as crowd:
            time.sleep(self.rng.uniform(0.1, 1.0))
            self._log(f"{crowd.open_count} of the crowd were open")

    def read_slowly(self) -> None:
        """Let callers leave before they have read their answers."""
        for path in ("/shop/buy/", "/lm/doc/"):
            with suppress(OSError), SlowCaller(self.world, path, b"x" * 90_000):
                time.sleep(self.rng.uniform(0.0, 0.2))

    def publish_many_routes(self) -> None:
        """Publish settings with many routes, and others, in quick succession."""
        first = self.rng.randrange(10 * ROUTES)
        is_revoked = any(each.end == float("inf") for each in self.revoked)
        keys = [KEY] if is_revoked else [KEY, SECOND_KEY]
        tenants = [{"name": "school", "api-keys": keys, "priority": 1}]
        for number in range(3):
            self.world.publish_more_routes(ROUTES, first + number, tenants=tenants)

    def forget_records(self) -> None:
        """Forget what the test has recorded so far, so that only the process can grow."""
        del self.sent[:-RECORDS_KEPT], self.event_log[:-RECORDS_KEPT]
        for server in self.world.servers.values():
            del server.received[:-RECORDS_KEPT]

    def violations(self) -> list[str]:
        """Return what was violated, a peak above the memory's share among it."""
        peak = max((each.peak_bytes for each in self.samples), default=0)
        violations = Soak.violations(self)
        for line in self.world.running[INSTANCE].logged("slow_step"):
            print(line, flush=True)
        if not self.world.running[INSTANCE].process.is_running:
            violations.append(f"{INSTANCE} has ended by itself")
        if peak > MEMORY_SHARE * MEMORY_MB * 1_000_000:
            violations.append(f"{INSTANCE} used {peak} bytes")
        return violations


GROWTH_FAULTS: Final = (
    *FAULTS,
    GrowthSoak.gather_crowd,
    GrowthSoak.read_slowly,
    GrowthSoak.publish_many_routes,
    GrowthSoak.forget_records,
)
