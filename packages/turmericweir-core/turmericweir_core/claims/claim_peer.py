"""Messages between the instance that runs the call of a key and instances with repeated calls.

The asking instance repeats its query until it is answered, so a lost message only causes delay.
The instance that runs the call stores the askers to answer them as soon as the call ends.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Final

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.claim_messages import ClaimAsk, ClaimKept, ClaimOpen, ClaimUnheld
from turmericweir_core.messages.effects import Effect, SendPeer
from turmericweir_core.records.claim_answer import StoredAnswer, StoredEnd
from turmericweir_core.records.claim_record import ClaimEnd
from turmericweir_core.state.claim_state import RemoteWaiter, Wait
from turmericweir_core.state.state import State

# Maps each byte of a header to one character and back.
HEADER_ENCODING: Final = "latin-1"

# --- the side that ran the call --------------------------------------------------------------


def on_ask(state: State, sender: InstanceName, ask: ClaimAsk) -> list[Effect]:
    """Answer a query about the state of a request that this instance claimed."""
    asker = RemoteWaiter(sender, ask.address, ask.waiter)
    stored_end = state.claims.answers.entries.get(ask.holder)
    if stored_end is not None:
        return [stored_end_message(state, asker, ask.holder, stored_end)]
    if RequestId(ask.holder) in state.requests:
        askers = state.claims.remote_waiters.setdefault(ask.holder, [])
        if asker not in askers:
            askers.append(asker)
        return [_reply(asker, ClaimOpen(ask.waiter, ask.holder))]
    if ask.holder in state.claims.withdrawing:
        # The request never ran, and the asker will read its withdrawal in the log. Prevents the
        # asker from reporting to its caller that the call may have run.
        return [_reply(asker, ClaimOpen(ask.waiter, ask.holder))]
    return [_reply(asker, ClaimUnheld(ask.waiter, ask.holder, state.claims.ledger.offset))]


def stored_end_message(
    state: State, asker: RemoteWaiter, holder: str, stored_end: StoredEnd
) -> Effect:
    """Return the message that reports the end of a call to an asker."""
    answer = stored_end.answer
    message = ClaimKept(
        waiter=asker.waiter,
        holder=holder,
        outcome=stored_end.end.outcome.value,
        reason=stored_end.end.reason.value,
        status=stored_end.end.status,
        has_answer=answer is not None,
        headers=(
            [[_decode_header(part) for part in each] for each in answer.headers] if answer else []
        ),
        body=b64encode(answer.body).decode() if answer else "",
    )
    return _reply(asker, message)


def _reply(asker: RemoteWaiter, message: ClaimKept | ClaimOpen | ClaimUnheld) -> Effect:
    return SendPeer(asker.peer, asker.address, message)


# --- the side that asks ----------------------------------------------------------------------


def ask_holder(
    state: State, now: float, wait: Wait, holder: str, peer: str, address: str
) -> list[Effect]:
    """Query the instance that holds the key, unless the next query is not due yet."""
    if now < wait.next_query_at:
        return []
    wait.next_query_at = now + state.options.claim_ask_s
    ask = ClaimAsk(holder=holder, waiter=wait.request_id, address=state.me.peer_address)
    return [SendPeer(InstanceName(peer), address, ask)]


def end_from_message(message: ClaimKept) -> StoredEnd | None:
    """Return the end that a message reports, or None if it has values unknown to this release."""
    try:
        end = ClaimEnd(Outcome(message.outcome), Reason(message.reason), message.status)
    except ValueError:
        return None
    if not message.has_answer or message.status is None:
        return StoredEnd(end, None)
    try:
        headers = tuple(
            (name.encode(HEADER_ENCODING), value.encode(HEADER_ENCODING))
            for name, value in message.headers
        )
        body = b64decode(message.body, validate=True)
    except ValueError:
        return StoredEnd(end, None)
    return StoredEnd(end, StoredAnswer(message.status, headers, body))


def _decode_header(part: bytes) -> str:
    return part.decode(HEADER_ENCODING)
