"""A reader that starts amid the stream never lacks a live claim once it takes itself for whole.

Writers compose records from what they have read, which may be some way behind, and the records
land late or out of their order. The truth is a ledger that has read everything from offset 0.
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
    Batch,
    CarriedClaim,
    ClaimEnd,
    EndRecord,
    NewClaim,
    Withdrawal,
    Writer,
    decode,
    encode,
)
from turmericweir_core.state.claim_clock import told_clocks
from turmericweir_core.state.claim_ledger import Ledger, floor_of, fold, holder_of, restart

OPTIONS: Final = Options(claim_retention_s=60.0, claim_carry_records=8)
KEYS: Final = ("a", "b")
WRITERS: Final = tuple(Writer(f"i{n}", f"i{n}-x", f"10.0.0.{n}:1") for n in range(3))
OK: Final = ClaimEnd(Outcome.COMPLETED, Reason.OK, 200)


@dataclass(slots=True)
class Sending:
    """What one writer has on its way."""

    number: int = 0
    # Its append that is out, and those that it has given up.
    out: Batch | None = None
    late: list[Batch] = field(default_factory=list)
    # Its claims so far: key and request id.
    claimed: list[tuple[str, str]] = field(default_factory=list)


@dataclass(slots=True)
class Stream:
    """The stream, its writers and the truth about it."""

    records: list[Any] = field(default_factory=list)
    truth: Ledger = field(default_factory=Ledger)
    # The truth at each offset, for writers that have read no further.
    history: list[Ledger] = field(default_factory=lambda: [Ledger()])
    writers: list[Sending] = field(default_factory=lambda: [Sending() for _ in WRITERS])
    now_ms: int = 1_000_000
    requests: int = 0

    def compose(self, index: int, what: str, key: str, behind: int) -> None:
        """Have a writer send a record; one that it was still waiting for, it gives up."""
        sending = self.writers[index]
        if sending.out is not None:
            sending.late.append(sending.out)
        ledger = self.history[max(0, len(self.records) - behind)]
        sending.number += 1
        batch = Batch(
            writer=WRITERS[index],
            number=sending.number,
            at_ms=self.now_ms,
            clocks=told_clocks(ledger.clock),
            upto=ledger.offset,
            floor=floor_of(ledger),
            carried=_carried(ledger) if what == "carry" else (),
            withdrawn=self._withdrawn(sending) if what == "withdraw" else (),
            ends=self._ended(sending, ledger) if what == "end" else (),
            claims=self._claims(sending, key) if what == "claim" else (),
        )
        sending.out = batch

    def _claims(self, sending: Sending, key: str) -> tuple[NewClaim, ...]:
        self.requests += 1
        request_id = f"r{self.requests}"
        sending.claimed.append((key, request_id))
        return (NewClaim(key, "f", request_id),)

    def _withdrawn(self, sending: Sending) -> tuple[Withdrawal, ...]:
        taken, sending.claimed = sending.claimed, []
        return tuple(Withdrawal(key, request_id) for key, request_id in taken)

    def _ended(self, sending: Sending, ledger: Ledger) -> tuple[EndRecord, ...]:
        held = [
            (key, request_id)
            for key, request_id in sending.claimed
            if key in ledger.claims and ledger.claims[key].claim.request_id == request_id
        ]
        for each in held:
            sending.claimed.remove(each)
        return tuple(EndRecord(key, request_id, OK) for key, request_id in held)

    def land(self, index: int, *, late: bool) -> None:
        """Let a writer's record land."""
        sending = self.writers[index]
        if late and sending.late:
            self._append(sending.late.pop(0))
        elif not late and sending.out is not None:
            self._append(sending.out)
            sending.out = None

    def _append(self, batch: Batch) -> None:
        value = encode(batch)
        fold(self.truth, OPTIONS, len(self.records), value)
        self.records.append(value)
        self.history.append(deepcopy(self.truth))


def _carried(ledger: Ledger) -> tuple[CarriedClaim, ...]:
    return tuple(
        CarriedClaim(each.claim, each.holder, each.claimed_at, each.at_ms, each.unsure, each.end)
        for each in islice(ledger.claims.values(), 2)
    )


Step = Callable[[Stream], None]


def _compose(index: int, what: str, key: str, behind: int) -> Step:
    return lambda stream: stream.compose(index, what, key, behind)


