"""What an instance holds for idempotency keys, each part changed by its own `claim_*` module.

The ledger is what the log says. The outbox is what this instance has to say and has not yet read
back from the log. The rest follows the requests that this instance took from callers.
"""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.records.claim_answer import AnswerStore
from turmericweir_core.records.claim_record import (
    NO_VIEW,
    Batch,
    EndRecord,
    NewClaim,
    Withdrawal,
    Writer,
)
from turmericweir_core.state.claim_ledger import Ledger


class Outbox(Struct):
    """What is to be said in the log, until it has been read back from there."""

    claims: dict[RequestId, NewClaim] = field(default_factory=dict)
    withdrawn: dict[RequestId, Withdrawal] = field(default_factory=dict)
    ends: dict[RequestId, EndRecord] = field(default_factory=dict)
    # When withdrawals and ends have to go at the latest; a claim takes them along before.
    quiet_due: float | None = None
    # The oldest claims are to be carried forward.
    carry: bool = False
    # A record is to be written for its floor alone.
    floor: bool = False
    # This instance is to ask to be in the view.
    join: bool = False
    # Members of the view that is to replace the current one.
    members: tuple[Writer, ...] | None = None
    # An operator vouches for the end of the current one.
    replaces: bool = False
    # Number of the newest append.
    number: int = 0
    # The append that is out; one at a time, so that a later one proves an earlier one late.
    in_flight: Batch | None = None
    in_flight_at: float = 0.0
    # For how long it has been out, by the ticks since.
    out_s: float = 0.0
    # Appends that were acknowledged and not read back yet, by number.
    landed: dict[int, Batch] = field(default_factory=dict)
    # Appends that may be made now, and when that was computed; None before the first.
    tokens: float | None = None
    tokens_at: float = 0.0
    # Failures in a row, and when to try again after the last.
    failures: int = 0
    retry_at: float = 0.0
    # Latest wall clock that an own request's id brought, milliseconds.
    clock_ms: int = 0


class Wait(Struct):
    """A request that waits for its key."""

    request_id: RequestId
    key: str
    # Its claim went out at least once, so it may stand in the log or land there yet.
    sent: bool = False
    # When the holder's instance is asked next.
    ask_due: float = 0.0
    # Streams to the holder's instance that failed in a row.
    failures: int = 0
    # The holder whose instance is gone, or knows nothing of it.
    lost_holder: str = ""
    # The view under which members were asked to agree, those that have, by incarnation, and when
    # the others are asked again.
    vote_epoch: int = NO_VIEW
    voters: set[str] = field(default_factory=set)
    vote_due: float = 0.0
    # Since when they are asked, and streams to them that failed.
    vote_since: float = 0.0
    vote_failures: int = 0
    # One of them does not agree, so that only the log can tell.
    denied: bool = False
    # It has made way for another that asked for the same key.
    yielded: bool = False


class Vote(Struct, frozen=True):
    """A claim that this instance has agreed to, its own or another's."""

    claim: NewClaim
    holder: Writer


class Asker(Struct, frozen=True):
    """Another instance, a request of which waits for the end of one that runs here."""

    peer: InstanceName
    address: str
    waiter: str


class ClaimState(Struct):
    """Everything about idempotency keys at this instance."""

    ledger: Ledger = field(default_factory=Ledger)
    outbox: Outbox = field(default_factory=Outbox)
    answers: AnswerStore = field(default_factory=AnswerStore)
    waits: dict[RequestId, Wait] = field(default_factory=dict)
    # Requests that wait, by key.
    waiting: dict[str, list[RequestId]] = field(default_factory=dict)
    # Keys of the requests that hold theirs and have no account yet.
    held: dict[RequestId, str] = field(default_factory=dict)
    # Holders of this instance that are being withdrawn and still stand in the ledger.
    withdrawing: set[str] = field(default_factory=set)
    askers: dict[str, list[Asker]] = field(default_factory=dict)
    # Keys whose waiting requests are to be looked at again.
    due: set[str] = field(default_factory=set)
    # What was agreed to and is not in the ledger yet, by key; and the view for which that holds.
    votes: dict[str, Vote] = field(default_factory=dict)
    vote_epoch: int = NO_VIEW
    # Number of an own append that changes the view, while it is not known whether it counts.
    sealed: int | None = None
    # Last number of each member that is not live, and since when it stands, by incarnation.
    quiet: dict[str, tuple[int, float]] = field(default_factory=dict)
    join_due: float = 0.0
    # Incarnations that were live at some time, of those in the view.
    met: set[str] = field(default_factory=set)
    # Incarnations that were live when the first view was last thought of, and since when.
    live_seen: frozenset[str] = frozenset()
    live_since: float = 0.0
    # Since when a read of the stream is out; None while none is.
    reading_since: float | None = None
    # The last read failed.
    read_failed: bool = False
    # When the stream is read next, if nothing else asks for it.
    read_due: float = 0.0
    # Since when the ledger is not whole; None while it is.
    blind_since: float | None = None
    # Records below this offset have grown old and are carried; see `claim_carry`.
    carry_below: int = 0
    # Where the stream stood at the last mark, and when the next is set.
    mark: int = 0
    mark_due: float = 0.0


def add_wait(claims: ClaimState, wait: Wait) -> None:
    """Let a request wait for its key."""
    claims.waits[wait.request_id] = wait
    claims.waiting.setdefault(wait.key, []).append(wait.request_id)


def drop_wait(claims: ClaimState, request_id: RequestId) -> Wait | None:
    """Take a request out of those that wait."""
    wait = claims.waits.pop(request_id, None)
    if wait is None:
        return None
    others = claims.waiting[wait.key]
    others.remove(request_id)
    if not others:
        del claims.waiting[wait.key]
    return wait
