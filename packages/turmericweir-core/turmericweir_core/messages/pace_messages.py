"""Reports of the pace at which engines prefill prompts, as one instance observed it."""

from __future__ import annotations

from msgspec import Struct


class PaceRow(Struct, frozen=True, array_like=True):
    """Observed prefill times at one engine that were not announced before."""

    server: str
    incarnation: str
    # Mean prefill time, in percent of that of the reference engine.
    percent: int
    # Number of observations.
    count: int
