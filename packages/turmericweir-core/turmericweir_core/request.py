"""A request and its attempts, as the reducer tracks them from arrival to account."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from turmericweir_core.config import Kind, ServiceClass
from turmericweir_core.ids import AttemptId, RequestId, ServerName, Target


class CancelReason(StrEnum):
    """Why the reducer stopped an attempt."""

    CALLER_LEFT = "caller_left"
    # The deadline passed before the answer began.
    DEADLINE = "deadline"
    # Its connection, or its server, went silent.
    SILENT = "silent"
    # Work of a more urgent class needs its place.
    DISPLACED = "displaced"


class Phase(StrEnum):
    """Where a request stands."""

    # Waits for its idempotency key to be claimed.
    CLAIMING = "claiming"
    # Waits in the queue of its class, bound to no server.
    WAITING = "waiting"
    # An attempt is out.
    RUNNING = "running"
    # The account is given.
    DONE = "done"


@dataclass(slots=True)
class Attempt:
    """One try of a request on one server."""

    attempt_id: AttemptId
    server: ServerName
    started: float
    # Set just before the first byte goes out; until then the server cannot have begun.
    sent: bool = False
    # Tokens received in this attempt.
    tokens: int = 0
    first_token_at: float | None = None
    last_token_at: float | None = None
    # Why the reducer has ordered it to stop; its end is awaited.
    cancelled: CancelReason | None = None


@dataclass(slots=True)
class Request:
    """A request that this instance took from a caller."""

    request_id: RequestId
    kind: Kind
    # Model or plain service name.
    target: Target
    customer: str
    team: str
    service_class: ServiceClass
    arrived: float
    # Time after which an answer that has not begun is useless to the caller.
    deadline: float
    # May be run again without harm. Model calls are; plain calls as their service says.
    repeatable: bool = True
    idempotency_key: str | None = None
    # Hash over what decides whether the request crashes a server: target and body.
    fingerprint: str = ""
    # Hashes of ever longer prefixes of the prompt, shortest first.
    prefixes: tuple[str, ...] = ()
    prompt_tokens: int = 0
    # The caller's own bound on the answer, tokens.
    max_tokens: int | None = None
    # The whole answer is streamed to the caller as it comes.
    streamed: bool = False
    phase: Phase = Phase.WAITING
    attempt: Attempt | None = None
    # Number of attempts made so far, whether they were sent or not.
    attempts: int = 0
    # Some attempt was sent, so a server may have begun: `not_run` can no longer be said.
    may_have_run: bool = False
    # Tokens of the answer that the caller has been sent, over all attempts.
    delivered: int = 0
    first_token_at: float | None = None
    # Predicted length of the answer, tokens.
    predicted_tokens: float = 0.0
    # The caller has closed its connection; the request is only finished for its account.
    caller_left: bool = False
    # Servers that this request has failed on; avoided while others are left.
    avoid: set[ServerName] = field(default_factory=set)

    @property
    def priority(self) -> int:
        """The tier of its class, 0 the most urgent."""
        return self.service_class.priority
