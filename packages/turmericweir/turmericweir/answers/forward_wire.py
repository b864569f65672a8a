"""What forwarding needs of whoever knows the names that callers and servers use.

A platform has its own names for the headers that say who asks, how much time is left, which answer
belongs to which request, and that nothing was run. An adapter translates them by these types; what
follows from them is decided in the core and carried out by `forward`.
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
    """A caller's request but for its body."""

    method: bytes
    # As the caller wrote it, with the query.
    target: bytes
    # Names in lower case.
    headers: Headers
    # When its headers were whole, by the runtime's clock.
    arrived: float

    @property
    def path(self) -> str:
        """The path without the query, as the caller encoded it."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """What is sent to a server, whichever it is."""

    method: bytes
    target: bytes
    # Those that every server gets.
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    # By this an answer of a server is known to be this request's.
    answer_id: bytes
    # The answer is passed on as it comes.
    streamed: bool
    # Another server may go on with the stream after the last whole event.
    resumable: bool
    # The caller has the stream up to this event from an earlier request; empty for none.
    resume_after: bytes


@dataclass(frozen=True, slots=True)
class Inquiry:
    """A request that was understood."""

    request: Request
    call: ForwardCall


@dataclass(frozen=True, slots=True)
class Passable:
    """The answer is this request's, and may be passed on."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The server says that it did not run the request."""

    # It will not run any other either.
    leaving: bool


@dataclass(frozen=True, slots=True)
class Spoiled:
    """The answer is not one that may be passed on, and proves nothing."""

    error: str


Verdict: TypeAlias = Passable | NotRun | Spoiled


class Wire(Protocol):
    """The names on both sides."""

    def identify(self, head: RequestHead) -> RequestId:
        """Name a request by what its caller named it."""

    def read(
        self, config: Config, rng: Random, head: RequestHead, body: bytes, request_id: RequestId
    ) -> Inquiry:
        """Understand a request; raises `RefusedError`."""

    def refusal(self, request_id: str, error: RefusedError) -> Problem:
        """Build the answer to a request that was refused at the border."""

    def problem(self, account: Account) -> Problem:
        """Build the answer to a request that ended without a server's answer."""

    def server_headers(
        self, call: ForwardCall, start: StartAttempt, left_s: float, last_event: bytes
    ) -> Headers:
        """Give all headers for one server; `last_event` is empty but for a stream that goes on."""

    def judge(self, call: ForwardCall, status: int, headers: Mapping[bytes, bytes]) -> Verdict:
        """Judge the head of a server's answer."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Keep those headers of an answer that are meant for the caller."""
