"""Hold back less urgent requests from the engines that more urgent, overdue ones wait for.

All instances send to the same engines. An instance without urgent requests would send its long
prompts to the engines that urgent requests at other instances wait for. So each instance reports
its overdue requests along with its load (`load_updates`): how many of each rank wait too long or
were just refused, and whether they tolerate long prompts beside them.

A request is held back only where it would take room from such requests. A long prompt delays every
request on its engine, and overdue requests of all kinds may use the engines of long prompts, so it
waits for all of them. Any other request waits for those that need the engines of its kind, and only
while these engines have no more free slots than there are such requests. Prevents one instance that
finds no room, or that waits for other engines, from leaving all others beside free slots.

A class served by its assured share is exempt, so the lowest class is served under lasting overload
as well.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container, Iterable
from itertools import islice
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import ServiceClass
from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.base.tiers import scheduling_rank
from turmericweir_core.membership.subset import has_path
from turmericweir_core.messages.load_messages import OverdueRow
from turmericweir_core.state import queue_state
from turmericweir_core.state.overdue_state import OverdueReport, OverdueTotal

if TYPE_CHECKING:
    from turmericweir_core.base.request import Request
    from turmericweir_core.state.state import State

# Share of its start target after which a waiting request counts as overdue. A smaller share would
# hold back long prompts in every short burst.
_OVERDUE_SHARE: Final = 1.0
# Validity of a peer's report, which is renewed every half second.
_REPORT_VALID_S: Final = 1.2
# How long a refusal counts as one overdue request.
_REFUSAL_VALID_S: Final = 1.0
# Overdue requests of one class that are counted. Bounds the cost of a report.
_COUNTED_MAX: Final = 256


def overdue_rows(
    state: State, now: float, target: Target, is_long: Callable[[ServiceClass], bool]
) -> list[OverdueRow]:
    """Return the overdue requests of this instance by rank and kind.

    None are reported while this instance has no path to any server. Prevents requests that cannot
    be sent from here from holding back those of all other instances.
    """
    if not has_path(state, target):
        return []
    counts: Counter[tuple[int, bool]] = Counter()
    for queue in queue_state.target_classes(state.queues, target):
        count = _count_overdue(queue, now)
        if count:
            service_class = queue.service_class
            counts[scheduling_rank(service_class), is_long(service_class)] += count
    for key, refused_at in state.overdue.refused_at.get(target, {}).items():
        if now - refused_at <= _REFUSAL_VALID_S:
            counts[key] += 1
    return _rows(counts)


def _count_overdue(queue: queue_state.ClassQueue, now: float) -> int:
    """Count the requests of a queue that are overdue or have waited for their start target."""
    limit_s = _OVERDUE_SHARE * queue.service_class.target_s
    late_count = 0
    for req in islice(queue.on_time.values(), _COUNTED_MAX):
        if now - req.arrived_at < limit_s:
            break
        late_count += 1
    return min(_COUNTED_MAX, len(queue.overdue_requests) + late_count)


def _rows(counts: Counter[tuple[int, bool]]) -> list[OverdueRow]:
    return [OverdueRow(rank, is_long, count) for (rank, is_long), count in sorted(counts.items())]


def sum_rows(rows: Iterable[OverdueRow]) -> list[OverdueRow]:
    """Return the sum of several instances' rows."""
    counts: Counter[tuple[int, bool]] = Counter()
    for row in rows:
        counts[row.rank, row.is_long] += row.count
    return _rows(counts)


def note_refused(state: State, now: float, req: Request, *, is_long: bool) -> None:
    """Record that a request was refused for want of room."""
    key = (scheduling_rank(req.service_class), is_long)
    state.overdue.totals.pop(req.target, None)
    state.overdue.refused_at.setdefault(req.target, {})[key] = now


def record_overdue(
    state: State, now: float, sender: InstanceName, target: Target, rows: list[OverdueRow]
) -> None:
    """Record the overdue requests that a peer reported."""
    reports = state.overdue.peers.setdefault(target, {})
    state.overdue.totals.pop(target, None)
    if rows:
        reports[sender] = OverdueReport(now, rows)
    else:
        reports.pop(sender, None)


def reported_rows(
    state: State, now: float, target: Target, senders: Container[InstanceName]
) -> list[OverdueRow]:
    """Return the valid rows that the given peers reported."""
    return [
        row
        for name, report in state.overdue.peers.get(target, {}).items()
        if name in senders and now - report.received_at <= _REPORT_VALID_S
        for row in report.rows
    ]


def _total_rows(
    state: State, now: float, target: Target, is_long: Callable[[ServiceClass], bool]
) -> list[OverdueRow]:
    """Return the overdue requests of all instances, computed once for each time."""
    total = state.overdue.totals.get(target)
    if total is None or total.computed_at != now:
        rows = overdue_rows(state, now, target, is_long)
        for report in state.overdue.peers.get(target, {}).values():
            if now - report.received_at <= _REPORT_VALID_S:
                rows += report.rows
        total = state.overdue.totals[target] = OverdueTotal(now, sum_rows(rows))
    return total.rows


def count_more_urgent(
    state: State, now: float, req: Request, is_long: Callable[[ServiceClass], bool]
) -> Counter[bool]:
    """Count the more urgent overdue requests at all instances, by whether they are long.

    None count for a request whose class is to be served by its assured share.
    """
    counts: Counter[bool] = Counter()
    if is_served_by_share(state, req):
        return counts
    own_rank = scheduling_rank(req.service_class)
    for row in _total_rows(state, now, req.target, is_long):
        if row.rank < own_rank:
            counts[row.is_long] += row.count
    return counts


def is_served_by_share(state: State, req: Request) -> bool:
    """Return whether the request's class is to be served by its assured share."""
    return any(
        queue.service_class.name == req.service_class.name and queue_state.has_earned_next(queue)
        for queue in queue_state.target_classes(state.queues, req.target)
        if len(queue)
    )
