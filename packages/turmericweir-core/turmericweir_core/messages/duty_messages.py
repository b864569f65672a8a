"""What goes to the one instance that places models, reports usage or orders servers."""

from __future__ import annotations

from msgspec import Struct


class ModelUse(Struct, frozen=True, array_like=True):
    """Running and waiting requests of a model on one instance, averaged since the last report."""

    model: str
    running: float
    waiting: int


class ModelDemand(Struct, frozen=True, array_like=True):
    """Use of a service's models, sent to the instance that places them in a data centre."""

    service: str
    data_centre: str
    uses: list[ModelUse] = []


class WindowCounts(Struct, frozen=True, array_like=True):
    """Requests that servers started for one instance in one window, by customer."""

    window: int
    counts: dict[str, int]


class UsageCounts(Struct, frozen=True, array_like=True):
    """Counts of one instance for the newest windows, sent to the instance that reports usage."""

    incarnation: str
    # Increases with each message of an incarnation.
    seq: int
    # The sender adds no more requests to windows before this one.
    open_window: int
    windows: list[WindowCounts] = []


class UsageAsk(Struct, frozen=True, array_like=True):
    """Requests the counts of windows from this one on; sent by the holder that reports usage."""

    window: int


class OriginCounts(Struct, frozen=True, array_like=True):
    """Counts of one incarnation of an instance, by itself or by one that has received them."""

    origin: str
    counts: UsageCounts


class UsageSend(Struct, frozen=True, array_like=True):
    """The sender's counts, and those that it has received from instances that have ended."""

    origins: list[OriginCounts]
    # What the sender knows to be settled, as in `DutyStatus`.
    newest_settled: int | None = None
    settled: list[WindowCounts] = []


class DutyStatus(Struct, frozen=True, array_like=True):
    """The sender holds the lease of the duties, and is able to perform them."""

    fence: int
    # The newest settled window, and the counts of those that may not have been accepted; the store
    # may lose the note that says so.
    newest_settled: int | None = None
    settled: list[WindowCounts] = []
