"""Estimate the pace of each engine: its prefill time over the prediction for its service.

`engine_model` observes it with the first token of a prompt that waited little for others.
`shared_pace` exchanges the observations with other instances, where that is switched on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.state.engine_state import EngineInfo, Prefill
from turmericweir_core.state.pace_state import Observed

if TYPE_CHECKING:
    from turmericweir_core.state.server_table import Server
    from turmericweir_core.state.state import State

# Bounds of the pace, relative to the speed of the service, and to the reference engine.
_PACE_MIN: Final = 0.4
_PACE_MAX: Final = 6.0
_SHARED_PACE_MIN: Final = 0.04
_SHARED_PACE_MAX: Final = 48.0
# Observations change the pace only where the request's work dominates the prediction, and is long
# compared to the network time.
_OWN_SHARE_MIN: Final = 0.6
_WORK_MIN_MS: Final = 40.0
# Ratio of an observation to the estimate beyond which it counts no more.
_STEP_MAX: Final = 1.5
# Observations after which one more has its usual weight, and that one message may claim.
COUNT_MAX: Final = 8


def bounded_shared(pace: float) -> float:
    """Return a pace relative to the reference engine within the bounds."""
    return min(_SHARED_PACE_MAX, max(_SHARED_PACE_MIN, pace))


def shows_pace(prefill: Prefill) -> bool:
    """Return whether the time that a prompt takes shows the pace of its engine."""
    own_share = prefill.work_ms / max(1.0, prefill.predicted_ms)
    return own_share >= _OWN_SHARE_MIN and prefill.work_ms >= _WORK_MIN_MS


def is_known(state: State, record: EngineInfo) -> bool:
    """Return whether an engine's pace rests on observations, or is not shared."""
    return not state.options.pace.is_shared or record.pace_count >= COUNT_MAX


def observe(state: State, server: Server, record: EngineInfo, pace: float) -> None:
    """Count one observation, and keep it for the next load update if these carry them."""
    options = state.options.pace
    if not options.is_shared:
        in_bounds = min(_PACE_MAX, max(_PACE_MIN, pace))
        record.pace += options.observation_weight * (in_bounds - record.pace)
        return
    pace = bounded_shared(pace)
    count_observations(state, record, pace, 1)
    name, incarnation = server.entry.name, server.entry.incarnation
    unsent = state.paces.unsent.get(name)
    if unsent is None or unsent.incarnation != incarnation:
        unsent = state.paces.unsent[name] = Observed(incarnation)
    unsent.count += 1
    unsent.total += pace
    state.engines.has_unsent_load = True


def count_observations(state: State, record: EngineInfo, pace: float, count: int) -> None:
    """Move an engine's pace towards the mean of some observations."""
    count = min(count, COUNT_MAX)
    if record.pace_count:
        # A prompt may have waited for others that are not known here.
        pace = min(record.pace * _STEP_MAX, max(record.pace / _STEP_MAX, pace))
    # The mean of all observations and the initial guess, until newer ones weigh more.
    mean_weight = count / (record.pace_count + count + 1)
    newest_weight = 1.0 - (1.0 - state.options.pace.observation_weight) ** count
    record.pace += max(mean_weight, newest_weight) * (pace - record.pace)
    record.pace_count = min(record.pace_count + count, COUNT_MAX)
    state.paces.has_new = True
