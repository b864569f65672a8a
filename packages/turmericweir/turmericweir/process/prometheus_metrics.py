"""Counters and latency histograms in the Prometheus text format, for a collector."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, Scope

# Narrow buckets around the targets of plain calls (100 ms) and of first tokens (0.4 to 2 s).
_BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)
_CONTENT_TYPE: Final = b"text/plain; version=0.0.4; charset=utf-8"


class PrometheusMetrics:
    """Stores the metrics of this process until a collector fetches them."""

    _registry: CollectorRegistry
    _events: Counter
    _seconds: Histogram

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._events = Counter(
            "turmericweir_events",
            "What happened, by name; names are listed in the operators' pages.",
            ["event"],
            registry=self._registry,
        )
        self._seconds = Histogram(
            "turmericweir_seconds",
            "How long steps took, by name.",
            ["step"],
            buckets=_BUCKETS_S,
            registry=self._registry,
        )

    def add_gauge(self, name: str, help_text: str, value: Callable[[], float]) -> None:
        """Add a gauge whose value is computed for each page."""
        Gauge(name, help_text, registry=self._registry).set_function(value)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._events.labels(name).inc(by)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self._seconds.labels(name).observe(seconds)

    def flush(self) -> None:
        """Do nothing, since the collector fetches the metrics."""

    def page(self) -> bytes:
        """Return the page."""
        return generate_latest(self._registry)


class MetricsApp:
    """Answers requests of the collector at any path."""

    def __init__(self, metrics: PrometheusMetrics) -> None:
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Answer one request."""
        assert scope["type"] == "http"
        body = self._metrics.page()
        headers = [(b"content-type", _CONTENT_TYPE), (b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})
