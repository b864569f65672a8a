"""Events: everything that can happen to an instance, as typed input of the reducer.

Adapters build events from validated input and make no decisions. The time of an event is an
argument of `reducer.reduce`, in seconds of the runtime's monotonic clock.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, TypeAlias

from msgspec import Struct

from turmericweir_core.base.config import Config, ServerEntry
from turmericweir_core.base.ids import DIRECT, AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.request import Request
from turmericweir_core.messages.peer_messages import PeerMessage
from turmericweir_core.messages.record_messages import (
    EraMarked,
    RecordsRead,
    ReleasesPut,
    StreamsNotPut,
)
from turmericweir_core.records.claim_answer import StoredAnswer

# --- callers ---------------------------------------------------------------------------------


class RequestArrived(Struct, frozen=True):
    """A request was received completely and validated."""

    request: Request


class CallerLeft(Struct, frozen=True):
    """The caller closed its connection before it received the account."""

    request_id: RequestId


# --- attempts --------------------------------------------------------------------------------


class EndComplete(Struct, frozen=True):
    """The whole answer of the server was received."""

    status: int
    # The answer, if the request has an idempotency key and the answer is small enough to store.
    answer: StoredAnswer | None = None


class EndRefused(Struct, frozen=True):
    """The server reported that it had not started the request."""

    status: int
    leaving: bool
    # The refusal names the request, or is the first answer on its connection. Any other may be
    # meant for another request, so it does not show that this one was not started.
    is_identified: bool = True
    # It names the request.
    names_request: bool = True


class EndUnsent(Struct, frozen=True):
    """No byte of the request was sent."""

    error: str
    # The peer that was to carry it did not try, which says nothing about the server.
    is_declined: bool = False


class EndMisplaced(Struct, frozen=True):
    """Nothing was sent: the server is another start than the one it was chosen as."""

    # The start that it is; empty if it does not say.
    incarnation: str


class EndUnsendable(Struct, frozen=True):
    """Nothing was sent: the request cannot be written as HTTP, to this server or any other."""

    error: str


class EndBroken(Struct, frozen=True):
    """The connection broke or became unresponsive after the server may have got the request."""

    error: str
    # The server answers on a new connection; only the old connection was at fault.
    server_alive: bool
    # The server sent bytes that are no answer, or not the answer to this attempt.
    is_malformed: bool = False
    # The caller has a part of the answer that no other attempt could go on after.
    is_final: bool = False


class EndServerError(Struct, frozen=True):
    """The server answered a model call with an error after it may have started it."""

    status: int


class EndCancelled(Struct, frozen=True):
    """The attempt was stopped by the reducer."""

    # Tokens that the server generated for the attempt, as far as it reported them.
    tokens: int


AttemptEnd: TypeAlias = (
    EndComplete
    | EndRefused
    | EndUnsent
    | EndMisplaced
    | EndUnsendable
    | EndBroken
    | EndServerError
    | EndCancelled
)


class ServerIdentified(Struct, frozen=True):
    """The server on the connection of the attempt has said which start of it this is."""

    request_id: RequestId
    attempt_id: AttemptId
    # Empty if it did not say.
    incarnation: str


class AttemptSent(Struct, frozen=True):
    """The first byte of the attempt is about to be sent."""

    request_id: RequestId
    attempt_id: AttemptId
    # It is sent over a connection that was reused from an earlier request.
    reused_connection: bool = False
    # The local address of the connection, and for how long it has been open.
    connection: str = ""
    connection_age_s: float = 0.0


class AttemptProgress(Struct):
    """Tokens of the attempt were received and forwarded. The most frequent event."""

    request_id: RequestId
    attempt_id: AttemptId
    tokens: int


class AnswerReceived(Struct, frozen=True):
    """The head of a server's answer to the attempt was received."""

    request_id: RequestId
    attempt_id: AttemptId
    # Requests per second that the server accepts from all instances together; None for no limit.
    limit_s: float | None = None
    # The server says that it is leaving.
    is_leaving: bool = False
    # For how long the server wants no requests from this instance, seconds.
    pause_s: float = 0.0
    # Refusals a second that the server bears before it falls over; None if it is not brittle.
    borne_refusals_s: float | None = None
    # False if the statement on the limit cannot be decoded; the one before holds.
    is_limit_readable: bool = True


