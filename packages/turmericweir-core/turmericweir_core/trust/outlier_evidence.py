"""Weigh the results at servers: what counts of them, and how the others of a service do.

Rows of peers count only beside an own failure, or where there is no own result and several
instances say so.
"""

from __future__ import annotations

from collections.abc import Container
from math import sqrt
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.ids import ServerName
from turmericweir_core.state.outlier_state import (
    FailureKind,
    Result,
    ServerResults,
    counted_failures,
    is_valid,
)

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Instances that must say so where this one has no results of its own.
_REPORTERS_MIN: Final = 2


class Tally(Struct, frozen=True):
    """The results at one server that count."""

    tried: int
    failed: int
    # The kind of the newest failure.
    kind: FailureKind | None = None
    newest_at: float = 0.0
    oldest_at: float = 0.0
    fails_late: bool = False
    # Failures since the server last showed that it is well.
    in_a_row: int = 0


class Evidence(Struct, frozen=True):
    """What speaks for the ejection of a server."""

    own: Tally
    # With the results of peers.
    tried: int
    failed: int
    reporters: int
    failure_bound: float
    others_share: float


def lower_bound(failed: int, tried: int, deviations: float) -> float:
    """Return the lower bound of Wilson's interval for a share."""
    if not tried:
        return 0.0
    share, square = failed / tried, deviations**2
    centre = share + square / (2 * tried)
    spread = deviations * sqrt(share * (1 - share) / tried + square / (4 * tried**2))
    return (centre - spread) / (1 + square / tried)


def tallies_of(state: State, now: float, service: str) -> dict[ServerName, Tally]:
    """Return what counts of the results at each server of a service."""
    tallies: dict[ServerName, Tally] = {}
    for name, server in state.servers.by_name.items():
        if server.service.name != service:
            continue
        record = state.outliers.by_server.get(name)
        if record is not None:
            tallies[name] = _tally(state, now, record)
        elif _runs_answers(state, name):
            tallies[name] = Tally(0, 0)
    return tallies


def _runs_answers(state: State, name: ServerName) -> bool:
    """Return whether answers of this instance's requests have begun at a server."""
    record = state.engines.by_server.get(name)
    return record is not None and bool(record.running)


def _tally(state: State, now: float, record: ServerResults) -> Tally:
    window_s = state.options.outlier.window_s
    while record.results and now - record.results[0].at > window_s:
        record.results.popleft()
    succeeded = [each for each in record.results if each.kind is None]
    failed = counted_failures(state.outliers, state.options.outlier, now, record)
    if not failed:
        return Tally(len(succeeded), 0)
    newest = max(failed, key=lambda each: each.at)
    return Tally(
        len(succeeded) + len(failed),
        len(failed),
        newest.kind,
        newest.at,
        min(each.at for each in failed),
        any(each.has_begun for each in failed),
        _in_a_row(succeeded, failed),
    )


def _in_a_row(succeeded: list[Result], failed: list[Result]) -> int:
    """Count the failures since the last sign that a server is well.

    For answers that fail after they have begun, only the end of another one is a sign.
    """
    shown_at = max((each.shown_at for each in succeeded), default=float("-inf"))
    ended_at = max((each.at for each in succeeded), default=float("-inf"))
    return sum(each.at > (ended_at if each.has_begun else shown_at) for each in failed)


def others_share(state: State, tallies: dict[ServerName, Tally], name: ServerName) -> float:
    """Return the mean share of failures of the other servers.

    The mean of shares, not of requests, since a server that fails at once gets the most of these.
    """
    shares = []
    for other, tally in tallies.items():
        if other == name:
            continue
        ejection = state.outliers.ejected.get(other)
        if ejection is not None:
            shares.append(ejection.share)
        elif tally.tried or _runs_answers(state, other):
            shares.append(share_of(tally.failed, tally.tried))
    return sum(shares) / len(shares) if shares else 0.0


def share_of(failed: int, tried: int) -> float:
    """Return a share of failures, lower where there are few results."""
    return failed / (tried + 1)


def evidence_of(
    state: State, now: float, name: ServerName, tallies: dict[ServerName, Tally]
) -> Evidence:
    """Return the results at a server, of this instance and of those peers that support them."""
    options = state.options.outlier
    own = tallies.get(name, Tally(0, 0))
    peers = [
        peer.row
        for peer in state.outliers.peers.get(name, {}).values()
        if is_valid(peer, options, now)
    ]
    reporters = sum(row.reporters for row in peers)
    is_supported = bool(own.failed) or (not own.tried and reporters >= _REPORTERS_MIN)
    tried, failed = own.tried, own.failed
    if is_supported:
        tried += sum(row.tried for row in peers)
        failed += sum(row.failed for row in peers)
    return Evidence(
        own,
        tried,
        failed,
        reporters if is_supported else 0,
        lower_bound(failed, tried, options.confidence),
        others_share(state, tallies, name),
    )


def slots_share(state: State, service: str, names: Container[ServerName]) -> float:
    """Return the share of the slots of a service that some of its servers have."""
    total = named = 0
    for server in state.servers.by_name.values():
        if server.service.name != service or server.leaving or server.drained:
            continue
        is_named = server.entry.name in names
        total += server.slots if is_named or server.unreachable_until == 0.0 else 0
        named += server.slots if is_named else 0
    return named / max(1, total)
