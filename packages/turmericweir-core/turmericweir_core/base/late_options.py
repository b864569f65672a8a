"""Options of the refusal of requests that no engine can answer in time."""

from __future__ import annotations

from msgspec import Struct


class LateOptions(Struct, frozen=True):
    """Tunable parameters of the refusal of late requests. Times are in seconds."""

    # Whether late requests give way to those that can be in time. Without it, requests are refused
    # by their deadline alone.
    is_enabled: bool = False
    # How long the demand of the last seconds is assumed to last.
    demand_lasts_s: float = 3.0
    # Validity of what another instance said of its waiting requests.
    report_valid_s: float = 1.2
    # Share of the engines' time that returning callers may use at the least.
    return_share_min: float = 0.1
    # Share of the time that a caller has left after which it returns at the latest.
    return_by_share: float = 0.33
