"""How instances know each other, and leaving and announcing servers."""

from __future__ import annotations

from msgspec import Struct


class Word(Struct, frozen=True, array_like=True):
    """Status message of a gateway about its data centre."""

    data_centre: str
    # The key of the gateway, and its heartbeat counter at the time of sending.
    gateway_key: int
    seq: int
    # Hash of the keys of the live members.
    members_hash: int
    live_members: int
    # The lowest offset of the settings in force among the live members.
    settings_offset: int


class Mark(Struct, frozen=True, array_like=True):
    """Leaving notice: a backend server gets no new requests."""

    server: str
    incarnation: str
    drained: bool
    # Seconds since an instance last saw that the server is leaving.
    age_s: int


class LimitRow(Struct, frozen=True, array_like=True):
    """Statement of a backend server on the requests that it accepts from all instances."""

    server: str
    incarnation: str
    # Requests per second; None if it lifted its limit.
    requests_s: float | None
    # Milliseconds since an instance received the newest answer that says so.
    age_ms: int


class BrittleRow(Struct, frozen=True, array_like=True):
    """Statement of a backend server that it falls over if it refuses too many requests."""

    server: str
    incarnation: str
    # Refusals a second that it bears; None if it is not brittle any more.
    refusals_s: float | None
    # Milliseconds since an instance received the newest answer that says so.
    age_ms: int


class Heartbeat(Struct, frozen=True, array_like=True):
    """Gossip datagram: the sender is alive, with summaries of its membership state.

    Heartbeats are most of the control traffic and must be small. `counters` holds one ASCII
    character for each member, the lowest seven bits of its counter, in the order of the roster that
    `members_hash` identifies. A receiver with a different roster cannot decode them; for a while
    after any difference, `entries` holds the counters with their keys instead. Details are
    requested when a summary differs.
    """

    # Identity of the sender; all three are empty if the receiver knows it by its key.
    data_centre: str
    address: str
    incarnation: str
    # Increases with every gossip round of an incarnation; a lower one is ignored as delayed.
    seq: int
    leaving: bool
    settings_offset: int
    # Empty if omitted to save bytes.
    settings_hash: str
    # Hash of the keys of the roster of the sender's data centre.
    members_hash: int = 0
    # Hash of the sender's cluster and region.
    cluster_hash: int = 0
    # The sender's key: a hash of its name, incarnation and `leaving`.
    sender_key: int = 0
    # Digests of the leaving notices and of the platform's list, and the age of that list; -1 if the
    # sender has none.
    notices_hash: int = 0
    servers_hash: int = 0
    servers_age_s: int = -1
    # The highest offset of settings known to the sender in its data centre.
    newest_offset: int = 0
    counters: str = ""
    # How far the offset of each member is below the newest, at most 127; empty if none is.
    offset_lags: str = ""
    # Key, counter and lag of each member, one after the other.
    entries: list[int] = []
    status_messages: list[Word] = []
    leaving_notices: list[Mark] = []
    # Capacity of the sender's machine for relaying; 0 if omitted.
    machine_capacity: int = 0
    limits: list[LimitRow] = []
    brittle: list[BrittleRow] = []


class MemberRecord(Struct, frozen=True, array_like=True):
    """The identity of a member."""

    name: str
    data_centre: str
    region: str
    address: str
    incarnation: str
    leaving: bool
    # Earlier incarnations of this member, as far as the sender knows.
    earlier_incarnations: list[str] = []
    machine_capacity: int = 0


class MembersAsk(Struct, frozen=True, array_like=True):
    """Requests the records of these members, or with no keys the live ones of a data centre."""

    data_centre: str
    keys: list[int] = []


class MembersSend(Struct, frozen=True, array_like=True):
    """Member records, as requested."""

    data_centre: str
    # Hash of the keys of the live members; 0 if the records are not complete.
    members_hash: int
    records: list[MemberRecord] = []


class MarksAsk(Struct, frozen=True, array_like=True):
    """Requests all leaving notices."""


class MarksSend(Struct, frozen=True, array_like=True):
    """All leaving notices of the sender."""

    leaving_notices: list[Mark] = []
