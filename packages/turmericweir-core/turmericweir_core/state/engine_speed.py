"""Estimates of the prefill speed of the engines of a service, from this instance's observations.

`Options` has the figures of a reference engine. Other engines may prefill several times faster or
have a different delay from the end of the prefill to the first event. Predictions, refusals and the
number of prefill engines depend on these figures, so two parameters are fitted for each service:
`took = first_ms + factor * work`, where `work` is the prefill time on the reference engine. The fit
is a least-squares line through the latest requests that were sent to an engine with nothing else to
prefill. It starts with some simulated requests to the reference engine.

`EngineInfo.pace` is the prefill time of one engine, over the prediction for its service.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from turmericweir_core.base.options import Options

# Decay of the weight of older requests with each new one.
_DECAY: Final = 0.97
# Simulated requests to the reference engine: weight at each of two amounts of work, and the larger
# of these amounts.
_PRIOR_WEIGHT: Final = 2.0
_PRIOR_WORK_MS: Final = 100.0
# Variance of the work, milliseconds squared, below which the factor is not updated.
_VARIANCE_MIN_MS2: Final = 25.0
# Bounds of the factor.
_FACTOR_MIN: Final = 0.1
_FACTOR_MAX: Final = 8.0
# Maximum ratio of the time taken to the prediction; longer times are capped. They are caused by
# requests of other instances that are not known here yet.
_MAX_RATIO: Final = 3.0


class EngineSpeed(Struct):
    """The fitted line of one service."""

    # Time to the first event of an answer whose prompt needs no prefill, milliseconds.
    first_ms: float
    # Prefill time, over that of the reference engine.
    factor: float = 1.0
    # Decayed sums: weights, work, time taken, and products of these.
    weight: float = 0.0
    work: float = 0.0
    took: float = 0.0
    work_work: float = 0.0
    work_took: float = 0.0


def reference_speed(options: Options) -> EngineSpeed:
    """Return the line of the reference engine, as the starting point."""
    speed = EngineSpeed(options.first_token_ms)
    for work in (0.0, _PRIOR_WORK_MS):
        _add_sample(speed, work, options.first_token_ms + work, _PRIOR_WEIGHT)
    return speed


def nominal_fetch_speed(options: Options) -> EngineSpeed:
    """Return the line of fetches between engines without other transfers, as the starting point."""
    speed = EngineSpeed(options.fetch_setup_ms)
    for work in (0.0, _PRIOR_WORK_MS):
        _add_sample(speed, work, options.fetch_setup_ms + work, _PRIOR_WEIGHT)
    return speed


def update_speed(
    speed: EngineSpeed, work_ms: float, took_ms: float, *, fits_factor: bool = True
) -> None:
    """Update the line with a request to an engine that had nothing else to prefill."""
    expected_ms = speed.first_ms + speed.factor * work_ms
    took_ms = min(took_ms, _MAX_RATIO * expected_ms)
    _decay_sums(speed)
    _add_sample(speed, work_ms, took_ms, 1.0)
    mean_work, mean_took = speed.work / speed.weight, speed.took / speed.weight
    variance = speed.work_work / speed.weight - mean_work**2
    if fits_factor and variance >= _VARIANCE_MIN_MS2:
        slope = (speed.work_took / speed.weight - mean_work * mean_took) / variance
        speed.factor = min(_FACTOR_MAX, max(_FACTOR_MIN, slope))
    speed.first_ms = max(0.0, mean_took - speed.factor * mean_work)


def _decay_sums(speed: EngineSpeed) -> None:
    speed.weight *= _DECAY
    speed.work *= _DECAY
    speed.took *= _DECAY
    speed.work_work *= _DECAY
    speed.work_took *= _DECAY


def _add_sample(speed: EngineSpeed, work: float, took: float, weight: float) -> None:
    speed.weight += weight
    speed.work += weight * work
    speed.took += weight * took
    speed.work_work += weight * work * work
    speed.work_took += weight * work * took
