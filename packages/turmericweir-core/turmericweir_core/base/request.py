"""The state of a request and its attempts, from arrival to the final account."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field

from turmericweir_core.base.config import ServiceClass, ServiceKind
from turmericweir_core.base.ids import (
    DIRECT,
    AttemptId,
    InstanceName,
    RequestId,
    ServerName,
    Target,
)
from turmericweir_core.base.release import UNKNOWN_RELEASE, Release


class CancelReason(StrEnum):
    """Why the reducer stopped an attempt."""

    CALLER_LEFT = "caller_left"
    # The deadline passed before the answer began.
    DEADLINE = "deadline"
    # The connection or the server became unresponsive.
    UNRESPONSIVE = "silent"
    # New connections to the server fail, and it was unresponsive all that time.
    SERVER_DEAD = "server_dead"
    # The server has become slow, and another one has free capacity.
    MOVED = "moved"
    # Work of a more urgent class needs the slot.
    DISPLACED = "displaced"
    # The request was found to crash servers.
    QUARANTINED = "quarantined"


class WaitReason(StrEnum):
    """Why a request was not sent to a server when one was last picked for it."""

    # A more urgent request is overdue, here or at a peer.
    URGENT = "urgent"
    # Its prompt's parts are being prefilled for another request.
    PREFILLING = "prefilling"
    # No server has room for it.
    NO_ROOM = "no_room"
    # A customer that was served less waits for the room, here or at a peer.
    SHARE = "share"
    # No server of its target can be used.
    NO_SERVER = "no_server"


class RetryCause(StrEnum):
    """What ended the attempt after which a request is sent again."""

    # The server answered that it had not started the request.
    REFUSED = "refused"
    # The same, as it is leaving.
    LEAVING = "leaving"
    # The connection broke; the server accepts new ones, or refuses them.
    BROKEN = "broken"
    SERVER_GONE = "server_gone"
    SERVER_ERROR = "server_error"
    # This instance cancelled the attempt; see `CancelReason`.
    SERVER_DEAD = "server_dead"
    UNRESPONSIVE = "unresponsive"
    MOVED = "moved"
    DISPLACED = "displaced"
    CANCELLED = "cancelled"


class RequestPhase(StrEnum):
    """The phase of a request."""

    # Waiting for the release of the stream that it takes up.
    LOOKING_UP = "looking_up"
    # Waiting for the claim of its idempotency key.
    CLAIMING = "claiming"
    # Waiting in the queue of its class, not assigned to a server.
    WAITING = "waiting"
    # An attempt is in progress.
    RUNNING = "running"
    # The account has been delivered.
    DONE = "done"


class Refusal(Struct, frozen=True):
    """A server's word that it had not run a request, which is sent again because of it."""

    server: ServerName
    status: int
    # Whether it names the request, and whether its connection had carried earlier requests.
    names_request: bool
    kept_connection: bool
    # The incarnation of the server by its entry, and by the process itself; None if not asked.
    incarnation: str
    process_incarnation: str | None
    # The peer by way of which it was asked.
    via: InstanceName
    # The local address of the connection, and for how long it had been open when it was used.
    connection: str
    connection_age_s: float


class Attempt(Struct):
    """One attempt of a request on one server."""

    attempt_id: AttemptId
    server: ServerName
    started_at: float
    # The tier that it runs at: the tier of the request, or the most urgent one if the attempt uses
    # the assured share of its class.
    tier: int = 0
    # The incarnation of the server at the start; empty if unknown.
    incarnation: str = ""
    # The release of the server, and the incarnation, as its entry said at the start.
    release: Release = UNKNOWN_RELEASE
    listed_incarnation: str = ""
    # The incarnation of the process on its connection; None if it was not asked.
    process_incarnation: str | None = None
    # The peer by way of which the server is connected to; empty for a direct connection.
    via: InstanceName = DIRECT
    # The address of the server.
    address: str = ""
    # Set just before the first byte is sent; until then the server cannot have started.
    sent: bool = False
    # It was sent over a connection that was reused from an earlier request.
    reused_connection: bool = False
    # The local address of its connection, and for how long that had been open.
    connection: str = ""
    connection_age_s: float = 0.0
    # Tokens received in this attempt.
    tokens: int = 0
    first_token_at: float | None = None
    last_token_at: float | None = None
    # A longer gap between tokens is overdue; the target of the class, if it has one.
    overdue_gap_s: float = float("inf")
    # Number of consecutive overdue gaps.
    consecutive_overdue_gaps: int = 0
    # The longest time between tokens since the previous tick, and since the first token.
    tick_max_gap_s: float = 0.0
    max_gap_s: float = 0.0
    # It runs isolated, as a suspect of a crash.
    is_isolated: bool = False
    # Its answer has cleared the parts of its prompt.
    is_known_sound: bool = False
    # Why the reducer cancelled it; the end of the attempt is still awaited.
    cancel_reason: CancelReason | None = None
    # The pool whose accounting includes this attempt, and the work counted for it there.
    pool: str = ""
    work: float = 0.0
    # When its pace was last sampled, and the number of tokens received by then.
    sampled_at: float | None = None
    sampled_tokens: int = 0


