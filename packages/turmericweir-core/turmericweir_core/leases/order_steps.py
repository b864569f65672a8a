"""What is to be ordered so that servers come to have what they should: wanted against reported.

The orders of a round are worked out afresh from the servers' reports, each stating an end (this
label loaded, that one not). So it does not matter which earlier order was lost, given twice, or
given late by a holder that had been paused: the next round sees what came of it and orders what is
still missing.

Three rules keep callers served. A version is replaced on one server at a time, the new one loaded
before the old one goes. No server unloads a model unless enough others report that they have it.
And an order whose effect is not reported yet counts against both.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import ModelLabel
from turmericweir_core.leases.model_placement import Holding
from turmericweir_core.records.lease_record import Scope
from turmericweir_core.state.model_state import Order, OrderKind


class WantedModel(Struct, frozen=True):
    """Where a model should be, in which version."""

    model: str
    version: str
    servers: frozenset[ServerName]
    # Servers that must have it at any time.
    least: int
    # No server anywhere has it.
    missing: bool = False


def steps(scope: Scope, wanted: WantedModel, holdings: Sequence[Holding]) -> list[Order]:
    """List the orders that are due for one model."""
    holders = sum(1 for each in holdings if each.has(wanted.model))
    found = _loads(scope, wanted, holdings, holders)
    return found + _unloads(scope, wanted, holdings, holders)


# --- loading ---------------------------------------------------------------------------------


def _loads(
    scope: Scope, wanted: WantedModel, holdings: Sequence[Holding], holders: int
) -> list[Order]:
    label = ModelLabel(wanted.model, wanted.version)
    found: list[Order] = []
    rolling = any(_is_between(wanted, each) for each in holdings)
    for each in holdings:
        if each.server not in wanted.servers or _gets_wanted(wanted, each):
            continue
        replaces = each.gets(wanted.model)
        if replaces and rolling:
            continue
        rolling = rolling or replaces
        found.append(
            Order(scope, each.server, OrderKind.LOAD, label, wanted.missing, holders=holders)
        )
    return found


def _gets_wanted(wanted: WantedModel, each: Holding) -> bool:
    return any(label.is_of(wanted.model, wanted.version) for label in each.labels)


def _has_wanted(wanted: WantedModel, each: Holding) -> bool:
    return any(label.is_of(wanted.model, wanted.version) for label in each.loaded)


def _old_labels(wanted: WantedModel, each: Holding) -> list[ModelLabel]:
    return [
        label
        for label in each.labels
        if label.model == wanted.model
        and not label.adapter
        and not label.is_of(wanted.model, wanted.version)
    ]


def _is_between(wanted: WantedModel, each: Holding) -> bool:
    """Tell whether a server is on its way from one version to another."""
    return _gets_wanted(wanted, each) and bool(_old_labels(wanted, each))


# --- unloading -------------------------------------------------------------------------------


def _unloads(
    scope: Scope, wanted: WantedModel, holdings: Sequence[Holding], holders: int
) -> list[Order]:
    found: list[Order] = []
    # Failure: two servers are told at once to unload what either of them could have spared, and
    # callers of the model wait until their deadlines. Each one that is told counts as gone.
    left = holders
    for each in holdings:
        if each.server in wanted.servers:
            if _has_wanted(wanted, each):
                found += _unload(scope, each, _old_labels(wanted, each), holders, follows=True)
            continue
        labels = [*_old_labels(wanted, each), *_wanted_labels(wanted, each)]
        if not labels:
            continue
        serves = each.has(wanted.model)
        if serves and left - 1 < wanted.least:
            continue
        left -= 1 if serves else 0
        found += _unload(scope, each, labels, holders, follows=False)
    return found


def _wanted_labels(wanted: WantedModel, each: Holding) -> list[ModelLabel]:
    return [label for label in each.labels if label.is_of(wanted.model, wanted.version)]


def _unload(
    scope: Scope, each: Holding, labels: list[ModelLabel], holders: int, *, follows: bool
) -> list[Order]:
    return [
        Order(scope, each.server, OrderKind.UNLOAD, label, holders=holders, follows=follows)
        for label in labels
    ]
