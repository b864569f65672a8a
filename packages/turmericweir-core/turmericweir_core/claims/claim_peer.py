"""Messages between the instance that runs a call for a key and those whose callers sent it again.

The asking instance drives: it asks again until it is answered, so a lost message costs only time,
and the instance that ran the call remembers who asked only to answer at once when the call ends.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Final

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import Effect, SendPeer
from turmericweir_core.messages.peer_messages import ClaimAsk, ClaimKept, ClaimOpen, ClaimUnheld
from turmericweir_core.records.claim_answer import KeptAnswer, KeptEnd
from turmericweir_core.records.claim_record import ClaimEnd
from turmericweir_core.state.claim_state import Asker, Wait
from turmericweir_core.state.state import State

# Headers are bytes by the protocol; this encoding maps each to one character and back.
LATIN: Final = "latin-1"

# --- the side that ran the call --------------------------------------------------------------


def on_ask(state: State, sender: InstanceName, ask: ClaimAsk) -> list[Effect]:
    """Tell what became of a request that was claimed here."""
    asker = Asker(sender, ask.address, ask.waiter)
    kept = state.claims.answers.entries.get(ask.holder)
    if kept is not None:
        return [told_kept(state, asker, ask.holder, kept)]
    if RequestId(ask.holder) in state.requests:
        askers = state.claims.askers.setdefault(ask.holder, [])
        if asker not in askers:
            askers.append(asker)
        return [_tell(asker, ClaimOpen(ask.waiter, ask.holder))]
    if ask.holder in state.claims.withdrawing:
        # It never ran, and the asker will read so in the log. To be told that nothing is known of
        # it would have its caller told that it may have run.
        return [_tell(asker, ClaimOpen(ask.waiter, ask.holder))]
    return [_tell(asker, ClaimUnheld(ask.waiter, ask.holder, state.claims.ledger.offset))]


def told_kept(state: State, asker: Asker, holder: str, kept: KeptEnd) -> Effect:
    """Build the message that tells an asker how a call ended."""
    answer = kept.answer
    message = ClaimKept(
        waiter=asker.waiter,
        holder=holder,
        outcome=kept.end.outcome.value,
        reason=kept.end.reason.value,
        status=kept.end.status,
        has_answer=answer is not None,
        headers=[[_text(part) for part in each] for each in answer.headers] if answer else [],
        body=b64encode(answer.body).decode() if answer else "",
    )
    return _tell(asker, message)


def _tell(asker: Asker, message: ClaimKept | ClaimOpen | ClaimUnheld) -> Effect:
    return SendPeer(asker.peer, asker.address, message)


# --- the side that asks ----------------------------------------------------------------------


def ask_holder(
    state: State, now: float, wait: Wait, holder: str, peer: str, address: str
) -> list[Effect]:
    """Ask the instance that holds the key, unless it was asked a moment ago."""
    if now < wait.ask_due:
        return []
    wait.ask_due = now + state.options.claim_ask_s
    ask = ClaimAsk(holder=holder, waiter=wait.request_id, address=state.me.peer_address)
    return [SendPeer(InstanceName(peer), address, ask)]


def end_told(message: ClaimKept) -> KeptEnd | None:
    """Read an end out of a message; None where it makes no sense to this release."""
    try:
        end = ClaimEnd(Outcome(message.outcome), Reason(message.reason), message.status)
    except ValueError:
        return None
    if not message.has_answer or message.status is None:
        return KeptEnd(end, None)
    try:
        headers = tuple(
            (name.encode(LATIN), value.encode(LATIN)) for name, value in message.headers
        )
        body = b64decode(message.body, validate=True)
    except ValueError:
        return KeptEnd(end, None)
    return KeptEnd(end, KeptAnswer(message.status, headers, body))


def _text(part: bytes) -> str:
    return part.decode(LATIN)
