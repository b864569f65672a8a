"""Predict how many tokens an answer will have, before and while it runs.

Nobody knows how long an answer will be, but answers of one class and customer are alike. A quantile
sketch of the lengths seen is kept for each such pair, for each class, and for everything; the
finest one that has seen enough answers is believed. Two generations of each sketch take turns, so
that the prediction follows change and nothing is kept for ever. Pairs are bounded in number.

The error is measured on every answer that completes: the prediction made at its arrival against
its length.
"""

from __future__ import annotations

from collections import OrderedDict

from ddsketch.ddsketch import LogCollapsingLowestDenseDDSketch
from msgspec import Struct, field

from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import Count, Effect

# Answers between two readings of a sketch's quantile, which walks over all its bins.
_REFRESH = 8


class LengthSketch(Struct):
    """Lengths of the answers of one group, in two generations."""

    current: LogCollapsingLowestDenseDDSketch
    previous: LogCollapsingLowestDenseDDSketch | None = None
    # Answers in `current`, and in both.
    fresh: int = 0
    seen: int = 0
    # The quantile as last read.
    quantile: float = 0.0
    # Answers seen when it was last read.
    read_at: int = 0


class PredictionError(Struct):
    """How far predictions were off, for one class; averages that favour the newest."""

    answers: int = 0
    # Mean of |predicted - actual| / actual.
    relative: float = 0.0
    # Mean of predicted - actual, tokens: which way the error goes.
    bias_tokens: float = 0.0
    # Share of answers that were longer than predicted.
    under: float = 0.0


class Predictor(Struct):
    """What is known of answer lengths."""

    # By class and customer; the customer is empty for a whole class, both are for everything.
    sketches: OrderedDict[tuple[str, str], LengthSketch] = field(default_factory=OrderedDict)
    # By class.
    errors: dict[str, PredictionError] = field(default_factory=dict)


def _keys(class_name: str, customer: str) -> tuple[tuple[str, str], ...]:
    return ((class_name, customer), (class_name, ""), ("", ""))


def predict_tokens(predictor: Predictor, options: Options, req: Request) -> float:
    """Predict the length of the whole answer of a request."""
    predicted = options.predict_default
    for key in _keys(req.service_class.name, req.customer):
        sketch = predictor.sketches.get(key)
        if sketch is not None and sketch.seen >= options.sketch_min:
            predicted = sketch.quantile
            break
    if req.max_tokens is not None:
        predicted = min(predicted, float(req.max_tokens))
    return predicted


def note_length(predictor: Predictor, options: Options, req: Request) -> list[Effect]:
    """Learn from an answer that completed, and measure how far its prediction was off."""
    tokens = max(1, req.delivered)
    error = _note_error(predictor, options, req, tokens)
    for key in _keys(req.service_class.name, req.customer):
        _add(_sketch(predictor, options, key), options, tokens)
    name = req.service_class.name
    return [Count(f"predict.tokens.{name}", tokens), Count(f"predict.error_tokens.{name}", error)]


def _note_error(predictor: Predictor, options: Options, req: Request, tokens: int) -> int:
    error = predictor.errors.setdefault(req.service_class.name, PredictionError())
    off = req.predicted_tokens - tokens
    # A plain mean at first, so that the first answer does not weigh as much as fifty.
    error.answers += 1
    weight = max(options.predict_error_weight, 1.0 / error.answers)
    error.relative += weight * (abs(off) / tokens - error.relative)
    error.bias_tokens += weight * (off - error.bias_tokens)
    error.under += weight * (float(off < 0) - error.under)
    return round(abs(off))


def _sketch(predictor: Predictor, options: Options, key: tuple[str, str]) -> LengthSketch:
    sketch = predictor.sketches.get(key)
    if sketch is None:
        sketch = predictor.sketches[key] = LengthSketch(_new(options))
    predictor.sketches.move_to_end(key)
    while len(predictor.sketches) > options.sketch_keep:
        predictor.sketches.popitem(last=False)
    return sketch


def _new(options: Options) -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(options.sketch_accuracy, options.sketch_bins)


def _add(sketch: LengthSketch, options: Options, tokens: int) -> None:
    sketch.current.add(float(tokens))
    sketch.fresh += 1
    sketch.seen += 1
    if sketch.seen - sketch.read_at >= _REFRESH or sketch.seen <= options.sketch_min:
        _read(sketch, options)
    if sketch.fresh >= options.sketch_generation:
        sketch.previous = sketch.current
        sketch.current = _new(options)
        sketch.seen = sketch.fresh
        sketch.read_at = sketch.seen
        sketch.fresh = 0


def _read(sketch: LengthSketch, options: Options) -> None:
    parts = [sketch.current] if sketch.previous is None else [sketch.current, sketch.previous]
    weighed = 0.0
    total = 0.0
    for part in parts:
        value = part.get_quantile_value(options.predict_quantile)
        if value is not None:
            weighed += value * part.count
            total += part.count
    sketch.quantile = weighed / total if total else options.predict_default
    sketch.read_at = sketch.seen
