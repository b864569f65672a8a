"""Interpret the commands of `cases/lifecycle.test`: one instance, some servers and requests.

- `servers N [plain]`: N servers from s0 on, with room for one request each.
- `arrive NAME [once] [deadline=S]`: a caller sends a request; `once` makes it non-repeatable.
- `sent NAME`, `tokens NAME N`: the first byte of the attempt was sent; tokens arrived.
- `end NAME HOW`: the attempt ended; see `_ENDS` for HOW.
- `late NAME HOW`: a stale end of the request's first attempt arrives.
- `leave NAME`: the caller closed its connection. `wait S`: time passes. `up SERVER`: it reports.
- `budget N`: N retries are left.

The instance's actions are printed with an indent of two spaces.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from turmericweir_core.base.config import Config, ServerEntry, Service, ServiceClass, ServiceKind
from turmericweir_core.base.ids import InstanceName, RequestId, ServerName, Target, make_attempt_id
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import (
    CancelAttempt,
    Effect,
    FinishRequest,
    ProbeServer,
    StartAttempt,
)
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    CallerLeft,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndRefused,
    EndServerError,
    EndUnsendable,
    EndUnsent,
    Event,
    RequestArrived,
    ServerReport,
    Tick,
)
from turmericweir_core.reducers.reducer import new_state, reduce
from turmericweir_core.state.server_table import rebuild_table
from turmericweir_core.state.state import Identity, State

TARGET: Final = Target("lm")
CLASS: Final = ServiceClass("quick", 0, target_s=0.5, deadline_s=60.0)
# Without slack slots, a server takes one request.
OPTIONS: Final = Options(slack_slots=0)

_ENDS: Final[dict[str, AttemptEnd]] = {
    "complete": EndComplete(200),
    "refused": EndRefused(503, leaving=False),
    "leaving": EndRefused(503, leaving=True),
    "unidentified": EndRefused(503, leaving=True, is_identified=False),
    "unsent": EndUnsent("connect failed"),
    "unsendable": EndUnsendable("header x"),
    "broken": EndBroken("reset", server_alive=True),
    "broken_for_good": EndBroken("reset", server_alive=True, is_final=True),
    "crashed": EndBroken("reset", server_alive=False),
    "error": EndServerError(500),
    "cancelled": EndCancelled(0),
}


class LifecycleScript:
    """Run the lines of a case."""

    def __init__(self) -> None:
        self.now = 100.0
        self.kind = ServiceKind.MODEL
        self.state = make_state(ServiceKind.MODEL, 1)
        self.out: list[str] = []
        self._seq = 0

    def run(self, lines: list[str]) -> list[str]:
        """Run all lines and return what was printed."""
        for line in lines:
            word, *rest = line.split()
            self.out.append(line)
            self._command(word)(rest)
        return self.out

    def _command(self, word: str) -> Callable[[list[str]], None]:
        handler: Callable[[list[str]], None] = getattr(self, f"_do_{word}")
        return handler

    def _event(self, event: Event) -> None:
        self._print(reduce(self.state, self.now, event))

    def _print(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartAttempt():
                    fresh = ""
                    if effect.needs_new_connection:
                        fresh = " fresh"
                    elif effect.needs_verified_connection:
                        fresh = " proven"
                    resume = f" from {effect.resume_from}" if effect.resume_from else ""
                    self.out.append(
                        f"  start {effect.attempt_id} on {effect.server}{resume}{fresh}"
                    )
                case CancelAttempt():
                    self.out.append(f"  cancel {effect.attempt_id} {effect.reason}")
                case FinishRequest(account):
                    self.out.append(f"  {account.request_id} {account.outcome} {account.reason}")
                case ProbeServer(server, _) if self._is_for_suspicion(effects):
                    self.out.append(f"  probe {server}")
                case _:
                    pass

    @staticmethod
    def _is_for_suspicion(effects: list[Effect]) -> bool:
        """Return whether a probe is for a suspected connection, and not a regular one."""
        return any(isinstance(each, CancelAttempt) for each in effects)

    # --- commands --------------------------------------------------------------------------

    def _do_servers(self, words: list[str]) -> None:
        self.kind = ServiceKind.PLAIN if "plain" in words else ServiceKind.MODEL
        self.state = make_state(self.kind, int(words[0]))

    def _do_arrive(self, words: list[str]) -> None:
        deadline_s = CLASS.deadline_s
        for word in words[1:]:
            if word.startswith("deadline="):
                deadline_s = float(word.partition("=")[2])
        req = Request(
            request_id=RequestId(words[0]),
            kind=self.kind,
            target=TARGET,
            customer="dunes",
            team="",
            service_class=CLASS,
            arrived_at=self.now,
            deadline=self.now + deadline_s,
            repeatable="once" not in words,
            fingerprint=words[0],
        )
        self._event(RequestArrived(req))

    def _do_sent(self, words: list[str]) -> None:
        req = self.state.requests[RequestId(words[0])]
        assert req.attempt is not None
        self._event(AttemptSent(req.request_id, req.attempt.attempt_id))

    def _do_tokens(self, words: list[str]) -> None:
        req = self.state.requests[RequestId(words[0])]
        assert req.attempt is not None
        self._event(AttemptProgress(req.request_id, req.attempt.attempt_id, int(words[1])))

    def _do_end(self, words: list[str]) -> None:
        req = self.state.requests[RequestId(words[0])]
        assert req.attempt is not None
        self._event(AttemptEnded(req.request_id, req.attempt.attempt_id, _ENDS[words[1]]))

    def _do_late(self, words: list[str]) -> None:
        name = RequestId(words[0])
        self._event(AttemptEnded(name, make_attempt_id(name, 0), _ENDS[words[1]]))

    def _do_leave(self, words: list[str]) -> None:
        self._event(CallerLeft(RequestId(words[0])))

    def _do_wait(self, words: list[str]) -> None:
        until = self.now + float(words[0])
        while self.now < until - 1e-9:
            self.now += OPTIONS.tick_s
            self._event(Tick())

    def _do_up(self, words: list[str]) -> None:
        self._seq += 1
        models = (str(TARGET),) if self.kind is ServiceKind.MODEL else ()
        name = ServerName(words[0])
        self._event(ServerReport(name, "2", self._seq, 0, 0, slots=1, models=models))

    def _do_budget(self, words: list[str]) -> None:
        self.state.retries.tokens = float(words[0])


def make_state(kind: ServiceKind, servers: int) -> State:
    """Return the state of an instance with some servers."""
    models = (str(TARGET),) if kind is ServiceKind.MODEL else ()
    service = Service(str(TARGET), kind, models, slots=1)
    entries = [
        ServerEntry(ServerName(f"s{number}"), service.name, "dc", f"127.0.0.1:{number}", "1")
        for number in range(servers)
    ]
    identity = Identity(InstanceName("entry"), "dc", "home", "127.0.0.1:1", "1")
    state = new_state(identity, OPTIONS, seed=1)
    state.config = Config(
        classes={CLASS.name: CLASS},
        services={service.name: service},
        service_by_target={TARGET: service},
        servers={entry.name: entry for entry in entries},
    )
    state.settings.config = state.config
    state.settings.has_been_complete = True
    state.has_settings = True
    rebuild_table(state.servers, state.config)
    return state
