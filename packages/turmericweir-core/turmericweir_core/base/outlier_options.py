"""Options of the ejection of servers that fail more requests than others of their service."""

from __future__ import annotations

from msgspec import Struct


class OutlierOptions(Struct, frozen=True):
    """When a server is ejected, and how it comes back. Times are in seconds."""

    # Whether servers are ejected at all.
    is_enabled: bool = False
    # Age up to which results count, and the number of results kept for each server.
    window_s: float = 10.0
    results_max: int = 32
    # Failures before a server may be ejected.
    failures_min: int = 3
    # Standard deviations below the observed share of failures at which its lower bound lies, and by
    # how much the bound must exceed the mean share of the other servers.
    confidence: float = 2.0
    margin: float = 0.15
    # The chance, at the mean share of the other servers, of as many failures in a row as a server
    # has, up to which it is ejected for them.
    run_chance_max: float = 1e-4
    # A server that has just failed a request is suspected for at most so long, if the mean share of
    # failures of the others is no larger than this. Requests that may not be repeated leave it to
    # others for the pause.
    suspect_s: float = 2.0
    suspect_others_max: float = 0.05
    suspect_pause_s: float = 0.25
    # Share of the slots of a service that may be ejected, and the same for servers that fail only
    # some of their requests.
    ejected_share_max: float = 0.5
    partial_share_max: float = 0.34
    # Pause before the first request to an ejected server; it doubles with each failure up to a
    # maximum, and starts anew after a time without an ejection.
    pause_s: float = 2.0
    pause_max_s: float = 30.0
    pause_forget_s: float = 60.0
    # Interval between judgements that no failure of an own request causes.
    judgement_interval_s: float = 0.25
    # Successful requests in a row after which a server is used again.
    successes: int = 3
