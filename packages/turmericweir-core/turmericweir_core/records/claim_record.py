"""Records of the `claims` stream: what instances tell each other through the platform's log.

One record carries everything that an instance had to say at one append: claims of idempotency
keys, withdrawals of claims whose call never ran, ends of calls that did, and claims carried forward
before the log lets go of the records that held them. The order inside a record is the order of the
fields of `Batch`. `encode` and `decode` are the only places that know the form on the wire.
"""

from __future__ import annotations

from hashlib import sha256
from typing import Any, Final

from msgspec import Struct

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.records.record_field import text_field, whole_field

CLAIMS_STREAM: Final = "claims"
# Hex digits kept of a key's hash: 128 bits, so that a chance collision need not be thought of.
KEY_DIGITS: Final = 32
# The first 48 bits of a UUIDv7 are its time in milliseconds.
UUID7_TIME_DIGITS: Final = 12
# The floor of a writer that does not know every live claim.
NO_FLOOR: Final = -1
# The epoch before the first view, and that of a writer that does not know the view.
NO_VIEW: Final = -1
UNKNOWN_VIEW: Final = -2


class Writer(Struct, frozen=True):
    """The process that wrote a record; a restart makes another one of the same name."""

    instance: str
    incarnation: str
    # Where peers reach it.
    address: str


class NewClaim(Struct, frozen=True):
    """A request that wants to be the one that runs for its key."""

    key: str
    fingerprint: str
    request_id: str


class Withdrawal(Struct, frozen=True):
    """A claimed request that never ran and never will; the key is free again."""

    key: str
    request_id: str


class ClaimEnd(Struct, frozen=True):
    """What became of the request that ran for a key."""

    outcome: Outcome
    reason: Reason
    # The server's status, or None where no server answered.
    status: int | None


class EndRecord(Struct, frozen=True):
    """The end of a claimed request."""

    key: str
    request_id: str
    end: ClaimEnd


class CarriedClaim(Struct, frozen=True):
    """A claim written again, because the record that held it is about to leave the log."""

    claim: NewClaim
    holder: Writer
    # Offset and time of the claim itself, which carrying does not renew.
    claimed_at: int
    at_ms: int
    # The writer cannot vouch for it; see `claim_ledger`.
    unsure: bool
    end: ClaimEnd | None


class AgreedClaim(Struct, frozen=True):
    """A claim that the writer agreed to, and that may have been carried out outside of the log."""

    claim: NewClaim
    holder: Writer
    at_ms: int


class ViewChange(Struct, frozen=True):
    """Other members from here on; see `claim_view`."""

    # Epoch of the view that it replaces, if that is still the newest.
    follows: int
    members: tuple[Writer, ...]
    # All that the writer agreed to under the view that it replaces.
    agreed: tuple[AgreedClaim, ...] = ()
    # An operator vouches that no member of that view lives; the writer need not be one.
    replaces: bool = False


class Batch(Struct, frozen=True):
    """One record of the stream."""

    writer: Writer
    # Rises with each append of an incarnation, so that readers can tell a late one.
    number: int
    # The writer's wall clock, milliseconds; 0 where it has none to tell.
    at_ms: int
    # The writer's two latest clocks of the stream, by instance; see `claim_clock`.
    clocks: tuple[tuple[str, int], ...]
    # Offset up to which the writer had read the stream.
    upto: int
    # No live claim stands in a record below this offset; `NO_FLOOR` where the writer can't tell.
    floor: int
    carried: tuple[CarriedClaim, ...] = ()
    withdrawn: tuple[Withdrawal, ...] = ()
    ends: tuple[EndRecord, ...] = ()
    claims: tuple[NewClaim, ...] = ()
    # The view that the writer knew, and its members where they are told again.
    epoch: int = NO_VIEW
    members: tuple[Writer, ...] | None = None
    # The writer wants to be in the view.
    join: bool = False
    change: ViewChange | None = None


def key_of(req: Request) -> str:
    """Hash a request's idempotency key, scoped by its customer and its service."""
    scoped = "\0".join((req.customer, req.target, req.idempotency_key or ""))
    return sha256(scoped.encode()).hexdigest()[:KEY_DIGITS]


