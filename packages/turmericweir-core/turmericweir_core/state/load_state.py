"""State of the exchange of load updates with other instances."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.load_messages import LoadNews, LoadRow, SentPart
from turmericweir_core.messages.pace_messages import PaceRow
from turmericweir_core.state.engine_state import ReceiptTime
from turmericweir_core.state.membership_state import Member

_NEVER = float("-inf")


class UpdateSource(Struct):
    """A source of load updates: an instance, or a relay for the instances behind it."""

    incarnation: str
    # Counter of its newest update.
    seq: int
    last_receipt: ReceiptTime
    # Servers on which it has load.
    servers: set[ServerName] = field(default_factory=set)


class RelayPlan(Struct):
    """The instances to which this instance sends its load updates."""

    # True if there are few enough instances for each to send to all others, which are
    # `direct_peers`.
    is_direct: bool = True
    direct_peers: list[Member] = field(default_factory=list)
    # The relay that forwards its updates; None if it sends directly or is a relay itself.
    own_relay: Member | None = None
    # The other relays of the region, if it is a relay.
    other_relays: list[Member] = field(default_factory=list)
    next_plan_at: float = _NEVER


class RelayedUpdates(Struct):
    """Updates that a relay has received but not forwarded yet, and its last combined update."""

    # Instances that this one relays for, with their address and when they last sent.
    group_members: dict[InstanceName, tuple[str, float]] = field(default_factory=dict)
    # The newest update of each of them and of the other relays, with the time of receipt.
    newest_updates: dict[InstanceName, tuple[float, LoadNews]] = field(default_factory=dict)
    # Prompt parts that they have sent or that were prefilled.
    parts: list[SentPart] = field(default_factory=list)
    # Prefill times that they have observed.
    paces: list[PaceRow] = field(default_factory=list)
    # Counter of the combined updates, and the rows of the newest one, by server.
    seq: int = 0
    rows: dict[ServerName, LoadRow] = field(default_factory=dict)
    next_send_at: float = _NEVER
    next_complete_sum_at: float = _NEVER
    next_bundle_at: float = _NEVER
    # When the other relays get the sum at the latest.
    next_sum_at: float = _NEVER


class LoadUpdateState(Struct):
    """State of `load_updates` and `load_relay`."""

    # Counter of this instance's updates.
    seq: int = 0
    sources: dict[InstanceName, UpdateSource] = field(default_factory=dict)
    # Earliest time of the next update, and the time at which an unchanged one is sent again.
    next_send_at: float = _NEVER
    next_renewal_at: float = _NEVER
    # The newest update contained load, or an empty one still has to be repeated once.
    needs_renewal: bool = False
    plan: RelayPlan = field(default_factory=RelayPlan)
    # When a message of the relay was last received.
    relay_seen_at: float = _NEVER
    # An unresponsive relay, and until when another one is used in its place.
    unresponsive_relay: InstanceName | None = None
    avoid_relay_until: float = _NEVER
    relayed_updates: RelayedUpdates = field(default_factory=RelayedUpdates)
