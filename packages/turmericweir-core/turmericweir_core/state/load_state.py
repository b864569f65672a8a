"""What was told to and heard from other instances about the load of servers."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.peer_messages import LoadNews, LoadRow, SentPart
from turmericweir_core.state.engine_state import Heard
from turmericweir_core.state.membership_state import Member

_NEVER = float("-inf")


class Origin(Struct):
    """Whose news were taken: an instance, or all that tell one teller."""

    incarnation: str
    # The newest counter.
    seq: int
    heard: Heard
    # Servers on which it has something.
    servers: set[ServerName] = field(default_factory=set)


class TellingPlan(Struct):
    """Whom this instance tells its load, and who tells it that of others."""

    # Whether there are so few instances that each tells each; and these.
    is_direct: bool = True
    direct: list[Member] = field(default_factory=list)
    # The one that passes on what it tells; None where it tells all itself, or is one of them.
    teller: Member | None = None
    # The other tellers of the region, if it is one.
    tellers: list[Member] = field(default_factory=list)
    due: float = _NEVER


class PassedOn(Struct):
    """What a teller has heard and not passed on yet, and what it told last."""

    # Those that have this instance pass on what they tell, with their address and when they told.
    told_by: dict[InstanceName, tuple[str, float]] = field(default_factory=dict)
    # News of these, and of the other tellers, with when they came; the newest of each.
    news: dict[InstanceName, tuple[float, LoadNews]] = field(default_factory=dict)
    # Parts that these have sent or seen to be read.
    parts: list[SentPart] = field(default_factory=list)
    # Counter of the news of all that tell this instance, and what the newest said of each server.
    seq: int = 0
    rows: dict[ServerName, LoadRow] = field(default_factory=dict)
    send_due: float = _NEVER
    whole_due: float = _NEVER
    bundle_due: float = _NEVER


class NewsState(Struct):
    """The state of `load_news` and `load_relay`."""

    # Own counter of news.
    seq: int = 0
    origins: dict[InstanceName, Origin] = field(default_factory=dict)
    # No news go out before this time, and the same ones again after the other.
    send_due: float = _NEVER
    renew_due: float = _NEVER
    # The newest news named something, or that there is nothing is still to be told once more.
    told_load: bool = False
    plan: TellingPlan = field(default_factory=TellingPlan)
    # When the teller was last heard, and one that was not heard for long, with until when another
    # one is taken in its place.
    teller_heard_at: float = _NEVER
    silent_teller: InstanceName | None = None
    silent_until: float = _NEVER
    passed_on: PassedOn = field(default_factory=PassedOn)