def time_of(request_id: str) -> int:
    """Read the milliseconds out of a UUIDv7; 0 for an id that is none."""
    try:
        return int(request_id.replace("-", "")[:UUID7_TIME_DIGITS], 16)
    except ValueError:
        return 0


def encode(batch: Batch) -> dict[str, Any]:
    """Turn a batch into the JSON object that is appended."""
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
    # Rare, and left out to save bytes.
    if batch.members is not None:
        row["members"] = [_writer_row(each) for each in batch.members]
    if batch.join:
        row["join"] = True
    if batch.change is not None:
        row["change"] = _change_row(batch.change)
    return row


# Any: the value is whatever JSON the log held.
def decode(value: Any) -> Batch | None:
    """Validate a record; None for one that is malformed, which every reader then skips alike."""
    try:
        return Batch(
            writer=_writer(value["by"]),
            number=whole_field(value["n"]),
            at_ms=whole_field(value["at"]),
            clocks=tuple((text_field(name), whole_field(at)) for name, at in value["clocks"]),
            upto=whole_field(value["upto"]),
            floor=whole_field(value["floor"]),
            carried=tuple(_carried(row) for row in value["carried"]),
            withdrawn=tuple(
                Withdrawal(text_field(k), text_field(r)) for k, r in value["withdrawn"]
            ),
            ends=tuple(
                EndRecord(text_field(k), text_field(r), _end(e)) for k, r, e in value["ends"]
            ),
            claims=tuple(_claim(row) for row in value["claims"]),
            epoch=whole_field(value.get("epoch", NO_VIEW)),
            members=_members(value["members"]) if "members" in value else None,
            join=bool(value.get("join", False)),
            change=_change(value["change"]) if "change" in value else None,
        )
    except (KeyError, TypeError, ValueError):
        return None


def _writer_row(writer: Writer) -> list[str]:
    return [writer.instance, writer.incarnation, writer.address]


def _claim_row(claim: NewClaim) -> list[str]:
    return [claim.key, claim.fingerprint, claim.request_id]


def _end_row(end: ClaimEnd) -> list[Any]:
    return [end.outcome.value, end.reason.value, end.status]


def _carried_row(each: CarriedClaim) -> list[Any]:
    return [
        _claim_row(each.claim),
        _writer_row(each.holder),
        each.claimed_at,
        each.at_ms,
        each.unsure,
        None if each.end is None else _end_row(each.end),
    ]


def _change_row(change: ViewChange) -> list[Any]:
    return [
        change.follows,
        [_writer_row(each) for each in change.members],
        [[_claim_row(each.claim), _writer_row(each.holder), each.at_ms] for each in change.agreed],
        change.replaces,
    ]


def _writer(row: Any) -> Writer:
    instance, incarnation, address = row
    return Writer(text_field(instance), text_field(incarnation), text_field(address))


def _claim(row: Any) -> NewClaim:
    key, fingerprint, request_id = row
    return NewClaim(text_field(key), text_field(fingerprint), text_field(request_id))


def _end(row: Any) -> ClaimEnd:
    outcome, reason, status = row
    return ClaimEnd(
        Outcome(outcome), _reason(reason), None if status is None else whole_field(status)
    )


def _reason(value: Any) -> Reason:
    try:
        return Reason(text_field(value))
    except ValueError:
        # A newer version may know more reasons. Skipping its record would skip the claims in it,
        # and an older reader would then run a key that others hold for claimed.
        return Reason.EVIDENCE_LOST


def _carried(row: Any) -> CarriedClaim:
    claim, holder, claimed_at, at_ms, unsure, end = row
    return CarriedClaim(
        claim=_claim(claim),
        holder=_writer(holder),
        claimed_at=whole_field(claimed_at),
        at_ms=whole_field(at_ms),
        unsure=bool(unsure),
        end=None if end is None else _end(end),
    )


def _members(rows: Any) -> tuple[Writer, ...]:
    return tuple(_writer(row) for row in rows)


def _change(row: Any) -> ViewChange:
    follows, members, agreed, replaces = row
    return ViewChange(
        follows=whole_field(follows),
        members=_members(members),
        agreed=tuple(
            AgreedClaim(_claim(claim), _writer(holder), whole_field(at_ms))
            for claim, holder, at_ms in agreed
        ),
        replaces=bool(replaces),
    )
