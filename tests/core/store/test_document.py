"""Settings as one document, and the proof that its keys are still good."""

from __future__ import annotations

from tests.core.store_world import PLAIN, StoreWorld, account_of, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.reasons import Reason
from turmericweir_core.membership import store_duty
from turmericweir_core.messages.effects import DecodeDocument, FinishRequest, SendDatagram, SendPeer
from turmericweir_core.messages.events import DocumentConfirmed
from turmericweir_core.messages.peer_messages import (
    DocumentAsk,
    DocumentProof,
    DocumentSend,
    RegistryNews,
)
from turmericweir_core.store import document


def with_peer(world: StoreWorld, offset: int = 1) -> InstanceName:
    """Have one live peer."""
    name = world.know("b-1")
    world.state.members.by_name[name].settings_offset = offset
    return name


def test_a_key_is_refused_once_its_proof_is_too_old() -> None:
    """Reads of the store hang. The callers with keys are told that nothing was run."""
    world = StoreWorld()
    assert start_of(world.arrive("1", target=PLAIN, keyed=True)).server
    world.now += 4.5
    account = account_of(world.arrive("2", target=PLAIN, keyed=True)).account
    assert (account.outcome, account.reason) == (Outcome.NOT_RUN, Reason.KEY_UNPROVEN)
    assert start_of(world.arrive("3", target=PLAIN, keyed=False)).server


def test_a_key_whose_proof_ends_while_its_request_waits_is_refused() -> None:
    """No server is there yet; when one comes, the key may have been taken away long since."""
    world = StoreWorld(plain=0)
    world.arrive("1", target=PLAIN, keyed=True, deadline=world.now + 20.0)
    effects = world.wait(5.0)
    (finish,) = only(effects, FinishRequest)
    assert finish.account.reason is Reason.KEY_UNPROVEN


def test_waking_from_a_suspension_finds_the_proof_old() -> None:
    """The machine slept for a minute; the first event after it is a caller's request."""
    world = StoreWorld()
    world.now += 60.0
    assert (
        account_of(world.arrive("1", target=PLAIN, keyed=True)).account.outcome is Outcome.NOT_RUN
    )


def test_a_read_proves_as_of_when_it_was_asked() -> None:
    """An answer that took three seconds says nothing of the last three."""
    world = StoreWorld()
    world.now += 4.0
    world.give(DocumentConfirmed(world.now - 3.0))
    world.now += 2.0
    assert (
        account_of(world.arrive("1", target=PLAIN, keyed=True)).account.outcome is Outcome.NOT_RUN
    )


def test_an_older_version_never_replaces_a_newer_one() -> None:
    world = StoreWorld()
    world.give_document(7)
    world.give_document(3)
    assert world.state.settings_offset() == 7


def test_an_older_version_proves_nothing() -> None:
    """A late read of an old record must not pass for a look at the newest."""
    world = StoreWorld()
    world.give_document(7)
    world.now += 4.0
    world.give_document(3)
    assert document.proof_age(world.state, world.now) == 4.0


def test_a_peers_proof_counts_from_when_it_was_asked() -> None:
    """The store refuses this instance; a peer that it serves answers half a second late."""
    world = StoreWorld()
    peer = with_peer(world)
    world.now += 3.5
    world.state.members.by_name[peer].heard_at = world.now
    asks = [each for each in world.wait(0.1) if isinstance(each, SendDatagram)]
    (ask,) = [each.message for each in asks if isinstance(each.message, DocumentAsk)]
    asked_at = world.now
    world.now += 0.5
    world.peer(peer, DocumentProof(1, ask.number, 0.2))
    age = document.proof_age(world.state, world.now)
    assert 0.7 <= age <= 0.7 + (world.now - asked_at)


def test_whoever_tells_of_the_servers_is_asked_for_its_proof() -> None:
    # The instances that are to read cannot reach the store. One that was not told in time reads in
    # their place, and tells. Every other time the others ask it, not those who have nothing to say.
    world = StoreWorld()
    for number in range(1, 9):
        world.know(f"b-{number}")
    stands_in = store_duty.readers(world.state, world.now)
    teller = next(f"b-{n}" for n in range(1, 9) if f"b-{n}" not in {e.name for e in stands_in})
    world.now += world.state.options.store.settings_read_s + 0.5
    world.peer(teller, RegistryNews(0))
    asks = [each for each in world.wait(0.5) if isinstance(each, SendDatagram)]
    asked = [each.peer for each in asks if isinstance(each.message, DocumentAsk)]
    assert len(asked) == 2
    assert teller in asked


def test_a_proof_for_a_version_that_is_not_here_counts_for_nothing() -> None:
    """The peer's newer version may be the one that takes the key away."""
    world = StoreWorld()
    peer = with_peer(world, offset=5)
    asks = [each for each in world.wait(0.2) if isinstance(each, SendDatagram)]
    (ask,) = [each.message for each in asks if isinstance(each.message, DocumentAsk)]
    world.now += 4.5
    world.peer(peer, DocumentProof(5, ask.number, 0.0))
    assert (
        account_of(world.arrive("1", target=PLAIN, keyed=True)).account.outcome is Outcome.NOT_RUN
    )


def test_a_proof_that_nobody_asked_for_counts_for_nothing() -> None:
    """A datagram was held up on its way for a minute, or comes a second time."""
    world = StoreWorld()
    peer = with_peer(world)
    world.now += 4.5
    world.peer(peer, DocumentProof(1, 99, 0.0))
    assert (
        account_of(world.arrive("1", target=PLAIN, keyed=True)).account.outcome is Outcome.NOT_RUN
    )


def test_a_peer_that_is_behind_is_sent_the_document() -> None:
    world = StoreWorld()
    peer = with_peer(world)
    world.give_document(4)
    sent = only(world.peer(peer, DocumentAsk(2, 1)), SendPeer)
    assert [each.message for each in sent] == [DocumentSend(4, b"raw")]
    assert only(world.peer(peer, DocumentSend(9, b"new")), DecodeDocument)
