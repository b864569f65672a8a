"""State of an instance for idempotency keys; each part is changed by its own `claim_*` module.

The ledger is the result of reading the log. The outbox has the records that this instance has to
write and has not yet read back from the log. The rest tracks requests received from callers.
"""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.records.claim_answer import AnswerStore
from turmericweir_core.records.claim_record import (
    NO_VIEW,
    ClaimBatch,
    EndRecord,
    NewClaim,
    RecordWriter,
    Withdrawal,
)
from turmericweir_core.state.claim_ledger import ClaimLedger


class Outbox(Struct):
    """Items to append to the log, until they have been read back from it."""

    claims: dict[RequestId, NewClaim] = field(default_factory=dict)
    withdrawn: dict[RequestId, Withdrawal] = field(default_factory=dict)
    ends: dict[RequestId, EndRecord] = field(default_factory=dict)
    # Latest time to append withdrawals and ends; an append with a claim includes them earlier.
    append_by: float | None = None
    # The oldest claims have to be carried forward.
    needs_carry: bool = False
    # A record has to be written only to publish its floor.
    needs_floor: bool = False
    # This instance has to request to join the view.
    needs_join: bool = False
    # Members of the view that shall replace the current one.
    next_members: tuple[RecordWriter, ...] | None = None
    # An operator confirmed that the current view has ended.
    is_replacement: bool = False
    # Number of the newest append.
    number: int = 0
    # The unacknowledged append. Only one at a time, so that a later one invalidates an earlier one.
    in_flight: ClaimBatch | None = None
    in_flight_at: float = 0.0
    # Time for which it has been in flight, counted by ticks.
    in_flight_s: float = 0.0
    # Appends that were acknowledged but not read back yet, by number.
    acknowledged_appends: dict[int, ClaimBatch] = field(default_factory=dict)
    # Rate limit: appends allowed now, and when that was computed; None before the first append.
    tokens: float | None = None
    tokens_at: float = 0.0
    # Consecutive failures, and when to retry.
    failures: int = 0
    retry_at: float = 0.0
    # Latest wall clock in the id of a request of this instance, milliseconds.
    clock_ms: int = 0


class Wait(Struct):
    """A request that waits for its key."""

    request_id: RequestId
    key: str
    # Its claim was sent at least once, so it may be in the log or still arrive there.
    is_claim_sent: bool = False
    # When the holder's instance is queried next.
    next_query_at: float = 0.0
    # Consecutive failed streams to the holder's instance.
    failures: int = 0
    # The holder, if its instance is gone or has no record of it.
    lost_holder: str = ""
    # The view whose members were asked for their votes, the incarnations that have agreed, and
    # when the other members are asked again.
    vote_epoch: int = NO_VIEW
    voters: set[str] = field(default_factory=set)
    next_vote_request_at: float = 0.0
    # When the members were first asked, and the number of failed streams to them.
    votes_requested_at: float = 0.0
    vote_failures: int = 0
    # A member did not agree, so only the log can decide.
    is_denied: bool = False
    # It has yielded to another claim for the same key.
    has_yielded: bool = False


class Vote(Struct, frozen=True):
    """A claim that this instance has agreed to, made by itself or by another instance."""

    claim: NewClaim
    holder: RecordWriter


class RemoteWaiter(Struct, frozen=True):
    """Another instance with a request that waits for the end of a call that runs here."""

    peer: InstanceName
    address: str
    waiter: str


class ClaimState(Struct):
    """State of idempotency keys at this instance."""

    ledger: ClaimLedger = field(default_factory=ClaimLedger)
    outbox: Outbox = field(default_factory=Outbox)
    answers: AnswerStore = field(default_factory=AnswerStore)
    waits: dict[RequestId, Wait] = field(default_factory=dict)
    # Waiting requests by key.
    waiting: dict[str, list[RequestId]] = field(default_factory=dict)
    # Keys held by requests that have no account yet.
    held_keys: dict[RequestId, str] = field(default_factory=dict)
    # Requests of this instance whose claims are being withdrawn but are still in the ledger.
    withdrawing: set[str] = field(default_factory=set)
    remote_waiters: dict[str, list[RemoteWaiter]] = field(default_factory=dict)
    # Keys whose waiting requests have to be evaluated again.
    keys_to_evaluate: set[str] = field(default_factory=set)
    # Claims agreed to that are not in the ledger yet, by key, and the view in which they are valid.
    votes: dict[str, Vote] = field(default_factory=dict)
    vote_epoch: int = NO_VIEW
    # Number of this instance's append that changes the view, until its result is known.
    view_append_number: int | None = None
    # Last append number of each member that is not live, and since when it is unchanged, by
    # incarnation.
    unresponsive_members: dict[str, tuple[int, float]] = field(default_factory=dict)
    next_join_at: float = 0.0
    # Incarnations in the view that have been live at some time.
    live_before: set[str] = field(default_factory=set)
    # Incarnations that were live when the first view was last considered, and since when.
    live_incarnations: frozenset[str] = frozenset()
    live_since: float = 0.0
    # When the pending read of the stream was sent; None if none is pending.
    reading_since: float | None = None
    # The last read failed.
    read_failed: bool = False
    # When the stream is read next, unless an event causes an earlier read.
    next_read_at: float = 0.0
    # Since when the ledger is not whole; None while it is.
    incomplete_since: float | None = None
    # Claims in records below this offset have to be carried forward; see `claim_carry`.
    carry_below_offset: int = 0
    # Offset of the ledger when it was last recorded, to determine the age of records, and when it
    # is recorded next.
    age_mark_offset: int = 0
    next_age_mark_at: float = 0.0


def add_wait(claims: ClaimState, wait: Wait) -> None:
    """Add a request that waits for its key."""
    claims.waits[wait.request_id] = wait
    claims.waiting.setdefault(wait.key, []).append(wait.request_id)


def drop_wait(claims: ClaimState, request_id: RequestId) -> Wait | None:
    """Remove a waiting request and return its wait, if any."""
    wait = claims.waits.pop(request_id, None)
    if wait is None:
        return None
    waiting_ids = claims.waiting[wait.key]
    waiting_ids.remove(request_id)
    if not waiting_ids:
        del claims.waiting[wait.key]
    return wait
