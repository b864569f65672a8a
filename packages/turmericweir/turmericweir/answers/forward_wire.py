"""The interface between the forwarding of requests and a platform's HTTP headers.

Each platform has its own headers for the customer, the remaining time, the request that an answer
belongs to, and refusals. An adapter translates them to and from these types. The core decides on
the request, and `servers.forward` executes the decisions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeAlias

from turmericweir.answers.caller_problem import Problem
from turmericweir.answers.caller_refusal import RefusedError
from turmericweir_core.base.account import Account
from turmericweir_core.base.config import Config
from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import StartAttempt

Headers: TypeAlias = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A caller's request without its body."""

    method: bytes
    # With the query, as encoded by the caller.
    target: bytes
    # Names in lower case.
    headers: Headers
    # When the headers were complete, by the event loop's clock.
    arrived_at: float

    @property
    def path(self) -> str:
        """The path without the query, as encoded by the caller."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """The part of a forwarded request that is the same for every server."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    # Identifies an answer as belonging to this request.
    answer_id: bytes
    # Whether the answer is forwarded as it arrives.
    streamed: bool
    # Whether another server may resume the stream after the last complete event.
    resumable: bool
    # The last event that the caller has from an earlier request; empty for none.
    resume_after: bytes


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A valid request for the core and the call for its servers."""

    request: Request
    call: ForwardCall


@dataclass(frozen=True, slots=True)
class AnswerAccepted:
    """The answer belongs to this request and may be forwarded."""


@dataclass(frozen=True, slots=True)
class AnswerNotRun:
    """The server reports that it did not run the request."""

    # Whether the server runs no further requests.
    is_server_leaving: bool
    # Whether the answer names the request that it refuses.
    has_id: bool


@dataclass(frozen=True, slots=True)
class AnswerRejected:
    """The answer must not be forwarded; whether the request was run is unknown."""

    error: str


AnswerVerdict: TypeAlias = AnswerAccepted | AnswerNotRun | AnswerRejected


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a server states about itself in an answer."""

    # Requests per second that it accepts from all instances together; None for no limit.
    limit_s: float | None = None
    # Whether it is leaving and gets no new work.
    is_leaving: bool = False
    # For how long it wants no requests from this instance.
    pause_s: float = 0.0
    # Refusals a second that it bears before it falls over; None if it is not brittle.
    borne_refusals_s: float | None = None
    # Why a statement on the limit cannot be decoded; empty if it can.
    limit_error: str = ""


class WireAdapter(Protocol):
    """Translates between a platform's HTTP headers and the core's types."""

    @property
    def report_path(self) -> bytes:
        """Where engines report on themselves."""

    def request_id_for(self, head: RequestHead) -> RequestId:
        """Return the request id from the caller's headers, or a new one."""

    def parse_request(
        self, config: Config, rng: Random, head: RequestHead, body: bytes, request_id: RequestId
    ) -> ParsedRequest:
        """Parse and validate a request; raise `RefusedError` if it is invalid."""

    def refusal_problem(self, request_id: str, error: RefusedError) -> Problem:
        """Return the answer to a request that was refused before it reached the reducer."""

    def account_problem(self, account: Account) -> Problem:
        """Return the answer to a request that ended without a server's answer."""

    def server_headers(
        self, call: ForwardCall, start: StartAttempt, remaining_s: float, last_event: bytes
    ) -> Headers:
        """Return all headers for one server; `last_event` is empty unless a stream is resumed."""

    def judge_answer(
        self, call: ForwardCall, status: int, headers: Mapping[bytes, bytes]
    ) -> AnswerVerdict:
        """Return how to treat an answer with this status and these headers."""

    def read_notice(
        self, call: ForwardCall, status: int, headers: Mapping[bytes, bytes]
    ) -> ServerNotice | None:
        """Return what the server states about itself, or None if it is not its own answer."""

    def read_server_name(self, headers: Mapping[bytes, bytes]) -> str:
        """Return the server that an answer to a status check names; empty if it names none."""

    def read_incarnation(self, body: bytes) -> str:
        """Return the incarnation that an engine's report names; empty if it names none."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that are for the caller."""