class AnswerForm(Struct, frozen=True):
    """How a server framed its answer to an attempt, and how the answer ended."""

    # "length", "chunked" or "connection_end".
    framing: str
    # "whole", "closed", "reset", or "oversized" if it was no answer and this end closed; empty if
    # the answer was not read to its end.
    end: str
    # The last event of the body was incomplete.
    is_event_open: bool = False


class AttemptEnded(Struct, frozen=True):
    """The attempt ended; no further events follow for it."""

    request_id: RequestId
    attempt_id: AttemptId
    end: AttemptEnd
    # None if no answer began.
    answer: AnswerForm | None = None


# --- backend servers -------------------------------------------------------------------------


class ServerReport(Struct, frozen=True):
    """The load report of a server, which may be delayed."""

    server: ServerName
    incarnation: str
    seq: int
    running: int
    waiting: int
    # Requests that the server can batch or run at once.
    slots: int
    kv_used: int = 0
    kv_total: int = 0
    models: tuple[str, ...] = ()
    leaving: bool = False
    fence: int = -1
    # Models that are being loaded.
    loading: tuple[str, ...] = ()
    # When the probe for this report was sent; -inf if another instance forwarded the report.
    probe_sent_at: float = float("-inf")


class ServerUnreachable(Struct, frozen=True):
    """A new connection to the server failed."""

    server: ServerName
    error: str
    # The peer by way of which it was to be opened; empty for a direct connection.
    via: InstanceName = DIRECT
    # The peer did not try, which says nothing about the server.
    is_declined: bool = False


class ServerAnswered(Struct, frozen=True):
    """A new connection to the server succeeded."""

    server: ServerName
    # The peer by way of which it was opened; empty for a direct connection.
    via: InstanceName = DIRECT


class CacheEvent(Struct, frozen=True):
    """A prompt prefix entered or left a server's cache."""

    stored: bool
    prefix: str


class CacheEvents(Struct, frozen=True):
    """Cache events of one server, in order; with `has_gap`, earlier ones were lost."""

    server: ServerName
    events: tuple[CacheEvent, ...]
    has_gap: bool


# --- platform --------------------------------------------------------------------------------


class ListedInstance(Struct, frozen=True):
    """An entry instance in the platform's list."""

    name: InstanceName
    data_centre: str
    # Address for its peers, "ip:port" for TCP and UDP alike.
    peer_address: str
    incarnation: str
    leaving: bool


class ListRead(Struct, frozen=True):
    """The platform's list was read. It is delayed and may be wrong in both directions."""

    servers: tuple[ServerEntry, ...]
    instances: tuple[ListedInstance, ...]


class LogRecord(Struct, frozen=True):
    """One record of a stream of the platform's log."""

    offset: int
    # As decoded from JSON; the consumer of the stream validates it.
    value: Any


class LogRead(Struct, frozen=True):
    """Consecutive records of a stream were read, from the platform or from a peer."""

    stream: str
    records: tuple[LogRecord, ...]
    # Offset after the newest record that the platform had.
    end_offset: int
    # The era of the store that answered; 0 if it states none.
    era: int = 0


class LogNewest(Struct, frozen=True):
    """The newest record of each key of a stream was read, and the offset of its end."""

    stream: str
    records: tuple[LogRecord, ...]
    end_offset: int
    era: int = 0
    # No key of the stream is missing.
    is_complete: bool = True


class LogExpired(Struct, frozen=True):
    """The requested offset is older than the platform's retention."""

    stream: str
    oldest_offset: int
    end_offset: int


class LogFailed(Struct, frozen=True):
    """The platform's log could not be read."""

    stream: str
    error: str


class AppendDone(Struct, frozen=True):
    """An append took effect at these offsets."""

    stream: str
    # The token that the `AppendRecords` effect carried.
    token: str
    first_offset: int
    end_offset: int
    era: int = 0


class AppendFailed(Struct, frozen=True):
    """An append was refused, or its acknowledgement was lost."""

    stream: str
    token: str
    error: str
    # The append may have taken effect; only reading the stream shows it.
    may_have_applied: bool


class OrderDone(Struct, frozen=True):
    """A server answered an order, or the order failed."""

    server: ServerName
    token: str
    is_accepted: bool
    # The server refused the order because of an outdated fencing number.
    stale_fence: bool
    error: str = ""


class DutyOutcome(StrEnum):
    """The platform's response to a call that only one holder at a time may make."""

    DONE = "done"
    # The platform has received a higher fencing number.
    STALE = "stale"
    # The ordered servers are not available at present.
    NONE_LEFT = "none_left"
    # The call was refused and may be repeated.
    REFUSED = "refused"
    # The call was not answered, and may still take effect.
    UNKNOWN = "unknown"


