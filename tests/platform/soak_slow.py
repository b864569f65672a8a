"""Soak test in which the store and the servers are slow, and close kept connections unannounced.

The store is still slow, and closes connections, when all instances have to bring new settings into
force and to serve at the end.
"""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import ClassVar, Final

from tests.platform.platform_world import KEY, until
from tests.platform.soak import FAULTS, Soak, Span

NEW_KEY: Final = "key-3"

# Delays of answers of the store: about the first time limit of a read, and far beyond it.
STORE_DELAYS_S: Final = (0.5, 0.7, 0.8, 1.2, 2.0, 3.0)
LAST_STORE_DELAY_S: Final = 1.5
# How soon after its answer a connection is closed.
CLOSES_AFTER_S: Final = (0.001, 0.003, 0.01, 0.03)
CHECK_DELAYS_S: Final = (0.3, 0.7, 1.2)


@dataclass(slots=True)
class SlowSoak(Soak):
    """A soak whose faults include ends that are slow, and that close kept connections."""

    # Longer than the slowest answers of the store, which prove the keys.
    revoke_s: ClassVar[float] = 5.0

    def faults(self) -> Sequence[Callable[[SlowSoak], None]]:
        """Return the faults of which one is drawn at a time."""
        return SLOW_FAULTS

    def inject_faults(self, seconds: float) -> None:
        """Inject faults, and leave a store that is slow and closes its connections."""
        Soak.inject_faults(self, seconds)
        self.world.store.delay_s = LAST_STORE_DELAY_S
        self.world.store.closes_after_s = self.rng.choice(CLOSES_AFTER_S)
        self._log("the store stays slow")
        self.world.publish(tenants=[{"name": "school", "api-keys": [KEY, NEW_KEY], "priority": 1}])
        for name in self.world.running:
            try:
                until(partial(self._serves_new_key, name), f"{name} has the new key")
            except TimeoutError as exc:
                self.event_log.append(f"BROKEN {exc}")

    def _serves_new_key(self, name: str) -> bool:
        try:
            return self.world.send_safe(instance=name, X_Key=NEW_KEY).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def slow_down_store(self) -> None:
        """Make all answers of the store late."""
        store = self.world.store
        if store.mode or store.delay_s:
            return
        span = Span("store", time.monotonic())
        self.unchecked.append(span)
        store.delay_s = self.rng.choice(STORE_DELAYS_S)
        self._log(f"store {store.delay_s} s late")
        self._end_later(1.0, 6.0, lambda: self._restore_store(span))

    def close_store_connections(self) -> None:
        """Make the store close or reset its connections soon after an answer."""
        store = self.world.store
        store.closes_by_reset = self.rng.random() < 0.5
        store.answers_per_connection = self.rng.randint(1, 3)
        store.closes_after_s = self.rng.choice(CLOSES_AFTER_S)
        self._log(f"store closes after {store.closes_after_s} s")
        self._end_later(1.0, 6.0, self._keep_store_connections)

    def _keep_store_connections(self) -> None:
        self.world.store.closes_after_s = None

    def close_server_connections(self) -> None:
        """Make a server close its connections soon after a stream."""
        server = self.world.servers[self.rng.choice(sorted(self.world.servers))]
        server.closes_after_s = self.rng.choice((None, *CLOSES_AFTER_S))
        self._log(f"{server.name} closes after {server.closes_after_s} s")

    def slow_down_checks(self) -> None:
        """Make a server answer status checks and reports late."""
        server = self.world.servers[self.rng.choice(sorted(self.world.servers))]
        server.check_s = self.rng.choice((0.0, *CHECK_DELAYS_S))
        self._log(f"{server.name} answers checks {server.check_s} s late")


SLOW_FAULTS: Final[tuple[Callable[[SlowSoak], None], ...]] = (
    *FAULTS,
    *[SlowSoak.slow_down_store] * 4,
    *[SlowSoak.close_store_connections] * 4,
    *[SlowSoak.close_server_connections] * 3,
    *[SlowSoak.slow_down_checks] * 2,
)