def _land(index: int, late: bool) -> Step:
    return lambda stream: stream.land(index, late=late)


def _pass(ms: int) -> Step:
    def step(stream: Stream) -> None:
        stream.now_ms += ms

    return step


WRITER: Final = st.integers(0, len(WRITERS) - 1)
WHAT: Final = st.sampled_from(("claim", "claim", "withdraw", "end", "carry", "carry", "floor"))
LAND: Final = st.builds(_land, WRITER, st.just(False))
STEP: Final = st.one_of(
    st.builds(_compose, WRITER, WHAT, st.sampled_from(KEYS), st.integers(0, 3)),
    LAND,
    LAND,
    st.builds(_land, WRITER, st.just(True)),
    st.builds(_pass, st.sampled_from((1_000, 30_000))),
)


def check_late_reader(stream: Stream, start: int) -> None:
    """Read from an offset on and compare with the truth wherever the reader is whole."""
    ledger = Ledger()
    restart(ledger, start)
    for offset in range(start, len(stream.records)):
        fold(ledger, OPTIONS, offset, stream.records[offset])
        check_sure(ledger, stream.history[offset + 1])
        if ledger.whole:
            check_against(ledger, stream.history[offset + 1])


def check_sure(ledger: Ledger, truth: Ledger) -> None:
    """Check that whom a reader is sure of holds the key in truth, whole or not."""
    for key in KEYS:
        found = holder_of(ledger, OPTIONS, key)
        true_holder = holder_of(truth, OPTIONS, key)
        if found is not None and not found.unsure and true_holder is not None:
            assert found.claim == true_holder.claim


def check_against(ledger: Ledger, truth: Ledger) -> None:
    """Check that every key that is held in truth is blocked, and by whom where it is sure."""
    for key in KEYS:
        true_holder = holder_of(truth, OPTIONS, key)
        if true_holder is None:
            continue
        found = holder_of(ledger, OPTIONS, key)
        assert found is not None, f"{key} lacks {true_holder}"
        assert found.unsure or found.claim == true_holder.claim


@settings(max_examples=400, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(STEP, max_size=60))
def test_reader_from_any_offset_lacks_no_live_claim(steps: list[Step]) -> None:
    stream = Stream()
    for step in steps:
        step(stream)
    for start in range(1, len(stream.records)):
        check_late_reader(stream, start)


@settings(max_examples=200, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(STEP, max_size=60), st.integers(0, 20), st.integers(1, 20))
def test_reader_that_missed_records_lacks_no_live_claim(
    steps: list[Step], until: int, missed: int
) -> None:
    stream = Stream()
    for step in steps:
        step(stream)
    ledger = Ledger()
    start = min(until + missed, len(stream.records))
    for offset in range(min(until, start)):
        fold(ledger, OPTIONS, offset, stream.records[offset])
    restart(ledger, start)
    for offset in range(start, len(stream.records)):
        fold(ledger, OPTIONS, offset, stream.records[offset])
        check_sure(ledger, stream.history[offset + 1])
        if ledger.whole:
            check_against(ledger, stream.history[offset + 1])


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=40))
def test_records_survive_the_wire(steps: list[Step]) -> None:
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
    """Records written by hand; the number of a writer's record is given with its name."""

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
        """Append a record about key a; `carry` names a claim of the first writer."""
        new = (NewClaim("a", "f", claim),) if claim else ()
        taken = (Withdrawal("a", withdraw),) if withdraw else ()
        carried = CarriedClaim(NewClaim("a", "f", carry), WRITERS[0], 0, 0, False, None)
        batch = Batch(
            writer=WRITERS[writer],
            number=number,
            at_ms=0,
            clocks=(),
            upto=len(self.records) if upto is None else upto,
            floor=floor,
            carried=(carried,) if carry else (),
            withdrawn=taken,
            claims=new,
        )
        self.records.append(encode(batch))

    def read(self, ledger: Ledger, until: int | None = None) -> None:
        """Let a reader go on reading."""
        for offset in range(ledger.offset, len(self.records) if until is None else until):
            fold(ledger, OPTIONS, offset, self.records[offset])

    def check_from(self, start: int) -> None:
        """Compare a reader that starts there with the truth at the end; it must be whole."""
        truth = Ledger()
        self.read(truth)
        late = Ledger()
        restart(late, start)
        self.read(late)
        assert late.whole
        check_against(late, truth)


