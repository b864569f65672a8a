"""Prediction of the number of tokens of an answer, before and while it runs.

Answers of the same class and customer tend to have similar lengths. A quantile sketch of the
observed lengths is kept for each such pair, for each class, and for all answers; the most specific
sketch with enough answers gives the prediction. Each sketch has two generations, so that
predictions follow changes and old lengths are dropped. The number of pairs is bounded.

The error of each prediction is measured when its answer completes.
"""

from __future__ import annotations

from collections import OrderedDict

from ddsketch.ddsketch import LogCollapsingLowestDenseDDSketch
from msgspec import Struct, field

from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import Count, Effect

# Answers between two evaluations of a sketch's quantile, which iterate over all its bins.
_REFRESH_ANSWERS = 8


class LengthSketch(Struct):
    """Lengths of the answers of one group, in two generations."""

    current: LogCollapsingLowestDenseDDSketch
    previous: LogCollapsingLowestDenseDDSketch | None = None
    # Number of answers in `current`, and in both generations.
    current_count: int = 0
    answer_count: int = 0
    # The quantile at its last evaluation.
    quantile: float = 0.0
    # Number of answers at that evaluation.
    evaluated_count: int = 0


class PredictionError(Struct):
    """Errors of the predictions for one class; exponentially weighted averages."""

    answers: int = 0
    # Mean of |predicted - actual| / actual.
    relative: float = 0.0
    # Mean of predicted - actual, tokens.
    bias_tokens: float = 0.0
    # Share of answers that were longer than predicted.
    under: float = 0.0


class Predictor(Struct):
    """Sketches of answer lengths, and the errors of predictions."""

    # By class and customer; empty strings for a whole class and for all answers.
    sketches: OrderedDict[tuple[str, str], LengthSketch] = field(default_factory=OrderedDict)
    # By class.
    errors: dict[str, PredictionError] = field(default_factory=dict)


def _sketch_keys(class_name: str, customer: str) -> tuple[tuple[str, str], ...]:
    return ((class_name, customer), (class_name, ""), ("", ""))


def predict_tokens(predictor: Predictor, options: Options, req: Request) -> float:
    """Return the predicted length of the whole answer to a request, tokens."""
    predicted = options.predict_default
    for key in _sketch_keys(req.service_class.name, req.customer):
        sketch = predictor.sketches.get(key)
        if sketch is not None and sketch.answer_count >= options.sketch_min:
            predicted = sketch.quantile
            break
    if req.max_tokens is not None:
        predicted = min(predicted, float(req.max_tokens))
    return predicted


def note_length(predictor: Predictor, options: Options, req: Request) -> list[Effect]:
    """Record the length of a completed answer and the error of its prediction."""
    tokens = max(1, req.delivered)
    error = _note_error(predictor, options, req, tokens)
    for key in _sketch_keys(req.service_class.name, req.customer):
        _add_length(_get_or_create_sketch(predictor, options, key), options, tokens)
    name = req.service_class.name
    return [Count(f"predict.tokens.{name}", tokens), Count(f"predict.error_tokens.{name}", error)]


def _note_error(predictor: Predictor, options: Options, req: Request, tokens: int) -> int:
    errors = predictor.errors.setdefault(req.service_class.name, PredictionError())
    signed_error = req.predicted_tokens - tokens
    # A plain mean at first, so that the first answers are not weighted too much.
    errors.answers += 1
    weight = max(options.predict_error_weight, 1.0 / errors.answers)
    errors.relative += weight * (abs(signed_error) / tokens - errors.relative)
    errors.bias_tokens += weight * (signed_error - errors.bias_tokens)
    errors.under += weight * (float(signed_error < 0) - errors.under)
    return round(abs(signed_error))


def _get_or_create_sketch(
    predictor: Predictor, options: Options, key: tuple[str, str]
) -> LengthSketch:
    sketch = predictor.sketches.get(key)
    if sketch is None:
        sketch = predictor.sketches[key] = LengthSketch(_new_sketch(options))
    predictor.sketches.move_to_end(key)
    while len(predictor.sketches) > options.sketch_keep:
        predictor.sketches.popitem(last=False)
    return sketch


def _new_sketch(options: Options) -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(options.sketch_accuracy, options.sketch_bins)


def _add_length(sketch: LengthSketch, options: Options, tokens: int) -> None:
    sketch.current.add(float(tokens))
    sketch.current_count += 1
    sketch.answer_count += 1
    if (
        sketch.answer_count - sketch.evaluated_count >= _REFRESH_ANSWERS
        or sketch.answer_count <= options.sketch_min
    ):
        _evaluate_quantile(sketch, options)
    if sketch.current_count >= options.sketch_generation:
        sketch.previous = sketch.current
        sketch.current = _new_sketch(options)
        sketch.answer_count = sketch.current_count
        sketch.evaluated_count = sketch.answer_count
        sketch.current_count = 0


def _evaluate_quantile(sketch: LengthSketch, options: Options) -> None:
    generations = [sketch.current] if sketch.previous is None else [sketch.current, sketch.previous]
    weighted_sum = 0.0
    total_count = 0.0
    for generation in generations:
        value = generation.get_quantile_value(options.predict_quantile)
        if value is not None:
            weighted_sum += value * generation.count
            total_count += generation.count
    sketch.quantile = weighted_sum / total_count if total_count else options.predict_default
    sketch.evaluated_count = sketch.answer_count
