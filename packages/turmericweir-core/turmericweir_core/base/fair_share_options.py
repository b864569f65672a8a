"""Options of the shares of customers in a class that has too little room."""

from __future__ import annotations

from msgspec import Struct


class FairShareOptions(Struct, frozen=True):
    """Tunable parameters of fair shares. Times are in seconds."""

    # Whether customers of a class share its room; without it they are served by arrival.
    is_enabled: bool = True
    # Time constant with which served work is forgotten.
    window_s: float = 5.0
    # How long customers count as competing after two of them were last seen to wait.
    contended_s: float = 3.0
    # Interval between reports of shares where one instance sums them up: its minimum, and its
    # length for each instance. Where relays sum them up, it is constant.
    report_interval_s: float = 0.1
    report_interval_per_instance_s: float = 0.033
    relayed_interval_s: float = 0.5
    # Validity of the totals of the other instances.
    report_valid_s: float = 1.2
    # Time without an answer after which another instance sums up, and until the first is asked
    # again.
    sum_timeout_s: float = 0.7
    sum_retry_s: float = 4.0
    # Customers of one class in a report, and of one class in the state.
    reported_customers: int = 16
    kept_customers: int = 64
    # Customers with metrics of their own; the others are counted together.
    counted_customers: int = 64
    # Slots of all engines from which on customers over their share leave one free.
    headroom_slots_min: int = 8
    # Requests by which a customer that returns may go before the least served one.
    credit_requests: float = 3.0
