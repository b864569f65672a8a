"""State of the placement of models: plans, orders to servers and weights."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.model_label import ModelLabel
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.records.lease_record import LeaseScope


class OrderKind(StrEnum):
    """The action that an order requests from a server."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(Struct, frozen=True):
    """An order to load or unload one model label on a server."""

    scope: LeaseScope
    server: ServerName
    kind: OrderKind
    label: ModelLabel
    # No server has the model: the order goes first and does not wait for the pause between orders.
    is_urgent: bool = False
    # Number of servers of the scope that have the model; those with the fewest are loaded first.
    holder_count: int = 0
    # Follows an earlier order to the same server and need not wait for the pause.
    is_follow_up: bool = False

    @property
    def key(self) -> tuple[ServerName, OrderKind, str]:
        """Return the key that identifies repetitions of the order."""
        return (self.server, self.kind, str(self.label))


class ModelUsage(Struct, frozen=True):
    """Running and waiting requests of a model."""

    busy: float = 0.0
    waiting: int = 0


class ReportedModelUsage(Struct, frozen=True):
    """The newest report of one instance about its use of models."""

    received_at: float
    by_model: dict[str, ModelUsage]


class ModelTarget(Struct):
    """The number of servers of a scope that should have a model, and its basis."""

    count: int
    # Average of slots in use plus waiting requests; None until the first report.
    demand: float | None = None
    demand_at: float = 0.0
    # When a request last ran or waited for the model, or when it was first evaluated.
    used_at: float = 0.0
    # When the count was last changed because of demand.
    changed_at: float = float("-inf")
    # Servers that should have the model, as of the last evaluation.
    chosen_servers: frozenset[ServerName] = frozenset()


class ScopePlan(Struct):
    """The plan for a scope while this instance holds the lease of the scope."""

    # Since when this instance is responsible for the scope.
    responsible_since: float
    targets: dict[str, ModelTarget] = field(default_factory=dict)
    # When an order was last needed.
    busy_at: float = float("-inf")
    # When the servers were last asked for their reports.
    probed_at: float = float("-inf")


class SentOrder(Struct, frozen=True):
    """An order that was sent and not answered yet."""

    order: Order
    fence: int
    sent_at: float


class OrderAttempts(Struct):
    """Number of attempts at an order whose effect no report has confirmed."""

    count: int = 0
    sent_at: float = 0.0
    # Until then the order is assumed to be in effect although no report confirms it.
    next_at: float = 0.0


class DirectReport(Struct, frozen=True):
    """A report received directly from the server.

    Reports forwarded by other instances are delayed and less complete: an order that is checked
    against one would be sent twice.
    """

    report: ServerReport
    received_at: float


class ModelState(Struct):
    """State of the placement of models."""

    plans: dict[LeaseScope, ScopePlan] = field(default_factory=dict)
    # The newest report of each server in the scopes of `plans`.
    direct_reports: dict[ServerName, DirectReport] = field(default_factory=dict)
    # Reports of the instances about their use of models, by scope.
    reported: dict[LeaseScope, dict[InstanceName, ReportedModelUsage]] = field(default_factory=dict)
    # Sums of the samples of this instance's use since its last report, by model.
    sampled: dict[str, ModelUsage] = field(default_factory=dict)
    samples: int = 0
    next_sample_at: float = 0.0
    next_demand_at: float = 0.0
    next_alarm_at: float = 0.0
    next_round_at: float = 0.0
    # Orders in flight by token, at most one for each server.
    orders_in_flight: dict[str, SentOrder] = field(default_factory=dict)
    # Number of the newest order.
    number: int = 0
    order_attempts: dict[tuple[ServerName, OrderKind, str], OrderAttempts] = field(
        default_factory=dict
    )
    # When each server was last sent an order.
    changed_at: dict[ServerName, float] = field(default_factory=dict)
    # Pending load orders, the most urgent first.
    pending_loads: list[Order] = field(default_factory=list)
    # The load order for which the weight store was queried, and since when.
    queried_load: Order | None = None
    queried_at: float = 0.0
    # When the store may be queried next.
    next_weights_query_at: float = 0.0
