"""State of the membership: the other instances, as this one knows them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName

if TYPE_CHECKING:
    from turmericweir_core.messages.membership_messages import Word

NEVER: Final = float("-inf")


# Retired incarnations that are stored per name, to ignore delayed status messages of these.
MAX_RETIRED: Final = 8


class Member(Struct):
    """One instance; this instance is a member as well."""

    name: InstanceName
    data_centre: str
    # "ip:port" for TCP and UDP alike.
    peer_address: str
    # Empty until the member or a peer reports it: the platform's list does not contain it.
    region: str = ""
    incarnation: str = ""
    # The newest heartbeat counter, or None while only the list or a record names the member.
    seq: int | None = None
    # When an increase of the counter was last received, by this instance's clock.
    last_seen_at: float = NEVER
    # When the list or a record last named it; used to delete members that are no longer reported.
    reported_at: float = NEVER
    # When this instance last contacted it for discovery, because it was not known to be live.
    contacted_at: float = NEVER
    # It refuses new work; never unset for an incarnation.
    leaving: bool = False
    # Offset of the settings in force there.
    settings_offset: int = 0
    # Capacity of its machine for relaying.
    machine_capacity: int = 0
    # Incarnations that were replaced, oldest first, and incarnations that were leaving.
    retired_incarnations: tuple[str, ...] = ()
    left_incarnations: tuple[str, ...] = ()


class RemoteCentre(Struct):
    """Another data centre, as described by the status messages of its gateways."""

    name: str
    region: str = ""
    last_seen_at: float = NEVER
    # The newest status message that was accepted.
    status_message: Word | None = None
    # The newest counter received from each gateway, by its key; older status messages are ignored.
    seqs: dict[int, int] = field(default_factory=dict)
    # The members, as last reported, and the hash of that roster.
    roster: frozenset[InstanceName] = frozenset()
    roster_hash: int = 0
    # When the members were last requested.
    roster_requested_at: float = NEVER


class CentreView(Struct, frozen=True):
    """The newest status of one data centre, for decisions and for operators."""

    name: str
    region: str
    last_seen_at: float
    # Its status is fresh. For an unreachable data centre the other fields are the last known ones.
    reachable: bool
    live: int
    # The lowest offset of the settings in force on its live instances.
    settings_offset: int


class Membership(Struct):
    """All members and the state of the gossip."""

    by_name: dict[InstanceName, Member] = field(default_factory=dict)
    # Names of the members by key; see `member_key`.
    name_by_key: dict[int, InstanceName] = field(default_factory=dict)
    centres: dict[str, RemoteCentre] = field(default_factory=dict)
    # Addresses from the settings file of the process, for discovery while the platform is down.
    seeds: tuple[str, ...] = ()
    # This instance's heartbeat counter.
    seq: int = 0
    # Number of the gossip round; determines the next partners.
    gossip_round: int = 0
    # Keys and names of the roster of this data centre, in the order of the keys.
    roster: tuple[int, ...] = ()
    roster_names: tuple[InstanceName, ...] = ()
    roster_hash: int = 0
    # Recent rosters by hash, because peers that lag send counters in their order. They contain
    # keys, as a name may by now belong to another incarnation.
    past_rosters: OrderedDict[int, tuple[int, ...]] = field(default_factory=OrderedDict)
    # Until then counters are sent with their keys, because the rosters of some instances differ.
    rosters_differ_until: float = NEVER
    next_round_at: float = NEVER
    next_candidate_at: float = NEVER
    next_status_at: float = NEVER
    # When a peer that sends no identity may be contacted again.
    next_unidentified_at: float = NEVER
    # When unknown keys may be requested again.
    next_key_request_at: float = NEVER
    # When the list of servers may be requested again.
    next_servers_request_at: float = NEVER
    # Since when the leaving notices of a peer differ from this instance's. Recorded per peer,
    # because one peer may have more notices although all others agree with this instance.
    notices_differ_since: dict[InstanceName, float] = field(default_factory=dict)
    # Time of the first tick.
    started_at: float | None = None
    # Time of the last tick. A gap before the next tick means that this process was paused.
    last_tick_at: float | None = None
    # Heartbeats before this time are no proof of liveness; see `membership_gossip.detect_pause`.
    trust_after: float = NEVER
    # Number of dropped messages, by reason.
    noise: dict[str, int] = field(default_factory=dict)
