"""Compute the orders that bring the models of servers to the wanted state.

The orders of each round are computed again from the servers' reports, and each states a result
(this label loaded, that one not). Lost, repeated or delayed orders of earlier rounds therefore do
no harm.

Three rules keep models available. A version is replaced on one server at a time, and the new
version is loaded before the old one is unloaded. A server unloads a model only if enough others
report it. These rules take into account the orders whose effect is not reported yet.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import ModelLabel
from turmericweir_core.leases.model_placement import Holding
from turmericweir_core.records.lease_record import LeaseScope
from turmericweir_core.state.model_state import Order, OrderKind


class WantedModel(Struct, frozen=True):
    """The servers that should have a model, and its version."""

    model: str
    version: str
    servers: frozenset[ServerName]
    # Minimum number of servers that have the model at any time.
    least: int
    # No server has the model.
    missing: bool = False


def orders_for_model(
    scope: LeaseScope, wanted: WantedModel, holdings: Sequence[Holding]
) -> list[Order]:
    """Return the due orders for one model."""
    holder_count = sum(1 for holding in holdings if holding.has_model(wanted.model))
    orders = _loads(scope, wanted, holdings, holder_count)
    return orders + _unloads(scope, wanted, holdings, holder_count)


# --- loading ---------------------------------------------------------------------------------


def _loads(
    scope: LeaseScope, wanted: WantedModel, holdings: Sequence[Holding], holder_count: int
) -> list[Order]:
    label = ModelLabel(wanted.model, wanted.version)
    orders: list[Order] = []
    is_rolling = any(_is_changing_version(wanted, holding) for holding in holdings)
    for holding in holdings:
        if holding.server not in wanted.servers or _has_or_loads_wanted_version(wanted, holding):
            continue
        is_replacement = holding.has_or_loads(wanted.model)
        if is_replacement and is_rolling:
            continue
        is_rolling = is_rolling or is_replacement
        orders.append(
            Order(
                scope,
                holding.server,
                OrderKind.LOAD,
                label,
                wanted.missing,
                holder_count=holder_count,
            )
        )
    return orders


def _has_or_loads_wanted_version(wanted: WantedModel, holding: Holding) -> bool:
    return any(label.is_model_version(wanted.model, wanted.version) for label in holding.labels)


def _has_wanted_version(wanted: WantedModel, holding: Holding) -> bool:
    return any(label.is_model_version(wanted.model, wanted.version) for label in holding.loaded)


def _old_labels(wanted: WantedModel, holding: Holding) -> list[ModelLabel]:
    return [
        label
        for label in holding.labels
        if label.model == wanted.model
        and not label.adapter
        and not label.is_model_version(wanted.model, wanted.version)
    ]


def _is_changing_version(wanted: WantedModel, holding: Holding) -> bool:
    """Return whether a server is changing from one version to another."""
    return _has_or_loads_wanted_version(wanted, holding) and bool(_old_labels(wanted, holding))


# --- unloading -------------------------------------------------------------------------------


def _unloads(
    scope: LeaseScope, wanted: WantedModel, holdings: Sequence[Holding], holder_count: int
) -> list[Order]:
    orders: list[Order] = []
    # Servers with an unload order count as gone. Prevents two servers from unloading the last
    # copies at once.
    remaining = holder_count
    for holding in holdings:
        if holding.server in wanted.servers:
            if _has_wanted_version(wanted, holding):
                orders += _unload(
                    scope, holding, _old_labels(wanted, holding), holder_count, is_follow_up=True
                )
            continue
        labels = [*_old_labels(wanted, holding), *_wanted_labels(wanted, holding)]
        if not labels:
            continue
        is_holder = holding.has_model(wanted.model)
        if is_holder and remaining - 1 < wanted.least:
            continue
        remaining -= 1 if is_holder else 0
        orders += _unload(scope, holding, labels, holder_count, is_follow_up=False)
    return orders


def _wanted_labels(wanted: WantedModel, holding: Holding) -> list[ModelLabel]:
    return [
        label for label in holding.labels if label.is_model_version(wanted.model, wanted.version)
    ]


def _unload(
    scope: LeaseScope,
    holding: Holding,
    labels: list[ModelLabel],
    holder_count: int,
    *,
    is_follow_up: bool,
) -> list[Order]:
    return [
        Order(
            scope,
            holding.server,
            OrderKind.UNLOAD,
            label,
            holder_count=holder_count,
            is_follow_up=is_follow_up,
        )
        for label in labels
    ]
