"""Weigh what the cached beginning of a prompt saves against the wait, for each request.

An engine that holds the beginning of a prompt has less to prefill, so the request begins sooner and
the engine is free sooner for the prompts behind it. But the request may have to wait there, and the
beginning may be evicted before it is its turn. Each engine is rated by one cost in milliseconds:

    cost = wait + work x (1 + prompts that wait at an engine) + congestion + distance

where the work is its expected value over whether the beginning is still held. With idle engines the
cost is the time to the first token. With busy ones each millisecond of work delays the prompts that
wait behind it as well, so saving work counts for more than this request's own wait.
"""

from __future__ import annotations

from msgspec import Struct


class Offer(Struct, frozen=True):
    """What sending a request to one engine costs, milliseconds."""

    # Wait for other prompts, and for a fetch of parts from another engine.
    wait_ms: float
    # Work of the prompt if the engine still holds its beginning, and if it does not.
    work_if_held_ms: float
    work_if_lost_ms: float
    held_probability: float
    # Cost of the requests that the engine has already, and of its distance.
    congestion_ms: float
    distance_ms: float


def expected_work_ms(offer: Offer) -> float:
    """Return the work of a prompt, weighted by whether its beginning is still held."""
    saved_ms = offer.work_if_lost_ms - offer.work_if_held_ms
    return offer.work_if_lost_ms - saved_ms * offer.held_probability


def cost_ms(offer: Offer, prompts_behind: float) -> float:
    """Return the cost of an offer where each engine has this many prompts that wait."""
    work_ms = expected_work_ms(offer) * (1.0 + prompts_behind)
    return offer.wait_ms + work_ms + offer.congestion_ms + offer.distance_ms
