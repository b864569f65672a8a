"""Divide the burst of the retry budget among the instances.

Each instance has a part, in whole tokens. Retries of a process count for one window, and nothing
remembers them if the process ends. So whoever gets a part, or a larger one, leaves it unused for a
window and some time for the news to reach all others; whoever gets a smaller one keeps to it at
once. This holds for a process that starts, whether others have ended or not, for instances that
join or return, and for those that divide the part of one that has gone.

A silent instance may still serve callers, so its part is kept for some time. An instance that reads
no newer settings and misses others is probably the one that is cut off: it takes no part from
others, and uses none itself.
"""

from __future__ import annotations

from math import floor
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.membership_state import NEVER
from turmericweir_core.state.retry_state import RetryWindow, SharersView

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Time in which a change of the membership reaches all instances.
_SPREAD_S: Final = 3.0
# How long an instance that is out of reach keeps its part.
_SHARER_KEEP_S: Final = 60.0
# Age of the proof of the settings from which an instance that misses others counts as cut off.
# Well below the time for which others keep its part.
_CUT_OFF_PROOF_S: Final = 20.0
# A process that was paused for longer has lost its part.
_PAUSE_MAX_S: Final = 30.0
_CHECK_INTERVAL_S: Final = 0.5


def on_tick(state: State, now: float) -> None:
    """Update the instances among which the burst is divided."""
    budget = state.retries
    pause_s = membership.pause_since_last_tick_s(state, now)
    if now < budget.next_check_at and not pause_s:
        return
    budget.next_check_at = now + _CHECK_INTERVAL_S
    if not budget.sharers or pause_s > _PAUSE_MAX_S:
        _set_sharers(state, now, ())
    _set_sharers(state, now, _current_sharers(state, now))
    _drop_old_views(state, now)


def _current_sharers(state: State, now: float) -> tuple[InstanceName, ...]:
    """Return the instances that have a part now; none if this one may be cut off."""
    budget = state.retries
    recent = membership.recent_instances(state, now, _SHARER_KEEP_S)
    names = frozenset(member.name for member in recent)
    if _has_fresh_settings(state, now):
        if _has_heard_nobody(state) and membership.uptime_s(state, now) < _SHARER_KEEP_S:
            return ()
    elif (
        _has_heard_nobody(state)
        or not names >= budget.known_sharers
        or not all(membership.is_live(state, now, member) for member in recent)
    ):
        return ()
    budget.known_sharers = names
    return tuple(sorted(names))


def _has_fresh_settings(state: State, now: float) -> bool:
    return state.document is None or now - state.document.proof_at <= _CUT_OFF_PROOF_S


def _has_heard_nobody(state: State) -> bool:
    """Return whether this process has heard no other since its start, though others may run."""
    has_seeds = any(each != state.me.peer_address for each in state.members.seeds)
    members = state.members.by_name.values()
    return has_seeds and not any(member.last_seen_at > NEVER for member in members)


def _set_sharers(state: State, now: float, names: tuple[InstanceName, ...]) -> None:
    views = state.retries.sharers
    if views and views[-1].names == names:
        return
    number = views[-1].number + 1 if views else 0
    views.append(SharersView(number, now, names))


def _drop_old_views(state: State, now: float) -> None:
    """Drop the views that were replaced longer ago than a part has to be left unused."""
    views = state.retries.sharers
    oldest_at = now - state.options.retry_window_s - _SPREAD_S
    while len(views) > 1 and views[1].since <= oldest_at:
        views.pop(0)
    first = views[0].number
    for window in state.retries.windows.values():
        for number in [each for each in window.part_by_view if each < first]:
            del window.part_by_view[number]


def part_of_burst(state: State, target: Target, window: RetryWindow) -> int:
    """Return the tokens of the burst that this instance may use."""
    views = state.retries.sharers
    return min((_part_in_view(state, target, window, view) for view in views), default=0)


def _part_in_view(state: State, target: Target, window: RetryWindow, view: SharersView) -> int:
    part = window.part_by_view.get(view.number)
    if part is None:
        part = _divide(state, target, view.names)
        window.part_by_view[view.number] = part
    return part


def _divide(state: State, target: Target, names: tuple[InstanceName, ...]) -> int:
    """Return an equal part; the remainder goes to the instances of the highest weight."""
    if state.me.name not in names:
        return 0
    tokens = floor(state.options.retry_use_share * state.options.retry_burst)
    own_weight = rendezvous_weight(target, state.me.name)
    heavier = sum(1 for name in names if rendezvous_weight(target, name) > own_weight)
    return tokens // len(names) + (heavier < tokens % len(names))
