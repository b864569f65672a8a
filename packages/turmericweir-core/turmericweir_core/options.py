"""Every number that steers the decisions, in one place, with its unit and its reason.

Operators change few of these; tests change many. Nothing else in core holds a tunable number.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Options:
    """Tunable constants of the decisions. Times are seconds unless a name says otherwise."""

    # --- the loop ---
    # Distance between ticks: short against a deadline, long against a processor share of 2.4%.
    tick_s: float = 0.1

    # --- accounts ---
    # How long and how many accounts are kept for `GET /v1/requests/{id}`.
    account_keep_s: float = 600.0
    account_keep: int = 50_000

    # --- queueing and placement ---
    # Requests beyond a server's slots that are sent to it, so that its batch never runs dry.
    slack_slots: int = 1
    # Share of a plain service's slots that lower tiers leave free for the most urgent one.
    reserve_share: float = 0.2
    # How many waiting requests one class may have on one instance before it is refused.
    queue_limit: int = 2_000
    # A load report older than this says nothing.
    report_valid_s: float = 3.0

    # --- servers ---
    # Between probes of a server's load.
    probe_s: float = 0.5
    # A server that failed a new connection is left alone for this long, then probed.
    unreachable_retry_s: float = 1.0
    # A stream that carried nothing for so long, and so many of its own gaps, is doubted.
    silence_s: float = 2.0

    # An answer that has not begun so long after the deadline is given up.
    deadline_grace_s: float = 0.5

    # --- stopping ---
    # How long new requests are still taken after a stop, because the balancer lags.
    stop_grace_s: float = 2.0

    # --- retries ---
    # Retries allowed as a share of first attempts, and the burst on top.
    retry_share: float = 0.1
    retry_burst: float = 20.0
    # Attempts at the most for one request.
    attempts_max: int = 4

    # --- membership ---
    heartbeat_s: float = 0.5
    # A peer that has not been heard from for so long is left out of decisions.
    suspect_s: float = 2.0
    # After so long it is forgotten.
    forget_s: float = 60.0

    # --- platform ---
    # How long one long poll of the settings stream waits.
    poll_wait_s: float = 5.0
    # Between reads of the platform's list.
    list_s: float = 2.0
