"""Report to the other instances how much work waits for engines, by rank, kind and lateness.

The reports ride on the load updates (`load_updates`), each holds all that waits at its sender, and
a relay passes on the sum of its group. They are sent only where late requests go behind others.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from typing import TYPE_CHECKING

from turmericweir_core.base.config import ServiceClass
from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.base.tiers import scheduling_rank
from turmericweir_core.membership.subset import has_path
from turmericweir_core.messages.load_messages import WaitingRow
from turmericweir_core.state import queue_state
from turmericweir_core.state.waiting_state import WaitingReport

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def own_rows(
    state: State, target: Target, is_long: Callable[[ServiceClass], bool]
) -> list[WaitingRow]:
    """Return the work that waits at this instance.

    None is reported while this instance has no path to any server, as it takes no room then.
    """
    if not state.options.late.is_enabled or not has_path(state, target):
        return []
    rows = [
        WaitingRow(
            scheduling_rank(queue.service_class),
            is_long(queue.service_class),
            round(queue.work_ms - queue.overdue_work_ms),
            round(queue.overdue_work_ms),
        )
        for queue in queue_state.target_classes(state.queues, target)
        if len(queue)
    ]
    return sum_rows(rows)


def sum_rows(rows: Iterable[WaitingRow]) -> list[WaitingRow]:
    """Return the sum of several instances' rows."""
    sums: dict[tuple[int, bool], WaitingRow] = {}
    for row in rows:
        key = (row.rank, row.is_long)
        other = sums.get(key, WaitingRow(*key, 0, 0))
        sums[key] = WaitingRow(*key, other.in_time_ms + row.in_time_ms, other.late_ms + row.late_ms)
    return [sums[key] for key in sorted(sums)]


def record(
    state: State, now: float, sender: InstanceName, target: Target, rows: list[WaitingRow]
) -> None:
    """Record what a peer reported."""
    reports = state.waiting.peers.setdefault(target, {})
    if rows:
        reports[sender] = WaitingReport(now, rows)
    else:
        reports.pop(sender, None)


def reported_rows(
    state: State, now: float, target: Target, senders: Container[InstanceName] | None = None
) -> list[WaitingRow]:
    """Return the valid rows of the given peers, or of all."""
    return [
        row
        for name, report in state.waiting.peers.get(target, {}).items()
        if senders is None or name in senders
        if now - report.received_at <= state.options.late.report_valid_s
        for row in report.rows
    ]
