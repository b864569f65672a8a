"""Effects: everything that the reducer can ask the daemon to do, as typed values."""

from __future__ import annotations

from typing import Any, TypeAlias

from msgspec import Struct

from turmericweir_core.base.account import Account
from turmericweir_core.base.ids import DIRECT, AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.request import CancelReason
from turmericweir_core.messages.peer_messages import PeerMessage
from turmericweir_core.messages.record_messages import (
    MarkEra,
    PutReleases,
    PutStreams,
    ReadRecords,
)


class StartAttempt(Struct, frozen=True):
    """Send the request to a server and report `AttemptSent`, its progress and its end."""

    request_id: RequestId
    attempt_id: AttemptId
    server: ServerName
    address: str
    # Scheduling rank at the server, lower first.
    priority: int
    # Number of tokens that the caller already has; the answer continues after them.
    resume_from: int = 0
    # Use a new connection, as another one has just become unresponsive.
    needs_new_connection: bool = False
    # Use a new or recently verified connection, as the call must not be sent twice.
    needs_verified_connection: bool = False
    # Address of an engine whose cache holds parts of the prompt that this one lacks; empty for
    # none.
    fetch_from_address: str = ""
    # The peer by way of which to connect, and its address; empty to connect directly.
    via: InstanceName = DIRECT
    via_address: str = ""
    # Ask the server on the connection of the attempt which start of it this is, before sending.
    needs_identity: bool = False
    # The start that the server's entry names; empty if it names none. With `is_bound` the request
    # is sent to this start only.
    incarnation: str = ""
    is_bound: bool = False


class CancelAttempt(Struct, frozen=True):
    """Stop an attempt at the server, and report its end."""

    request_id: RequestId
    attempt_id: AttemptId
    server: ServerName
    reason: CancelReason


class FinishRequest(Struct, frozen=True):
    """Send the account to the caller; nothing more will be sent for the request."""

    account: Account


class ReplayAnswer(Struct, frozen=True):
    """Send the stored answer of an earlier call with this key; `FinishRequest` follows."""

    request_id: RequestId
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class AppendRecords(Struct, frozen=True):
    """Append records to a stream of the platform's log."""

    stream: str
    # Identifies this append in `AppendDone` or `AppendFailed`.
    token: str
    records: tuple[Any, ...]
    # The key of each record, for streams that retain the newest record of each key.
    keys: tuple[str, ...] = ()
    # Append only if the stream ends at this offset; None appends unconditionally.
    expected_end: int | None = None


class ReadLog(Struct, frozen=True):
    """Read a stream from this offset now, without waiting for the long poll."""

    stream: str
    offset: int
    # Maximum number of records; None leaves it to the platform.
    limit: int | None = None
    # Read the newest record of each key instead of the records after the offset.
    newest_by_key: bool = False


class SendPeer(Struct, frozen=True):
    """Send a message to a peer over its stream; the message may be lost if the stream breaks."""

    peer: InstanceName
    address: str
    message: PeerMessage


class SendDatagram(Struct, frozen=True):
    """Send a message to a peer as one datagram."""

    peer: InstanceName
    address: str
    message: PeerMessage


class ProbeServer(Struct, frozen=True):
    """Request the load report of a server, or only open a connection, over a new connection."""

    server: ServerName
    address: str
    # The peer by way of which to connect, and its address; empty to connect directly.
    via: InstanceName = DIRECT
    via_address: str = ""


class RetireConnections(Struct, frozen=True):
    """Stop reusing the open connections to this address; requests in progress continue."""

    address: str


class SendOrder(Struct, frozen=True):
    """Send an order to a server, with a fencing number."""

    server: ServerName
    address: str
    token: str
    kind: str
    model: str
    version: str
    fence: int
    role: str = ""
    adapter: str = ""
    # End of the holder's lease, by the runtime's clock. The order is not sent later, even if the
    # process was paused in between.
    not_after: float = float("inf")
    timeout_s: float = 5.0


class ReportUsage(Struct, frozen=True):
    """Report the requests that servers started in a window, with a fencing number."""

    token: str
    window: int
    # Requests by customer.
    counts: dict[str, int]
    fence: int
    # The report is not sent later than this, by the runtime's clock.
    not_after: float


class OrderServers(Struct, frozen=True):
    """Set the number of servers of one kind that a service has in a data centre."""

    token: str
    service: str
    data_centre: str
    count: int
    # Cheaper servers, which the platform may reclaim at short notice.
    spot: bool
    fence: int
    not_after: float


class RequestLoadPermit(Struct, frozen=True):
    """Ask the weight store for permission to load a model."""

    model: str
    version: str


class DecodeDocument(Struct, frozen=True):
    """Decode a settings document from a peer, and report it as read."""

    raw: bytes
    peer: InstanceName


class ReportVerdict(Struct, frozen=True):
    """Report the verdict on a change to the operator who submitted it."""

    change_id: str
    verdict: Any


class Log(Struct, frozen=True):
    """Write one log line."""

    event: str
    fields: dict[str, Any] = {}


class Count(Struct, frozen=True):
    """Add to a counter metric."""

    name: str
    by: int = 1


class Timing(Struct, frozen=True):
    """Record a duration metric, seconds."""

    name: str
    seconds: float


class Exit(Struct, frozen=True):
    """All requests are finished; end the process with status 0."""


# Effects on the project's own records in the store of the platform.
RecordEffect: TypeAlias = MarkEra | ReadRecords | PutReleases | PutStreams

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
    | RetireConnections
    | SendOrder
    | ReportUsage
    | OrderServers
    | RequestLoadPermit
    | DecodeDocument
    | RecordEffect
    | ReportVerdict
    | Log
    | Count
    | Timing
    | Exit
)