def holder(script: Script) -> str | None:
    """Give the request that holds key a in truth."""
    truth = Ledger()
    script.read(truth)
    found = holder_of(truth, OPTIONS, "a")
    return found.claim.request_id if found else None


def sure_of(ledger: Ledger) -> str | None:
    """Give the request of which a reader is sure that it holds key a."""
    found = holder_of(ledger, OPTIONS, "a")
    return found.claim.request_id if found is not None and not found.unsure else None


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


def test_record_that_lands_far_too_late_is_void() -> None:
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
    """A late reader takes r2 for the holder, as it has not read r1. When r2 is withdrawn it must
    not take the key for free: r3 has held it since r1 was withdrawn, and would run a second time.
    """
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1, claim="r2")
    script.add(0, 2, withdraw="r1")
    script.add(2, 1, claim="r3")
    script.add(1, 2, withdraw="r2")
    script.add(0, 3, floor=3)
    script.check_from(1)


def test_floor_does_not_end_what_may_have_been_claimed_since() -> None:
    """A late reader holds r2 for unsure. The floor is beyond r2, but r3 has claimed the key since,
    in vain for all that this reader knows; in truth r3 holds it."""
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
    """The one record that carries r1 tells the floor of before it was carried, so a late reader is
    not whole yet. It knows r1 for the holder all the same, and so knows r2 for its successor. Were
    it unsure of either, callers would be told `unknown` there until the key is carried again, which
    on a quiet stream takes up to `claim_carry_s`."""
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1)
    script.add(1, 2, carry="r1")
    late = Ledger()
    restart(late, 1)
    script.read(late)
    assert floor_of(late) == NO_FLOOR
    assert sure_of(late) == "r1"

    script.add(0, 2, floor=NO_FLOOR, withdraw="r1")
    script.add(1, 3, floor=2, claim="r2")
    script.read(late)
    assert late.whole
    assert sure_of(late) == "r2"


def test_carried_claim_composed_before_a_withdrawal_settles_nothing() -> None:
    """A late reader without an entry reads a withdrawal and then a carried claim whose writer had
    not read it. Were it sure of r1 it would take r2, which holds the key in truth, for a loser."""
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(0, 2, withdraw="r1")
    script.add(1, 1, upto=1, carry="r1")
    script.add(2, 1, claim="r2")
    script.add(2, 2, floor=3)
    script.check_from(1)


def test_carried_claim_composed_before_the_start_settles_nothing() -> None:
    """Its writer had not read what stands between there and the late reader's start: r1 was
    withdrawn and r2 holds the key. Were the reader sure of r1, its callers would be given the
    wrong request's end."""
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(0, 2, withdraw="r1")
    script.add(2, 1, claim="r2")
    script.add(1, 1, upto=1, carry="r1")
    truth = Ledger()
    script.read(truth)
    late = Ledger()
    restart(late, 3)
    script.read(late)
    check_sure(late, truth)


def test_record_before_the_start_may_make_a_later_one_void() -> None:
    """The record that makes r1 void stands before the start. A late reader that took r1 for the
    holder would take the key for free once r1 is gone, while r2 holds it in truth."""
    script = Script()
    script.add(0, 2, withdraw="r1")
    script.add(1, 1, floor=1)
    script.add(0, 1, claim="r1")
    script.add(2, 1, claim="r2", floor=3)
    script.check_from(1)


def test_what_was_known_before_a_gap_is_no_longer_sure() -> None:
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(0, 2, withdraw="r1")
    script.add(0, 3, claim="r2")
    script.add(1, 1, carry="r2")
    script.add(0, 4, floor=3)
    truth = Ledger()
    script.read(truth)
    reader = Ledger()
    script.read(reader, until=1)
    restart(reader, 3)
    script.read(reader)
    assert reader.whole
    check_against(reader, truth)


def test_floor_below_the_start_makes_nobody_whole() -> None:
    script = Script()
    script.add(0, 1, claim="r1")
    script.add(1, 1, floor=0)
    late = Ledger()
    restart(late, 1)
    script.read(late)
    assert not late.whole
    assert floor_of(late) == NO_FLOOR
