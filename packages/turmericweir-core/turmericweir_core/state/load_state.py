"""State of the exchange of load updates with other instances."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.peer_messages import LoadNews, LoadRow, SentPart
from turmericweir_core.state.engine_state import Heard
from turmericweir_core.state.membership_state import Member

_NEVER = float("-inf")


class Origin(Struct):
    """A source of load updates: an instance, or a relay for the instances behind it."""

    incarnation: str
    # Counter of its newest update.
    seq: int
    heard: Heard
    # Servers on which it has load.
    servers: set[ServerName] = field(default_factory=set)


class TellingPlan(Struct):
    """The instances to which this instance sends its load updates."""

    # True if there are few enough instances for each to send to all others, which are `direct`.
    is_direct: bool = True
    direct: list[Member] = field(default_factory=list)
    # The relay that forwards its updates; None if it sends directly or is a relay itself.
    teller: Member | None = None
    # The other relays of the region, if it is a relay.
    tellers: list[Member] = field(default_factory=list)
    due: float = _NEVER


class PassedOn(Struct):
    """Updates that a relay has received but not forwarded yet, and its last total."""

    # Instances that this one relays for, with their address and when they last sent.
    told_by: dict[InstanceName, tuple[str, float]] = field(default_factory=dict)
    # The newest update of each of them and of the other relays, with the time of receipt.
    news: dict[InstanceName, tuple[float, LoadNews]] = field(default_factory=dict)
    # Prompt parts that they have sent or that were prefilled.
    parts: list[SentPart] = field(default_factory=list)
    # Counter of the combined updates, and the rows of the newest one, by server.
    seq: int = 0
    rows: dict[ServerName, LoadRow] = field(default_factory=dict)
    send_due: float = _NEVER
    whole_due: float = _NEVER
    bundle_due: float = _NEVER


class NewsState(Struct):
    """State of `load_updates` and `load_relay`."""

    # Counter of this instance's updates.
    seq: int = 0
    origins: dict[InstanceName, Origin] = field(default_factory=dict)
    # No update is sent before the first time; an unchanged one is sent again after the second.
    send_due: float = _NEVER
    renew_due: float = _NEVER
    # The newest update had load, or an empty update still has to be repeated once.
    told_load: bool = False
    plan: TellingPlan = field(default_factory=TellingPlan)
    # When a message of the relay was last received; an unresponsive relay, and until when another
    # one is used in its place.
    teller_heard_at: float = _NEVER
    silent_teller: InstanceName | None = None
    silent_until: float = _NEVER
    passed_on: PassedOn = field(default_factory=PassedOn)
