"""The part of the state that belongs to the placement of models, and to orders and weights."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.model_label import ModelLabel
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.records.lease_record import Scope


class OrderKind(StrEnum):
    """What an order tells a server to do."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(Struct, frozen=True):
    """One order that is due: the state that a server should have, of one label."""

    scope: Scope
    server: ServerName
    kind: OrderKind
    label: ModelLabel
    # No server anywhere has the model: it goes first and waits for no gap.
    urgent: bool = False
    # Servers of the scope that have the model; loads of the rarest go first.
    holders: int = 0
    # Follows an earlier order on the same server and need not wait for the gap.
    follows: bool = False

    @property
    def key(self) -> tuple[ServerName, OrderKind, str]:
        """Name it, so that a repetition is known as one."""
        return (self.server, self.kind, str(self.label))


class Usage(Struct, frozen=True):
    """What runs and waits for a model."""

    busy: float = 0.0
    waiting: int = 0


class Reported(Struct, frozen=True):
    """What one instance last told of its use of models."""

    at: float
    by_model: dict[str, Usage]


class ModelTarget(Struct):
    """How many servers of a scope should have a model, and why."""

    count: int
    # Slots in use and requests waiting, averaged; None until the first telling came.
    demand: float | None = None
    demand_at: float = 0.0
    # When anything ran or waited for the model, or it was first looked at.
    used_at: float = 0.0
    # When the count was last changed for demand.
    changed_at: float = float("-inf")
    # Where the model should be, as of the last look.
    chosen: frozenset[ServerName] = frozenset()


class ScopePlan(Struct):
    """What this instance has in mind for a scope, for as long as it is the one for it."""

    # Since when this instance is the one.
    since: float
    targets: dict[str, ModelTarget] = field(default_factory=dict)
    # When there was last something to order.
    busy_at: float = float("-inf")
    # When the servers were last asked for their reports.
    probed_at: float = float("-inf")


class OutOrder(Struct, frozen=True):
    """An order that was sent and not answered."""

    order: Order
    fence: int
    sent_at: float


class Tries(Struct):
    """How often an order was sent without a report that shows its effect."""

    count: int = 0
    sent_at: float = 0.0
    # Until then it counts as in effect, though no report shows it.
    next_at: float = 0.0


class Seen(Struct, frozen=True):
    """A report that this instance had from the server itself.

    Reports are passed on between instances as well, later and with less in them: an order judged by
    one of those would be given twice.
    """

    report: ServerReport
    at: float


class ModelState(Struct):
    """Everything about where models are."""

    plans: dict[Scope, ScopePlan] = field(default_factory=dict)
    # The newest report of each server of these scopes.
    seen: dict[ServerName, Seen] = field(default_factory=dict)
    # What instances told of their use of models, by scope.
    reported: dict[Scope, dict[InstanceName, Reported]] = field(default_factory=dict)
    # Sums of the samples of own use since the last telling: busy, waiting, by model.
    sampled: dict[str, Usage] = field(default_factory=dict)
    samples: int = 0
    sample_due: float = 0.0
    demand_due: float = 0.0
    alarm_due: float = 0.0
    round_due: float = 0.0
    # Orders on their way by token, at most one for each server.
    out: dict[str, OutOrder] = field(default_factory=dict)
    # Number of the newest order.
    number: int = 0
    tries: dict[tuple[ServerName, OrderKind, str], Tries] = field(default_factory=dict)
    # When each server was last told to change.
    changed_at: dict[ServerName, float] = field(default_factory=dict)
    # Loads that are due, the most needed first.
    loads: list[Order] = field(default_factory=list)
    # The load for which the weight store was asked, and since when.
    asking: Order | None = None
    asked_at: float = 0.0
    # The store is not asked before this.
    weights_due: float = 0.0