class DutyAnswered(Struct, frozen=True):
    """A usage report or an order of servers was answered, or failed."""

    token: str
    outcome: DutyOutcome
    error: str = ""


class WallClockRead(Struct, frozen=True):
    """The time of day was read, in seconds since the epoch."""

    wall_s: float


class WeightsAnswered(Struct, frozen=True):
    """The weight store granted a load of a model, or asked to retry later."""

    model: str
    version: str
    granted: bool
    retry_after_s: float = 0.0


# --- settings and servers at the platform's store ---------------------------------------------


class DocumentRead(Struct, frozen=True):
    """The settings document was read and decoded."""

    version: int
    config: Config
    # The document as it was written.
    raw: bytes
    # When the request for it was sent; None if it came from a peer.
    requested_at: float | None
    # The peer that sent it; empty if it came from the store.
    peer: str = ""
    # The era of the store that answered; 0 if it states none.
    era: int = 0


class DocumentConfirmed(Struct, frozen=True):
    """A read of the store found no newer document."""

    requested_at: float
    # The newest version that the store holds.
    version: int
    era: int = 0


class DocumentUnreadable(Struct, frozen=True):
    """A document could not be decoded or validated."""

    # The store, or the peer that sent it.
    source: str
    error: str


class RegistryRead(Struct, frozen=True):
    """Entries of servers were read, each with the offset of its record."""

    entries: tuple[tuple[ServerEntry, int], ...]
    # Entries that were removed.
    removed: tuple[tuple[ServerName, int], ...] = ()
    # The entries are the complete list.
    is_complete: bool = False
    # All records before this offset were read; 0 if only those of the entries are known to be.
    end: int = 0
    # When the read was requested; None if it was answered at once.
    requested_at: float | None = None
    # The era of the store that answered; 0 if it states none.
    era: int = 0
    # The store had no further records.
    is_caught_up: bool = True
    # The entries are a list that may lack some; what it lacks is not known to be gone.
    is_partial: bool = False


class EntriesUnreadable(Struct, frozen=True):
    """Entries of the server registry could not be decoded."""

    count: int
    # The first error, with the key of its record.
    error: str


# --- peers -----------------------------------------------------------------------------------


class PeerReceived(Struct, frozen=True):
    """A validated message was received from another instance, by stream or datagram."""

    sender: InstanceName
    message: PeerMessage
    # The address that a datagram came from; empty for streams.
    origin: str = ""


class SeedsGiven(Struct, frozen=True):
    """The settings of the process name peer addresses to use until the platform's list is read."""

    addresses: tuple[str, ...]


class PeerUnreachable(Struct, frozen=True):
    """The stream to a peer failed to open, or broke; sent messages may be lost."""

    peer: InstanceName
    error: str


class CarriedChanged(Struct, frozen=True):
    """The number of connections that this instance carries for its peers has changed."""

    carried: int


# --- this instance ---------------------------------------------------------------------------


class Tick(Struct, frozen=True):
    """Time passed; every reducer does its periodic work. Ticks are `Options.tick_s` apart."""


class StopRequested(Struct, frozen=True):
    """The process was asked to stop gracefully."""


class ChangeSubmitted(Struct, frozen=True):
    """An operator submitted a change of settings, already validated on its own."""

    change_id: str
    path: str
    expected_version: int | None
    # None deletes the path.
    value: Any
    operator: str


class DrainRequested(Struct, frozen=True):
    """An operator asked to send no new requests to a server."""

    server: ServerName
    operator: str


Event: TypeAlias = (
    RequestArrived
    | CallerLeft
    | ServerIdentified
    | AttemptSent
    | AttemptProgress
    | AnswerReceived
    | AttemptEnded
    | ServerReport
    | ServerUnreachable
    | ServerAnswered
    | CacheEvents
    | ListRead
    | LogRead
    | LogNewest
    | LogExpired
    | LogFailed
    | AppendDone
    | AppendFailed
    | OrderDone
    | DutyAnswered
    | WallClockRead
    | WeightsAnswered
    | DocumentRead
    | DocumentConfirmed
    | RecordsRead
    | EraMarked
    | ReleasesPut
    | StreamsNotPut
    | DocumentUnreadable
    | RegistryRead
    | EntriesUnreadable
    | PeerReceived
    | SeedsGiven
    | PeerUnreachable
    | CarriedChanged
    | Tick
    | StopRequested
    | ChangeSubmitted
    | DrainRequested
)
