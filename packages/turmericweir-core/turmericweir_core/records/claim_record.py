"""Records of the `claims` stream of the platform's log.

One record holds everything that an instance writes in one append: claims of idempotency keys,
withdrawals of claims whose call never ran, ends of calls that ran, and claims that are carried
forward before the log drops their records. They apply in the order of the fields of `ClaimBatch`.
Only `encode` and `decode` depend on the stored format.
"""

from __future__ import annotations

from hashlib import sha256
from typing import Any, Final

from msgspec import Struct

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.records.record_field import require_int, require_text

CLAIMS_STREAM: Final = "claims"
# Hex digits of a key's hash that are used: 128 bits make collisions negligible.
KEY_DIGITS: Final = 32
# The first 48 bits of a UUIDv7 are its time in milliseconds.
UUID7_TIME_DIGITS: Final = 12
# The floor of a writer that does not know every live claim.
NO_FLOOR: Final = -1
# The epoch before the first view, and the epoch of a writer that does not know the view.
NO_VIEW: Final = -1
UNKNOWN_VIEW: Final = -2


class RecordWriter(Struct, frozen=True):
    """The process that wrote a record; a restart is a new writer with the same name."""

    instance: str
    incarnation: str
    # Address for its peers.
    address: str


class NewClaim(Struct, frozen=True):
    """A claim of a key by a request."""

    key: str
    fingerprint: str
    request_id: str


class Withdrawal(Struct, frozen=True):
    """Withdrawal of the claim of a request that never ran and never will; frees the key."""

    key: str
    request_id: str


class ClaimEnd(Struct, frozen=True):
    """The end of the request that ran for a key."""

    outcome: Outcome
    reason: Reason
    # The status code of the server; None if no server answered.
    status: int | None


class EndRecord(Struct, frozen=True):
    """The end of a claimed request."""

    key: str
    request_id: str
    end: ClaimEnd


class CarriedClaim(Struct, frozen=True):
    """A claim that is written again because its record is about to leave the log."""

    claim: NewClaim
    holder: RecordWriter
    # Offset and time of the original claim; carrying does not renew it.
    claimed_at: int
    at_ms: int
    # The writer cannot confirm the claim; see `claim_ledger`.
    unsure: bool
    end: ClaimEnd | None


class AgreedClaim(Struct, frozen=True):
    """A claim that the writer agreed to, whose request may have run without a record in the log."""

    claim: NewClaim
    holder: RecordWriter
    at_ms: int


class ViewChange(Struct, frozen=True):
    """A change of the members of the view; see `claim_view`."""

    # Epoch of the view that it replaces; the change is valid only if that view is the newest.
    follows: int
    members: tuple[RecordWriter, ...]
    # All claims that the writer agreed to in the replaced view.
    agreed: tuple[AgreedClaim, ...] = ()
    # An operator confirms that no member of that view is alive; the writer need not be one.
    replaces: bool = False


class ClaimBatch(Struct, frozen=True):
    """One record of the stream."""

    writer: RecordWriter
    # Increases with each append of an incarnation; readers use it to detect a delayed one.
    number: int
    # The writer's wall clock; 0 if it has none.
    at_ms: int
    # The writer's two latest clocks of the stream, by instance; see `claim_clock`.
    clocks: tuple[tuple[str, int], ...]
    # Offset up to which the writer had read the stream.
    upto: int
    # No live claim is in a record below this offset; `NO_FLOOR` if the writer does not know.
    floor: int
    carried: tuple[CarriedClaim, ...] = ()
    withdrawn: tuple[Withdrawal, ...] = ()
    ends: tuple[EndRecord, ...] = ()
    claims: tuple[NewClaim, ...] = ()
    # The view known to the writer, and its members if they are repeated here.
    epoch: int = NO_VIEW
    members: tuple[RecordWriter, ...] | None = None
    # The writer asks to join the view.
    join: bool = False
    change: ViewChange | None = None


def claim_key_of(req: Request) -> str:
    """Return the hash of a request's idempotency key, scoped by its customer and service."""
    scoped = "\0".join((req.customer, req.target, req.idempotency_key or ""))
    return sha256(scoped.encode()).hexdigest()[:KEY_DIGITS]


def uuid7_time_ms(request_id: str) -> int:
    """Return the time of a UUIDv7 in milliseconds, or 0 for any other id."""
    try:
        return int(request_id.replace("-", "")[:UUID7_TIME_DIGITS], 16)
    except ValueError:
        return 0


