"""How long the answers of each class of requests take, for a stopping instance.

A mean and a mean deviation with exponential weights give an upper estimate, like the retransmission
timeout of TCP.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from msgspec import Struct, field

_MEAN_WEIGHT: Final = 1 / 8
_DEVIATION_WEIGHT: Final = 1 / 4
_DEVIATIONS: Final = 4.0
_CLASSES_MAX: Final = 512


class AnswerTime(Struct):
    """Time from the start of an attempt to the end of its answer."""

    mean_s: float
    deviation_s: float


class AnswerTimes(Struct):
    """The times of all classes, by name; the class of the latest answer is last."""

    by_class: OrderedDict[str, AnswerTime] = field(default_factory=OrderedDict)


def note_answer(times: AnswerTimes, class_name: str, seconds: float) -> None:
    """Record a complete answer."""
    time = times.by_class.get(class_name)
    if time is None:
        times.by_class[class_name] = AnswerTime(seconds, seconds / 2.0)
        if len(times.by_class) > _CLASSES_MAX:
            times.by_class.popitem(last=False)
        return
    times.by_class.move_to_end(class_name)
    error_s = seconds - time.mean_s
    time.deviation_s += _DEVIATION_WEIGHT * (abs(error_s) - time.deviation_s)
    time.mean_s += _MEAN_WEIGHT * error_s


def longest_s(times: AnswerTimes, class_name: str) -> float | None:
    """Return an upper estimate for a class, or None if no answer was seen."""
    time = times.by_class.get(class_name)
    return None if time is None else time.mean_s + _DEVIATIONS * time.deviation_s
