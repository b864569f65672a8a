"""Soak test in which servers exit in answers without a length, and send refusals for nobody.

A server that exits closes its connections normally, its port with them, and starts again under its
name. An extra refusal comes where the answer to the next request on a connection is due.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import ClassVar, Final

from tests.platform.soak import FAULTS, Soak
from tests.platform.standin_answers import AnswerForm, Break, Framing

EXTRA_STATUSES: Final = (400, 421, 429, 503)
_HALF: Final = AnswerForm(Framing.CONNECTION_END, Break.AFTER_PART)
_WHOLE: Final = AnswerForm(Framing.CONNECTION_END)


@dataclass(slots=True)
class EndSoak(Soak):
    """A soak whose faults include exits within answers, and refusals that name no request."""

    has_unique_requests: ClassVar[bool] = True
    born: ClassVar[int | None] = 1_700_000_000_000

    def __post_init__(self) -> None:
        """Let connections carry several streams."""
        for server in self.world.servers.values():
            server.keeps_streams = True

    def faults(self) -> Sequence[Callable[[EndSoak], None]]:
        """Return the faults of which one is drawn at a time."""
        return END_FAULTS

    def exit_in_answer(self) -> None:
        """Make a server exit when it has sent half an answer, among whole ones."""
        name = self.rng.choice(sorted(self.world.servers))
        if name in self.world.crashed_servers or name in self.leaving_servers():
            return
        self.world.exit_in_answer(name, self.rng.uniform(0.02, 1.5))
        forms = [_WHOLE] * self.rng.randint(0, 3)
        self.world.servers[name].forms = [*forms, _HALF]
        self._log(f"{name} exits in an answer")

    def send_extra_refusals(self) -> None:
        """Make a server send refusals that are meant for no request."""
        name = self.rng.choice(sorted(self.world.servers))
        self.world.servers[name].extra_status = self.rng.choice(EXTRA_STATUSES)
        self.world.set_mode("extra_refusal", name, request_count=self.rng.randint(1, 8))
        self._log(f"{name} sends extra refusals")


END_FAULTS: Final[tuple[Callable[[EndSoak], None], ...]] = (
    *FAULTS,
    EndSoak.exit_in_answer,
    EndSoak.exit_in_answer,
    EndSoak.exit_in_answer,
    EndSoak.exit_in_answer,
    EndSoak.send_extra_refusals,
    EndSoak.send_extra_refusals,
    EndSoak.send_extra_refusals,
)
