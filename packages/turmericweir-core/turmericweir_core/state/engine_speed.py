"""How fast the engines of a service read prompts, by what this instance itself observes.

`Options` holds the figures of a common engine. Others read a token in a third of that time, or take
twice as long from the end of a prompt to the first event. All predictions, what is refused by them
and how many engines read long prompts rest on these figures, so two numbers are fitted for each
service: `took = first_ms + factor * work`, where `work` is the time that the common engine would
read for. It is a straight line by least squares through the newest requests that met an engine with
nothing else to read; some common ones stand in for these until there are enough.

`EngineBook.pace` is left with how one engine differs from the others of its service.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from turmericweir_core.base.options import Options

# What each newer request leaves of the weight of the older ones: some thirty count.
_KEEP: Final = 0.97
# Requests to a common engine that are taken for seen at first, at each end of a short range of
# work, milliseconds: a handful of real ones outweighs them.
_PRIOR_WEIGHT: Final = 2.0
_PRIOR_WORK_MS: Final = 100.0
# Spread of work, milliseconds squared, below which requests tell nothing of the factor.
_SPREAD_MIN: Final = 25.0
# Bounds of the factor: a prompt is read in a tenth of the common time, or in eight times as long.
_FACTOR_MIN: Final = 0.1
_FACTOR_MAX: Final = 8.0
# A request that takes so many times what was predicted met others that nobody had told of yet.
_BEYOND: Final = 3.0


class EngineSpeed(Struct):
    """The line through what was seen of one service."""

    # Time to the first event of an answer whose prompt needs no reading, milliseconds.
    first_ms: float
    # Time to read a prompt, over what the common engine takes.
    factor: float = 1.0
    # Decayed sums: weights, work, time taken, and products of these.
    weight: float = 0.0
    work: float = 0.0
    took: float = 0.0
    work_work: float = 0.0
    work_took: float = 0.0


def common(options: Options) -> EngineSpeed:
    """Begin with the common engine."""
    speed = EngineSpeed(options.first_token_ms)
    for work in (0.0, _PRIOR_WORK_MS):
        _add(speed, work, options.first_token_ms + work, _PRIOR_WEIGHT)
    return speed


def learn(speed: EngineSpeed, work_ms: float, took_ms: float) -> None:
    """Take a request that met an engine with nothing else to read."""
    expected = speed.first_ms + speed.factor * work_ms
    took_ms = min(took_ms, _BEYOND * expected)
    _fade(speed)
    _add(speed, work_ms, took_ms, 1.0)
    mean_work, mean_took = speed.work / speed.weight, speed.took / speed.weight
    spread = speed.work_work / speed.weight - mean_work**2
    if spread >= _SPREAD_MIN:
        slope = (speed.work_took / speed.weight - mean_work * mean_took) / spread
        speed.factor = min(_FACTOR_MAX, max(_FACTOR_MIN, slope))
    speed.first_ms = max(0.0, mean_took - speed.factor * mean_work)


def _fade(speed: EngineSpeed) -> None:
    speed.weight *= _KEEP
    speed.work *= _KEEP
    speed.took *= _KEEP
    speed.work_work *= _KEEP
    speed.work_took *= _KEEP


def _add(speed: EngineSpeed, work: float, took: float, weight: float) -> None:
    speed.weight += weight
    speed.work += weight * work
    speed.took += weight * took
    speed.work_work += weight * work * work
    speed.work_took += weight * work * took
