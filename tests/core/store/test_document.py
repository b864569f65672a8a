"""The settings document, and the proof that its keys are still valid."""

from __future__ import annotations

from tests.core.store_world import PLAIN, StoreWorld, account_of, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.reasons import Reason
from turmericweir_core.membership import store_duty
from turmericweir_core.messages.effects import DecodeDocument, FinishRequest, SendDatagram, SendPeer
from turmericweir_core.messages.events import DocumentConfirmed
from turmericweir_core.messages.server_messages import RegistryNews
from turmericweir_core.messages.settings_messages import DocumentAsk, DocumentProof, DocumentSend
from turmericweir_core.store import document


def add_peer(world: StoreWorld, offset: int = 1) -> InstanceName:
    """Add one live peer; return its name."""
    name = world.know("b-1")
    world.state.members.by_name[name].settings_offset = offset
    return name


def test_key_is_refused_with_a_stale_proof() -> None:
    """While reads of the store hang, requests with keys are refused as not run."""
    world = StoreWorld()
    assert start_of(world.arrive("1", target=PLAIN, keyed=True)).server
    world.now += 4.5
    account = account_of(world.arrive("2", target=PLAIN, keyed=True)).account
    assert (account.outcome, account.reason) == (Outcome.NOT_RUN, Reason.KEY_UNPROVEN)
    assert start_of(world.arrive("3", target=PLAIN, keyed=False)).server


def test_waiting_request_is_refused_when_its_proof_expires() -> None:
    """A waiting request with a key is refused once the proof is too old."""
    world = StoreWorld(plain=0)
    world.arrive("1", target=PLAIN, keyed=True, deadline=world.now + 20.0)
    effects = world.wait(5.0)
    (finish,) = only(effects, FinishRequest)
    assert finish.account.reason is Reason.KEY_UNPROVEN


def test_proof_is_stale_after_a_suspension() -> None:
    """After a suspension of the machine, the first request finds the proof too old."""
    world = StoreWorld()
    world.now += 60.0
    assert (
        account_of(world.arrive("1", target=PLAIN, keyed=True)).account.outcome is Outcome.NOT_RUN
    )


def test_proof_of_a_read_counts_from_its_send_time() -> None:
    """The proof of a slow read counts from the time the read was sent."""
    world = StoreWorld()
    world.now += 4.0
    world.give(DocumentConfirmed(world.now - 3.0, 1))
    world.now += 2.0
    assert (
        account_of(world.arrive("1", target=PLAIN, keyed=True)).account.outcome is Outcome.NOT_RUN
    )


def test_an_older_version_never_replaces_a_newer_one() -> None:
    world = StoreWorld()
    world.give_document(7)
    world.give_document(3)
    assert world.state.settings_offset() == 7


def test_older_version_is_no_proof() -> None:
    """A delayed read of an old record is no proof."""
    world = StoreWorld()
    world.give_document(7)
    world.now += 4.0
    world.give_document(3)
    assert document.proof_age_s(world.state, world.now) == 4.0


def test_proof_of_a_peer_counts_from_the_request() -> None:
    """A delayed answer of a peer makes its proof older."""
    world = StoreWorld()
    peer = add_peer(world)
    world.now += 3.5
    world.state.members.by_name[peer].last_seen_at = world.now
    asks = [effect for effect in world.wait(0.1) if isinstance(effect, SendDatagram)]
    (ask,) = [effect.message for effect in asks if isinstance(effect.message, DocumentAsk)]
    asked_at = world.now
    world.now += 0.5
    world.peer(peer, DocumentProof(1, ask.request_number, 0.2))
    age_s = document.proof_age_s(world.state, world.now)
    assert 0.7 <= age_s <= 0.7 + (world.now - asked_at)


def test_last_announcer_of_servers_is_asked_for_its_proof() -> None:
    # The picked readers cannot reach the store and a fallback reader announces servers. Most
    # requests for a proof go to it.
    world = StoreWorld()
    for number in range(1, 9):
        world.know(f"b-{number}")
    picked = store_duty.store_readers(world.state, world.now)
    announcer = next(
        f"b-{number_}"
        for number_ in range(1, 9)
        if f"b-{number_}" not in {member.name for member in picked}
    )
    world.now += world.state.options.store.settings_read_s + 0.5
    world.peer(announcer, RegistryNews(0))
    asks = [effect for effect in world.wait(0.5) if isinstance(effect, SendDatagram)]
    asked = [effect.peer for effect in asks if isinstance(effect.message, DocumentAsk)]
    assert len(asked) == 2
    assert announcer in asked


def test_proof_of_another_version_is_ignored() -> None:
    """A proof of a newer version is no proof here: that version may revoke the key."""
    world = StoreWorld()
    peer = add_peer(world, offset=5)
    asks = [effect for effect in world.wait(0.2) if isinstance(effect, SendDatagram)]
    (ask,) = [effect.message for effect in asks if isinstance(effect.message, DocumentAsk)]
    world.now += 4.5
    world.peer(peer, DocumentProof(5, ask.request_number, 0.0))
    assert (
        account_of(world.arrive("1", target=PLAIN, keyed=True)).account.outcome is Outcome.NOT_RUN
    )


def test_unrequested_proof_is_ignored() -> None:
    """A delayed or duplicated proof datagram is ignored."""
    world = StoreWorld()
    peer = add_peer(world)
    world.now += 4.5
    world.peer(peer, DocumentProof(1, 99, 0.0))
    assert (
        account_of(world.arrive("1", target=PLAIN, keyed=True)).account.outcome is Outcome.NOT_RUN
    )


def test_document_is_sent_to_a_peer_with_an_older_version() -> None:
    world = StoreWorld()
    peer = add_peer(world)
    world.give_document(4)
    sent = only(world.peer(peer, DocumentAsk(2, 1)), SendPeer)
    assert [effect.message for effect in sent] == [DocumentSend(4, b"raw")]
    assert only(world.peer(peer, DocumentSend(9, b"new")), DecodeDocument)
