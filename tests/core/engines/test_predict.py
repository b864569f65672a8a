"""Test predicted answer lengths and the measurement of their error."""

from __future__ import annotations

from random import Random

from msgspec.structs import replace

from tests.core.load_world import COUNTER, MODEL, QUOTE
from turmericweir_core.base.config import ServiceClass, ServiceKind
from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import Count
from turmericweir_core.state.predict import Predictor, note_length, predict_tokens

OPTIONS = Options()


def request(
    service_class: ServiceClass = QUOTE, *, customer: str = "dunes", max_tokens: int | None = None
) -> Request:
    """Return a request of a class and a customer."""
    return Request(
        RequestId("r"),
        ServiceKind.MODEL,
        MODEL,
        customer,
        "",
        service_class,
        arrived_at=0.0,
        deadline=60.0,
        max_tokens=max_tokens,
    )


def learn(predictor: Predictor, req: Request, tokens: int, options: Options = OPTIONS) -> None:
    """Complete an answer whose length was predicted at its arrival."""
    req = replace(req, predicted_tokens=predict_tokens(predictor, options, req), delivered=tokens)
    note_length(predictor, options, req)


def test_default_before_any_answer() -> None:
    """Guards against a prediction above the caller's limit, or without a default."""
    predictor = Predictor()
    assert predict_tokens(predictor, OPTIONS, request()) == OPTIONS.predict_default
    assert predict_tokens(predictor, OPTIONS, request(max_tokens=16)) == 16


def test_most_specific_known_group_is_used() -> None:
    """Guards against ignoring a more specific group: class and customer, class, or everything."""
    predictor = Predictor()
    for _ in range(50):
        learn(predictor, request(customer="dunes"), 800)
        learn(predictor, request(customer="shore"), 200)
        learn(predictor, request(COUNTER), 20)
    assert abs(predict_tokens(predictor, OPTIONS, request(customer="dunes")) - 800) < 80
    assert abs(predict_tokens(predictor, OPTIONS, request(customer="shore")) - 200) < 20
    assert 180 < predict_tokens(predictor, OPTIONS, request(customer="new")) < 900
    assert abs(predict_tokens(predictor, OPTIONS, request(COUNTER, customer="new")) - 20) < 2


def test_prediction_follows_change() -> None:
    """Guards against predictions by outdated lengths."""
    options = Options(sketch_generation=50)
    predictor = Predictor()
    for _ in range(200):
        learn(predictor, request(), 1000, options)
    for _ in range(120):
        learn(predictor, request(), 100, options)
    assert predict_tokens(predictor, options, request()) < 120


def test_sketches_are_bounded() -> None:
    """Guards against unbounded memory for groups."""
    options = Options(sketch_keep=20)
    predictor = Predictor()
    for number in range(200):
        learn(predictor, request(customer=f"c{number}"), 100, options)
    assert len(predictor.sketches) == 20
    assert (QUOTE.name, "c199") in predictor.sketches
    assert (QUOTE.name, "") in predictor.sketches


def test_error_is_measured() -> None:
    """Guards against wrong error figures in the state and in the metrics."""
    predictor = Predictor()
    rng = Random(7)
    for _ in range(2000):
        learn(predictor, request(), round(rng.lognormvariate(5.0, 0.5)))
    error = predictor.errors[QUOTE.name]
    assert error.answers == 2000
    # The 0.6 quantile is too low for four answers in ten.
    assert 0.3 < error.under < 0.5
    assert 0.2 < error.relative < 0.8
    req = replace(request(), predicted_tokens=150.0, delivered=100)
    assert note_length(predictor, OPTIONS, req) == [
        Count("predict.tokens.quote", 100),
        Count("predict.error_tokens.quote", 50),
    ]