def encode(batch: ClaimBatch) -> dict[str, Any]:
    """Return a batch as the JSON object that is appended."""
    row = {
        "by": _writer_row(batch.writer),
        "n": batch.number,
        "at": batch.at_ms,
        "clocks": [list(each) for each in batch.clocks],
        "upto": batch.upto,
        "floor": batch.floor,
        "carried": [_carried_row(each) for each in batch.carried],
        "withdrawn": [[each.key, each.request_id] for each in batch.withdrawn],
        "ends": [[each.key, each.request_id, _end_row(each.end)] for each in batch.ends],
        "claims": [_claim_row(each) for each in batch.claims],
        "epoch": batch.epoch,
    }
    # Rare fields are omitted to save bytes.
    if batch.members is not None:
        row["members"] = [_writer_row(each) for each in batch.members]
    if batch.join:
        row["join"] = True
    if batch.change is not None:
        row["change"] = _change_row(batch.change)
    return row


# Any: the value is arbitrary JSON from the log.
def decode(value: Any) -> ClaimBatch | None:
    """Return the validated batch; None for a malformed record, which every reader skips."""
    try:
        return ClaimBatch(
            writer=_parse_writer(value["by"]),
            number=require_int(value["n"]),
            at_ms=require_int(value["at"]),
            clocks=tuple(
                (require_text(name), require_int(clock)) for name, clock in value["clocks"]
            ),
            upto=require_int(value["upto"]),
            floor=require_int(value["floor"]),
            carried=tuple(_parse_carried(row) for row in value["carried"]),
            withdrawn=tuple(
                Withdrawal(require_text(key), require_text(request_id))
                for key, request_id in value["withdrawn"]
            ),
            ends=tuple(
                EndRecord(require_text(key), require_text(request_id), _parse_end(end))
                for key, request_id, end in value["ends"]
            ),
            claims=tuple(_parse_claim(row) for row in value["claims"]),
            epoch=require_int(value.get("epoch", NO_VIEW)),
            members=_parse_members(value["members"]) if "members" in value else None,
            join=bool(value.get("join", False)),
            change=_parse_change(value["change"]) if "change" in value else None,
        )
    except (KeyError, TypeError, ValueError):
        return None


def _writer_row(writer: RecordWriter) -> list[str]:
    return [writer.instance, writer.incarnation, writer.address]


def _claim_row(claim: NewClaim) -> list[str]:
    return [claim.key, claim.fingerprint, claim.request_id]


def _end_row(end: ClaimEnd) -> list[Any]:
    return [end.outcome.value, end.reason.value, end.status]


def _carried_row(carried: CarriedClaim) -> list[Any]:
    return [
        _claim_row(carried.claim),
        _writer_row(carried.holder),
        carried.claimed_at,
        carried.at_ms,
        carried.unsure,
        None if carried.end is None else _end_row(carried.end),
    ]


def _change_row(change: ViewChange) -> list[Any]:
    return [
        change.follows,
        [_writer_row(each) for each in change.members],
        [[_claim_row(each.claim), _writer_row(each.holder), each.at_ms] for each in change.agreed],
        change.replaces,
    ]


def _parse_writer(row: Any) -> RecordWriter:
    instance, incarnation, address = row
    return RecordWriter(require_text(instance), require_text(incarnation), require_text(address))


def _parse_claim(row: Any) -> NewClaim:
    key, fingerprint, request_id = row
    return NewClaim(require_text(key), require_text(fingerprint), require_text(request_id))


def _parse_end(row: Any) -> ClaimEnd:
    outcome, reason, status = row
    return ClaimEnd(
        Outcome(outcome), _parse_reason(reason), None if status is None else require_int(status)
    )


def _parse_reason(value: Any) -> Reason:
    try:
        return Reason(require_text(value))
    except ValueError:
        # A newer release may define more reasons. Skipping its record would also skip the claims in
        # it, and this instance would run a key that is claimed elsewhere.
        return Reason.EVIDENCE_LOST


def _parse_carried(row: Any) -> CarriedClaim:
    claim, holder, claimed_at, at_ms, unsure, end = row
    return CarriedClaim(
        claim=_parse_claim(claim),
        holder=_parse_writer(holder),
        claimed_at=require_int(claimed_at),
        at_ms=require_int(at_ms),
        unsure=bool(unsure),
        end=None if end is None else _parse_end(end),
    )


def _parse_members(rows: Any) -> tuple[RecordWriter, ...]:
    return tuple(_parse_writer(row) for row in rows)


def _parse_change(row: Any) -> ViewChange:
    follows, members, agreed, replaces = row
    return ViewChange(
        follows=require_int(follows),
        members=_parse_members(members),
        agreed=tuple(
            AgreedClaim(_parse_claim(claim), _parse_writer(holder), require_int(at_ms))
            for claim, holder, at_ms in agreed
        ),
        replaces=bool(replaces),
    )
