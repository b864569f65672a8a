"""Many instances before servers that fail requests, and the retries that the servers get."""

from __future__ import annotations

from msgspec.structs import replace

from tests.core.retry_count import Bounds, Window, repeats_of, worst_window
from tests.core.server_fleet import NETWORK_S, ServerFleet
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    EndComplete,
    EndRefused,
    EndServerError,
)

BOUNDS = Bounds()
_ANSWER_S = 0.1


class RetryFleet(ServerFleet):
    """Instances whose retries are limited together."""

    def __init__(self, servers: int = 4, *, seed: int = 1) -> None:
        super().__init__(servers, seed=seed)
        self.options = replace(
            self.options,
            retry_share=BOUNDS.ratio,
            retry_burst=BOUNDS.burst,
            retry_window_s=BOUNDS.window_s,
            retry_pay_all=True,
        )
        # The share of requests that servers fail, and of these the share that they refuse.
        self.failed_share = 0.0
        self.refused_share = 0.0
        # When requests reached a server, with their ids, and when callers sent them.
        self.arrived: list[tuple[float, str]] = []
        self.instances_of: list[str] = []

    def _run_attempt(self, name: str, start: StartAttempt) -> None:
        ids = (start.request_id, start.attempt_id)
        self.arrived.append((self.now + NETWORK_S, start.request_id))
        self.instances_of.append(name)
        self._push(self.now, name, AttemptSent(*ids))
        if self.rng.random() < self.failed_share:
            is_refused = self.rng.random() < self.refused_share
            end: AttemptEnd = EndRefused(503, False) if is_refused else EndServerError(500)
            self._push(self.now + 2 * NETWORK_S, name, AttemptEnded(*ids, end))
            return
        self._push(self.now + 2 * NETWORK_S, name, AttemptProgress(*ids, 1))
        self._push(self.now + _ANSWER_S, name, AttemptEnded(*ids, EndComplete(200)))

    def kill_and_start(self, names: list[str], incarnation: str) -> None:
        """Kill instances and start others in their places."""
        for name in names:
            self.restart(name, incarnation)

    def cut(self, *sides: list[str], from_store: bool) -> None:
        """Cut groups of instances off from each other, all but the first from the store too."""
        side_of = {name: number for number, side in enumerate(sides) for name in side}
        self.passes = lambda sender, receiver: side_of.get(sender) == side_of.get(receiver)
        if from_store:
            self.store.answers = lambda name: not side_of.get(name)

    def heal(self) -> None:
        """End all cuts."""
        self.passes = lambda sender, receiver: True
        self.store.answers = lambda name: True

    def worst_window(self, since: float = 0.0) -> Window:
        """Return the window in which the largest share of the allowed retries was made."""
        repeats = [at for at in repeats_of(self.arrived) if at >= since]
        return worst_window(self._sent_at.values(), repeats, BOUNDS)
