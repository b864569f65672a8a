"""Claims: which request runs for a key, and what became of it."""

from __future__ import annotations

from msgspec import Struct


class ClaimAsk(Struct, frozen=True, array_like=True):
    """Asks for the result of the receiver's request that holds a key."""

    # Ids of the request that holds the key, and of the sender's request that waits for it.
    holder: str
    waiter: str
    # Peer address of the sender.
    address: str


class ClaimKept(Struct, frozen=True, array_like=True):
    """The result of a request that held a key, with its answer if that was stored."""

    waiter: str
    holder: str
    outcome: str
    reason: str
    status: int | None
    # False if the answer was too large to store.
    has_answer: bool
    headers: list[list[str]] = []
    # In Base64, as fields are text or numbers.
    body: str = ""


class ClaimOpen(Struct, frozen=True, array_like=True):
    """The request is in progress; its result will be sent when it ends."""

    waiter: str
    holder: str


class ClaimUnheld(Struct, frozen=True, array_like=True):
    """The sender knows no such request."""

    waiter: str
    holder: str
    # Offset up to which the sender has read the claims stream, which may hold a withdrawal.
    offset: int


class ClaimVoteAsk(Struct, frozen=True, array_like=True):
    """Asks for agreement that this request runs for the key; see `claim_vote`."""

    # The epoch of the view that the vote belongs to.
    epoch: int
    key: str
    fingerprint: str
    request_id: str
    # The asking process, and its peer address.
    incarnation: str
    address: str


class ClaimVote(Struct, frozen=True, array_like=True):
    """The vote on a claim."""

    epoch: int
    request_id: str
    # Incarnation of the voting process.
    voter: str
    is_agreed: bool
    # If not agreed: the request that holds the key according to the voter, and its instance.
    holder: str = ""
    holder_fingerprint: str = ""
    holder_instance: str = ""
    holder_incarnation: str = ""
    holder_address: str = ""
    # The holder's claim is in the log.
    is_in_log: bool = False


class ClaimRelease(Struct, frozen=True, array_like=True):
    """Releases an agreed claim whose request never ran and never will."""

    key: str
    request_id: str
