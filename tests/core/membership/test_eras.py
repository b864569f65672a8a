"""The store comes back from a copy: what an instance goes on believing, and what it does not."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.core.era_world import EraWorld, records_read
from tests.core.store_world import PLAIN, StoreWorld, account_of, only, start_of
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import Log, SendDatagram
from turmericweir_core.messages.events import (
    DocumentConfirmed,
    DocumentRead,
)
from turmericweir_core.messages.record_messages import EraMarked, MarkEra
from turmericweir_core.messages.settings_messages import DocumentAsk, DocumentProof
from turmericweir_core.state.document_state import DocumentState
from turmericweir_core.store import document

# Longer than the operator and the servers take to write again what a copy lacks.
REWRITTEN_S: Final = 2.1


# --- settings -------------------------------------------------------------------------------------


def test_read_of_a_copy_proves_nothing_until_it_was_completed() -> None:
    """Guards against a key in use whose removal the copy lacks."""
    world = EraWorld()
    world.wait(1.0)
    world.confirm(7, era=2)
    assert world.proof_age_s == pytest.approx(1.0)
    world.wait(REWRITTEN_S)
    world.confirm(7, era=2)
    assert world.proof_age_s == 0.0


def test_copy_with_an_older_version_proves_nothing_at_any_time() -> None:
    """Guards against a key in use because the operator takes long to write again."""
    world = EraWorld()
    world.give(DocumentRead(6, world.config(), b"raw", world.now, era=2))
    for _ in range(5):
        world.wait(1.0)
        world.confirm(6, era=2)
    assert world.state.settings_offset() == 7
    account = account_of(world.arrive("1", target=PLAIN, keyed=True)).account
    assert account.reason is Reason.KEY_UNPROVEN
    # Written again.
    world.give(DocumentRead(7, world.config(), b"raw", world.now, era=2))
    assert start_of(world.arrive("2", target=PLAIN, keyed=True)).server


def test_newer_version_of_a_new_era_is_in_force_at_once() -> None:
    """Guards against a manifest that is ignored because of its lower offset."""
    world = EraWorld()
    world.give(DocumentRead(8, world.config(), b"raw", world.now, era=2))
    assert world.state.settings_offset() == 8


def test_late_answer_of_an_earlier_era_is_judged_by_its_own_time() -> None:
    """Guards against a proof that counts from an answer instead of its request."""
    world = EraWorld()
    world.wait(1.0)
    sent_at = world.now - 0.4
    world.confirm(7, era=2)
    world.give(DocumentConfirmed(sent_at, 7, 1))
    assert world.proof_age_s == pytest.approx(0.4)


def test_two_eras_in_a_row_are_each_waited_for() -> None:
    """Guards against a wait that the second drill cuts short."""
    world = EraWorld()
    world.confirm(7, era=2)
    world.wait(1.5)
    world.confirm(7, era=3)
    world.wait(1.5)
    world.confirm(7, era=3)
    assert world.proof_age_s == pytest.approx(3.0)
    world.wait(1.0)
    world.confirm(7, era=3)
    assert world.proof_age_s == 0.0


def test_change_is_logged_once() -> None:
    world = EraWorld()
    logs = [each for _ in range(3) for each in _logs(world, "store_era")]
    assert len(logs) == 1
    assert (logs[0].fields["before"], logs[0].fields["era"]) == (1, 2)


def _logs(world: EraWorld, event: str) -> list[Log]:
    effects = world.give(DocumentConfirmed(world.now, 7, 2))
    return [each for each in only(effects, Log) if each.event == event]


def test_store_without_eras_proves_at_once() -> None:
    world = StoreWorld()
    world.wait(1.0)
    world.give(DocumentConfirmed(world.now, 1))
    assert document.proof_age_s(world.state, world.now) == 0.0


# --- instances that start -------------------------------------------------------------------------


def _starting(
    marked: int | None, era: int, version: int = 3, *, name: str = "a-1", now: float = 100.0
) -> StoreWorld:
    """Return an instance that has just read the mark and a version."""
    world = StoreWorld(name=name)
    world.now = now
    world.state.document = DocumentState()
    world.give(records_read(now, era, marked))
    world.give(DocumentRead(version, world.config(), b"raw", now, era=era))
    return world


@pytest.mark.parametrize("marked", [None, 5])
def test_instance_that_starts_in_a_settled_era_serves_at_once(marked: int | None) -> None:
    world = _starting(marked, era=5)
    assert start_of(world.arrive("1", target=PLAIN, keyed=True)).server


def test_instance_that_starts_right_after_a_copy_waits() -> None:
    """Guards against a key in use at an instance that knows only what the copy holds."""
    world = _starting(4, era=5)
    account = account_of(world.arrive("1", target=PLAIN, keyed=True)).account
    assert account.reason is Reason.KEY_UNPROVEN
    world.wait(REWRITTEN_S)
    world.give(DocumentConfirmed(world.now, 3, 5))
    assert start_of(world.arrive("2", target=PLAIN, keyed=True)).server


def test_instance_that_starts_learns_from_a_peer_that_the_era_is_settled() -> None:
    """Guards against a wait of all that start although others know more."""
    world = _starting(4, era=5)
    name = world.know("b-1")
    world.wait(1.0)
    asked = [
        each.message
        for each in only(world.effects, SendDatagram)
        if isinstance(each.message, DocumentAsk)
    ]
    world.peer(name, DocumentProof(3, asked[-1].request_number, 0.2, era=5))
    world.give(DocumentConfirmed(world.now, 3, 5))
    assert document.proof_age_s(world.state, world.now) == 0.0


def test_reader_marks_a_settled_era_until_that_is_acknowledged() -> None:
    """Guards against an era that no instance marks, so that each start has to wait."""
    world = EraWorld()
    world.state.members.started_at = float("-inf")
    world.give(EraMarked(1))
    world.confirm(7, era=2)
    assert not only(world.wait(1.0), MarkEra)
    world.wait(REWRITTEN_S)
    world.confirm(7, era=2)
    assert only(world.wait(9.0, step=0.5), MarkEra) == [MarkEra(2), MarkEra(2)]
    world.give(EraMarked(2))
    assert not only(world.wait(20.0, step=0.5), MarkEra)


def test_instance_that_does_not_read_for_others_marks_nothing() -> None:
    world = EraWorld()
    world.state.members.started_at = None
    assert not only(world.wait(6.0), MarkEra)


# --- any order ------------------------------------------------------------------------------------


class Drills:
    """A store with drills, its operator, and instances that read it, ask each other and restart."""

    def __init__(self) -> None:
        self.worlds = [_starting(1, era=1, version=1, name=f"a-{number}") for number in range(3)]
        self.now = self.worlds[0].now
        self.era = 1
        # Acknowledged versions of the operator, each with its time.
        self.acked = [(1, self.now)]
        # What the store holds, each with the time at which it was written.
        self.held = [(1, 0.0)]
        self.marks = [(1, 0.0)]
        # When the operator writes its newest again.
        self.write_again_at: float | None = None
        for world in self.worlds:
            self._introduce(world)

    def _introduce(self, world: StoreWorld) -> None:
        for number in range(len(self.worlds)):
            world.know(f"a-{number}")

    def publish(self) -> None:
        """Have the operator write a version, after those that it still has to write again."""
        if self.write_again_at is None:
            version = self.acked[-1][0] + 1
            self.held.append((version, self.now))
            self.acked.append((version, self.now))

    def drill(self, age_s: float, write_again_s: float) -> None:
        """Come back from a copy; the operator writes its newest again after a while."""
        self.held = [each for each in self.held if each[1] <= self.now - age_s]
        self.marks = [each for each in self.marks if each[1] <= self.now - age_s]
        self.era += 1
        self.write_again_at = self.now + write_again_s

    def mark(self, number: int) -> None:
        """Have an instance mark the era if it takes it for settled."""
        if self.worlds[number].state.eras.settled == self.era:
            self.marks.append((self.era, self.now))

    def restart(self, number: int) -> None:
        """Start an instance anew; it reads the mark and the newest version."""
        marked = self.marks[-1][0]
        name = f"a-{number}"
        world = _starting(marked, self.era, self.held[-1][0], name=name, now=self.now)
        self.worlds[number] = world
        self._introduce(world)

    def read(self, number: int) -> None:
        """Have an instance read the newest version."""
        world, version = self.worlds[number], self.held[-1][0]
        if version == world.state.settings_offset():
            world.give(DocumentConfirmed(self.now, version, self.era))
        else:
            world.give(DocumentRead(version, world.config(), b"raw", self.now, era=self.era))

    def ask(self, number: int, other: int) -> None:
        """Have an instance ask another one for its version and proof."""
        world, peer = self.worlds[number], self.worlds[other]
        state = world.state
        assert state.document is not None
        state.document.query_number += 1
        state.document.queries_sent_at[state.document.query_number] = self.now
        request = DocumentAsk(state.settings_offset(), state.document.query_number)
        if peer.state.settings_offset() > state.settings_offset():
            event = DocumentRead(
                peer.state.settings_offset(), world.config(), b"raw", None, f"a-{other}"
            )
            world.give(event)
        for answer in only(peer.peer(f"a-{number}", request), SendDatagram):
            if isinstance(answer.message, DocumentProof) and answer.message.request_number:
                world.peer(f"a-{other}", answer.message)

    def wait(self, seconds: float) -> None:
        """Let time pass; the operator writes again when it is due."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += 0.25
            if self.write_again_at is not None and self.now >= self.write_again_at:
                self.write_again_at = None
                if self.held[-1][0] < self.acked[-1][0]:
                    self.held.append((self.acked[-1][0], self.now))
            for world in self.worlds:
                world.now = self.now

    def check(self) -> None:
        """Compare each instance's proof with what was acknowledged by then."""
        for world in self.worlds:
            document_state = world.state.document
            assert document_state is not None
            known = [version for version, at in self.acked if at < document_state.proof_at]
            assert document_state.version >= max(known, default=0)


