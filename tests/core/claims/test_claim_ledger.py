"""Tests that a reader which starts within the stream knows all live claims once it is whole.

Writers compose records from an earlier state of the stream, and the records land late or out of
order. The true ledger has read everything from offset 0.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, Final

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.records.claim_record import (
    NO_FLOOR,
    CarriedClaim,
    ClaimBatch,
    ClaimEnd,
    EndRecord,
    NewClaim,
    RecordWriter,
    Withdrawal,
    decode,
    encode,
)
from turmericweir_core.state.claim_clock import clocks_for_record
from turmericweir_core.state.claim_ledger import ClaimLedger, floor_of, fold, holder_of, restart

OPTIONS: Final = Options(claim_retention_s=60.0, claim_carry_records=8)
KEYS: Final = ("a", "b")
WRITERS: Final = tuple(RecordWriter(f"i{n}", f"i{n}-x", f"10.0.0.{n}:1") for n in range(3))
OK: Final = ClaimEnd(Outcome.COMPLETED, Reason.OK, 200)


@dataclass(slots=True)
class Sending:
    """The appends and claims of one writer."""

    number: int = 0
    # The append in flight, and earlier ones that the writer counts as failed.
    out: ClaimBatch | None = None
    late: list[ClaimBatch] = field(default_factory=list)
    # Its claims, as pairs of key and request id.
    claimed: list[tuple[str, str]] = field(default_factory=list)


@dataclass(slots=True)
class Stream:
    """The stream, its writers and its true ledger."""

    records: list[Any] = field(default_factory=list)
    truth: ClaimLedger = field(default_factory=ClaimLedger)
    # The true ledger at each offset, for writers that have read up to there.
    history: list[ClaimLedger] = field(default_factory=lambda: [ClaimLedger()])
    writers: list[Sending] = field(default_factory=lambda: [Sending() for _ in WRITERS])
    now_ms: int = 1_000_000
    requests: int = 0

    def compose(self, index: int, kind: str, key: str, behind: int) -> None:
        """Send a record of a writer; an append in flight counts as failed."""
        sending = self.writers[index]
        if sending.out is not None:
            sending.late.append(sending.out)
        ledger = self.history[max(0, len(self.records) - behind)]
        sending.number += 1
        batch = ClaimBatch(
            writer=WRITERS[index],
            number=sending.number,
            at_ms=self.now_ms,
            clocks=clocks_for_record(ledger.clock),
            upto=ledger.offset,
            floor=floor_of(ledger),
            carried=_carried(ledger) if kind == "carry" else (),
            withdrawn=self._withdrawn(sending) if kind == "withdraw" else (),
            ends=self._ended(sending, ledger) if kind == "end" else (),
            claims=self._claims(sending, key) if kind == "claim" else (),
        )
        sending.out = batch

    def _claims(self, sending: Sending, key: str) -> tuple[NewClaim, ...]:
        self.requests += 1
        request_id = f"r{self.requests}"
        sending.claimed.append((key, request_id))
        return (NewClaim(key, "f", request_id),)

    def _withdrawn(self, sending: Sending) -> tuple[Withdrawal, ...]:
        claimed, sending.claimed = sending.claimed, []
        return tuple(Withdrawal(key, request_id) for key, request_id in claimed)

    def _ended(self, sending: Sending, ledger: ClaimLedger) -> tuple[EndRecord, ...]:
        held_claims = [
            (key, request_id)
            for key, request_id in sending.claimed
            if key in ledger.claims and ledger.claims[key].claim.request_id == request_id
        ]
        for claim in held_claims:
            sending.claimed.remove(claim)
        return tuple(EndRecord(key, request_id, OK) for key, request_id in held_claims)

    def land(self, index: int, *, late: bool) -> None:
        """Land a record of a writer."""
        sending = self.writers[index]
        if late and sending.late:
            self._append(sending.late.pop(0))
        elif not late and sending.out is not None:
            self._append(sending.out)
            sending.out = None

    def _append(self, batch: ClaimBatch) -> None:
        value = encode(batch)
        fold(self.truth, OPTIONS, len(self.records), value)
        self.records.append(value)
        self.history.append(deepcopy(self.truth))


def _carried(ledger: ClaimLedger) -> tuple[CarriedClaim, ...]:
    return tuple(
        CarriedClaim(
            each.claim,
            each.holder,
            each.claim_offset,
            each.retention_from_ms,
            each.is_unsure,
            each.end,
        )
        for each in islice(ledger.claims.values(), 2)
    )


Step = Callable[[Stream], None]


def _compose(index: int, kind: str, key: str, behind: int) -> Step:
    return lambda stream: stream.compose(index, kind, key, behind)


def _land(index: int, late: bool) -> Step:
    return lambda stream: stream.land(index, late=late)


def _advance_time(ms: int) -> Step:
    def step(stream: Stream) -> None:
        stream.now_ms += ms

    return step


WRITER: Final = st.integers(0, len(WRITERS) - 1)
RECORD_KIND: Final = st.sampled_from(
    ("claim", "claim", "withdraw", "end", "carry", "carry", "floor")
)
LAND: Final = st.builds(_land, WRITER, st.just(False))
STEP: Final = st.one_of(
    st.builds(_compose, WRITER, RECORD_KIND, st.sampled_from(KEYS), st.integers(0, 3)),
    LAND,
    LAND,
    st.builds(_land, WRITER, st.just(True)),
    st.builds(_advance_time, st.sampled_from((1_000, 30_000))),
)


def check_late_reader(stream: Stream, start: int) -> None:
    """Read from an offset, and compare with the true ledger wherever the reader is whole."""
    ledger = ClaimLedger()
    restart(ledger, start)
    for offset in range(start, len(stream.records)):
        fold(ledger, OPTIONS, offset, stream.records[offset])
        check_sure(ledger, stream.history[offset + 1])
        if ledger.has_all_claims:
            check_against(ledger, stream.history[offset + 1])


def check_sure(ledger: ClaimLedger, truth: ClaimLedger) -> None:
    """Check that every holder that a reader is sure of is the true holder."""
    for key in KEYS:
        holder = holder_of(ledger, OPTIONS, key)
        true_holder = holder_of(truth, OPTIONS, key)
        if holder is not None and not holder.is_unsure and true_holder is not None:
            assert holder.claim == true_holder.claim


def check_against(ledger: ClaimLedger, truth: ClaimLedger) -> None:
    """Check that a reader has a holder for every held key, and the true one if it is sure."""
    for key in KEYS:
        true_holder = holder_of(truth, OPTIONS, key)
        if true_holder is None:
            continue
        holder = holder_of(ledger, OPTIONS, key)
        assert holder is not None, f"{key} lacks {true_holder}"
        assert holder.is_unsure or holder.claim == true_holder.claim


@settings(max_examples=400, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(STEP, max_size=60))
def test_reader_from_any_offset_knows_all_live_claims(steps: list[Step]) -> None:
    stream = Stream()
    for step in steps:
        step(stream)
    for start in range(1, len(stream.records)):
        check_late_reader(stream, start)


@settings(max_examples=200, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(STEP, max_size=60), st.integers(0, 20), st.integers(1, 20))
def test_reader_that_missed_records_knows_all_live_claims(
    steps: list[Step], until: int, missed: int
) -> None:
    stream = Stream()
    for step in steps:
        step(stream)
    ledger = ClaimLedger()
    start = min(until + missed, len(stream.records))
    for offset in range(min(until, start)):
        fold(ledger, OPTIONS, offset, stream.records[offset])
    restart(ledger, start)
    for offset in range(start, len(stream.records)):
        fold(ledger, OPTIONS, offset, stream.records[offset])
        check_sure(ledger, stream.history[offset + 1])
        if ledger.has_all_claims:
            check_against(ledger, stream.history[offset + 1])


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=40))
def test_records_survive_encoding(steps: list[Step]) -> None:
    stream = Stream()
    for step in steps:
        step(stream)
    for value in stream.records:
        batch = decode(value)
        assert batch is not None
        assert encode(batch) == value


# --- single histories ------------------------------------------------------------------------


@dataclass(slots=True)
class Script:
    """A stream of handwritten records; each record states its writer and number."""

    records: list[Any] = field(default_factory=list)

    def add(
        self,
        writer: int,
        number: int,
        *,
        upto: int | None = None,
        floor: int = 0,
        claim: str = "",
        withdraw: str = "",
        carry: str = "",
    ) -> None:
        """Append a record for key a; `carry` is a claim of the first writer."""
        claims = (NewClaim("a", "f", claim),) if claim else ()
        withdrawn = (Withdrawal("a", withdraw),) if withdraw else ()
        carried = CarriedClaim(NewClaim("a", "f", carry), WRITERS[0], 0, 0, False, None)
        batch = ClaimBatch(
            writer=WRITERS[writer],
            number=number,
            at_ms=0,
            clocks=(),
            upto=len(self.records) if upto is None else upto,
            floor=floor,
            carried=(carried,) if carry else (),
            withdrawn=withdrawn,
            claims=claims,
        )
        self.records.append(encode(batch))

    def read(self, ledger: ClaimLedger, until: int | None = None) -> None:
        """Read the next records into a ledger."""
        for offset in range(ledger.offset, len(self.records) if until is None else until):
            fold(ledger, OPTIONS, offset, self.records[offset])

    def check_from(self, start: int) -> None:
        """Check that a reader that starts at an offset is whole and right at the end."""
        truth = ClaimLedger()
        self.read(truth)
        reader = ClaimLedger()
        restart(reader, start)
        self.read(reader)
        assert reader.has_all_claims
        check_against(reader, truth)


def holder(script: Script) -> str | None:
    """Return the request that truly holds key a."""
    truth = ClaimLedger()
    script.read(truth)
    true_holder = holder_of(truth, OPTIONS, "a")
    return true_holder.claim.request_id if true_holder else None


def sure_holder_of_a(ledger: ClaimLedger) -> str | None:
    """Return the request that a reader is sure to hold key a."""
    holder = holder_of(ledger, OPTIONS, "a")
    return holder.claim.request_id if holder is not None and not holder.is_unsure else None


def test_first_claim_holds_until_it_is_withdrawn() -> None:
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1, claim="r2")
    assert holder(script) == "r1"
    script.add(0, 2, withdraw="r1")
    assert holder(script) is None
    script.add(2, 1, claim="r3")
    assert holder(script) == "r3"


def test_only_the_process_that_claimed_can_withdraw() -> None:
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1, withdraw="r1")
    assert holder(script) == "r1"


def test_record_that_lands_behind_its_successor_is_void() -> None:
    script = Script()
    script.add(0, 2, withdraw="r1")
    script.add(0, 1, claim="r1")
    assert holder(script) is None


def test_delayed_record_is_void() -> None:
    script = Script()
    for number in range(5):
        script.add(1, number + 1)
    script.add(0, 1, upto=0, claim="r1")
    assert holder(script) is None


def test_carried_claim_does_not_come_back_after_its_withdrawal() -> None:
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(0, 2, withdraw="r1")
    script.add(1, 1, upto=1, carry="r1")
    assert holder(script) is None


def test_withdrawal_of_a_claim_that_never_held_frees_nothing() -> None:
    """Prevents a late reader that has not read r1 from treating the key as free after r2 withdraws,
    while r3 holds it."""
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1, claim="r2")
    script.add(0, 2, withdraw="r1")
    script.add(2, 1, claim="r3")
    script.add(1, 2, withdraw="r2")
    script.add(0, 3, floor=3)
    script.check_from(1)


def test_floor_does_not_end_later_claims() -> None:
    """Prevents a floor beyond the unsure claim r2 from freeing the key, while r3 holds it."""
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1, claim="r2")
    script.add(0, 2, withdraw="r1")
    script.add(2, 1, claim="r3")
    script.add(0, 3, floor=3)
    script.check_from(1)


def test_carried_claim_composed_before_a_change_settles_nothing() -> None:
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1, claim="r2")
    script.add(0, 2, withdraw="r1")
    script.add(1, 2, claim="r4")
    script.add(2, 1, upto=2, carry="r1")
    script.add(0, 3, floor=3)
    script.check_from(1)


def test_carried_claim_settles_a_key_before_the_reader_is_whole() -> None:
    """Prevents a late reader from staying unsure of r1 and its successor r2 until the next carry,
    in which time callers would get `unknown`."""
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1)
    script.add(1, 2, carry="r1")
    late = ClaimLedger()
    restart(late, 1)
    script.read(late)
    assert floor_of(late) == NO_FLOOR
    assert sure_holder_of_a(late) == "r1"

    script.add(0, 2, floor=NO_FLOOR, withdraw="r1")
    script.add(1, 3, floor=2, claim="r2")
    script.read(late)
    assert late.has_all_claims
    assert sure_holder_of_a(late) == "r2"


def test_carried_claim_composed_before_a_withdrawal_settles_nothing() -> None:
    """Prevents a late reader from being sure of the withdrawn r1 while r2 holds the key."""
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(0, 2, withdraw="r1")
    script.add(1, 1, upto=1, carry="r1")
    script.add(2, 1, claim="r2")
    script.add(2, 2, floor=3)
    script.check_from(1)


def test_carried_claim_composed_before_the_start_settles_nothing() -> None:
    """Prevents a late reader from being sure of r1, which was withdrawn between the offset that the
    writer had read and the reader's start."""
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(0, 2, withdraw="r1")
    script.add(2, 1, claim="r2")
    script.add(1, 1, upto=1, carry="r1")
    truth = ClaimLedger()
    script.read(truth)
    late = ClaimLedger()
    restart(late, 3)
    script.read(late)
    check_sure(late, truth)


def test_record_before_the_start_may_make_a_later_one_void() -> None:
    """Prevents a late reader from taking the void r1 for the holder, as it would then treat the key
    of r2 as free."""
    script = Script()
    script.add(0, 2, withdraw="r1")
    script.add(1, 1, floor=1)
    script.add(0, 1, claim="r1")
    script.add(2, 1, claim="r2", floor=3)
    script.check_from(1)


def test_claims_before_a_gap_become_unsure() -> None:
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(0, 2, withdraw="r1")
    script.add(0, 3, claim="r2")
    script.add(1, 1, carry="r2")
    script.add(0, 4, floor=3)
    truth = ClaimLedger()
    script.read(truth)
    reader = ClaimLedger()
    script.read(reader, until=1)
    restart(reader, 3)
    script.read(reader)
    assert reader.has_all_claims
    check_against(reader, truth)


def test_floor_below_the_start_makes_no_reader_whole() -> None:
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1, floor=0)
    late = ClaimLedger()
    restart(late, 1)
    script.read(late)
    assert not late.has_all_claims
    assert floor_of(late) == NO_FLOOR