class Request(Struct):
    """A request that this instance accepted from a caller."""

    request_id: RequestId
    kind: ServiceKind
    # Name of the model or plain service.
    target: Target
    customer: str
    team: str
    service_class: ServiceClass
    arrived_at: float
    # Time after which an answer that has not begun is useless to the caller.
    deadline: float
    # May be run more than once. True for model calls; set by the service for plain calls.
    repeatable: bool = True
    # Where the caller sent it, by which its route is found again; empty if no route decides.
    host: str = ""
    path: str = ""
    idempotency_key: str | None = None
    # Hash of the target and the body; identifies requests that crash servers.
    fingerprint: str = ""
    # Hashes of successively longer prefixes of the prompt, shortest first.
    prefixes: tuple[str, ...] = ()
    prompt_tokens: int = 0
    # Upper bound on the answer length that the caller set, tokens.
    max_tokens: int | None = None
    # Answer length that the caller estimated, tokens; a single estimate may be far off.
    expected_tokens: int | None = None
    # The answer is streamed to the caller as it arrives.
    streamed: bool = False
    phase: RequestPhase = RequestPhase.WAITING
    attempt: Attempt | None = None
    # Number of attempts so far, including those that were never sent.
    attempts: int = 0
    # An attempt was sent and a server may have started it; `not_run` is no longer possible.
    may_have_run: bool = False
    # Why it was last left waiting; None while it has never been.
    wait_reason: WaitReason | None = None
    # Tokens of the answer that were sent to the caller, over all attempts.
    delivered: int = 0
    first_token_at: float | None = None
    # Predicted length of the answer; 0 for plain calls.
    predicted_tokens: float = 0.0
    # Predicted time of an engine's prefill for it, and of its share of the engine's slots.
    prefill_work_ms: float = 0.0
    slot_work_ms: float = 0.0
    # Work counted for it while it waits; fixed when it is queued to keep the sums consistent.
    queued_cost: float = 0.0
    # Attempts that were preempted by more urgent tiers; these are not failures.
    displaced_attempts: int = 0
    # It was moved off a slow server once; it is not moved again.
    was_moved: bool = False
    # It was counted among the requests that servers started.
    is_metered: bool = False
    # The caller closed the connection; the request continues only to produce its account.
    caller_left: bool = False
    # One of its attempts became unresponsive. The next attempts use new connections, as other idle
    # ones may be broken for the same reason.
    had_unresponsive_attempt: bool = False
    # Whether the customer was identified by a key, which may be revoked.
    keyed: bool = False
    # Parts of the prompt in order, each with its token count; an engine skips the prefill of
    # leading parts that are in its cache.
    parts: tuple[tuple[str, int], ...] = ()
    # Hashes of the parts of its prompt that other requests may share: all but the last. Each hash
    # includes target and model, since a part may do harm at one of them only.
    shared_parts: tuple[int, ...] = ()
    # Number of servers that may run it; None uses the limit of the options.
    sends_max: int | None = None
    # Attempts that were sent, except those that the server reported as not run.
    sent_attempts: int = 0
    # Attempts of which nothing was sent, because no connection could be opened.
    unsent_attempts: int = 0
    # Attempts that were sent, whatever the servers reported, and why it was last queued again.
    arrivals: int = 0
    retry_cause: RetryCause | None = None
    # The last refusal that was believed.
    refusal: Refusal | None = None
    # Addresses to which attempts were sent, whatever the servers reported.
    sent_addresses: set[str] = field(default_factory=set)
    # A retry of the budget is reserved for its next attempt.
    holds_retry: bool = False
    # Latest time of the final answer to the caller, whatever is still running; None for no limit.
    end_by: float | None = None
    # Whether other servers may go on with its stream after the events that the caller has.
    is_resumable: bool = False
    # The id that the caller gave to the request that brought the first event of the stream: this
    # one, or an earlier one whose stream it takes up. Empty if it takes up a stream and names none.
    stream_id: str = ""
    # The last event that the caller has from an earlier request; empty if it takes up no stream.
    taken_up_after: str = ""
    # The other targets to which its route allows it to go.
    other_targets: tuple[Target, ...] = ()
    # The release that its stream is bound to, and the instance that said so. None while the caller
    # has no event: any server will do.
    release: Release | None = None
    release_source: InstanceName = DIRECT
    # The attempt that brought the first events, while it is not known whether the entry of its
    # server was still true.
    unconfirmed_attempt: Attempt | None = None
    # Servers that failed this request; avoided while others are available.
    failed_servers: set[ServerName] = field(default_factory=set)

    @property
    def counted_attempts(self) -> int:
        """Return the number of attempts without those that were preempted or never sent.

        These say nothing about the request or its servers.
        """
        return self.attempts - self.displaced_attempts - self.unsent_attempts

    @property
    def work_ms(self) -> float:
        """Return the predicted work on a server, milliseconds; at least 1."""
        return max(1.0, self.prefill_work_ms + self.slot_work_ms)

    @property
    def priority(self) -> int:
        """Return the tier of its class, 0 being the most urgent."""
        return self.service_class.priority