_NUMBERS = st.integers(0, 2)
_STEPS = st.one_of(
    st.just(lambda each: each.publish()),
    st.builds(
        lambda age_s, s: lambda each: each.drill(age_s, s),
        st.sampled_from((0.5, 2.0, 6.0)),
        st.sampled_from((0.0, 0.5, 1.5)),
    ),
    st.builds(lambda number: lambda each: each.mark(number), _NUMBERS),
    st.builds(lambda number: lambda each: each.restart(number), _NUMBERS),
    st.builds(lambda number: lambda each: each.read(number), _NUMBERS),
    st.builds(
        lambda number, other: lambda each: each.ask(number, other) if number != other else None,
        _NUMBERS,
        _NUMBERS,
    ),
    st.builds(lambda s: lambda each: each.wait(s), st.sampled_from((0.25, 0.5, 1.0, 2.0))),
)


@given(st.lists(_STEPS, max_size=60))
def test_no_proof_is_newer_than_a_version_that_it_does_not_know(
    steps: list[Callable[[Drills], None]],
) -> None:
    """Guards against a proof that covers a version which a copy of the store had lost."""
    drills = Drills()
    for step in steps:
        before = [(world, world.state.settings_offset()) for world in drills.worlds]
        step(drills)
        drills.check()
        # Nothing goes back in the life of a process.
        assert all(world.state.settings_offset() >= version for world, version in before)
