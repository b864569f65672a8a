"""Everything that the reducer can ask the daemon to do, as typed values."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

from turmericweir_core.base.account import Account
from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.request import CancelReason
from turmericweir_core.messages.peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to a server and report `AttemptSent`, progress and the end."""

    request_id: RequestId
    attempt_id: AttemptId
    server: ServerName
    address: str
    # The server schedules by it, lower first.
    priority: int
    # Continue the answer after this many tokens that the caller already has.
    resume_from: int = 0
    # Use a new connection: another one has just gone silent.
    fresh_connection: bool = False
    # Use a new connection, or one that was proven a moment ago: the call must not be sent twice.
    proven_connection: bool = False
    # An engine that holds parts of the prompt which this one lacks, by address; empty for none.
    fetch_from: str = ""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt at the server; its end is then reported."""

    request_id: RequestId
    attempt_id: AttemptId
    server: ServerName
    reason: CancelReason


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Give the caller the account; nothing more will be sent for the request."""

    account: Account


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Give the caller the kept answer of an earlier call with its key; `FinishRequest` follows."""

    request_id: RequestId
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records to a stream of the platform's log."""

    stream: str
    # Names this append in `AppendDone` or `AppendFailed`.
    token: str
    records: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read a stream from this offset now, rather than when the long poll returns."""

    stream: str
    offset: int
    # Records at the most; None for as many as the platform gives.
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to a peer over its stream; it may be lost with the stream."""

    peer: InstanceName
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a message to a peer as one datagram."""

    peer: InstanceName
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Ask a server for its load report over a new connection."""

    server: ServerName
    address: str


@dataclass(frozen=True, slots=True)
class DistrustConnections:
    """Use no connection to this address again that is open now; what runs on them goes on."""

    address: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Give an order to a server, under a fencing number."""

    server: ServerName
    address: str
    token: str
    kind: str
    model: str
    version: str
    fence: int
    role: str = ""
    adapter: str = ""
    # The holder's lease ends then, by the runtime's clock: the order does not go out later, however
    # long the process was paused on the way to the server.
    not_after: float = float("inf")
    timeout_s: float = 5.0


@dataclass(frozen=True, slots=True)
class AskWeights:
    """Ask the weight store for leave to load a model."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class DecodeDocument:
    """Decode a settings document that a peer sent, and report it as read."""

    raw: bytes
    peer: InstanceName


@dataclass(frozen=True, slots=True)
class SettleChange:
    """Tell the operator who submitted a change what became of it."""

    change_id: str
    verdict: Any


@dataclass(frozen=True, slots=True)
class Log:
    """Write one log line."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter metric."""

    name: str
    by: int = 1


@dataclass(frozen=True, slots=True)
class Timing:
    """Record a duration metric, seconds."""

    name: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Exit:
    """Everything in flight is finished: the process may end with status 0."""


Effect: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | FinishRequest
    | ReplayAnswer
    | AppendRecords
    | ReadLog
    | SendPeer
    | SendDatagram
    | ProbeServer
    | DistrustConnections
    | SendOrder
    | AskWeights
    | DecodeDocument
    | SettleChange
    | Log
    | Count
    | Timing
    | Exit
)
