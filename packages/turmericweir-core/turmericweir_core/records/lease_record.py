"""Records of the `leases` stream: leases for giving orders to the servers of a service.

A *scope* is one service in one data centre. Every record names the offset up to which its writer
had read the stream. The record is valid only if no other record of its scope is between that offset
and its own. Only `encode` and `decode` depend on the stored format.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, Final

from msgspec import Struct

from turmericweir_core.records.record_field import require_int, require_text

LEASES_STREAM: Final = "leases"
# The `fence` of a grant whose writer has read no earlier lease.
NO_OFFSET: Final = -1


class LeaseScope(Struct, frozen=True, order=True):
    """The subject of a lease: the servers of a service in a data centre."""

    service: str
    data_centre: str

    def __str__(self) -> str:
        return f"{self.service}/{self.data_centre}"


class LeaseAction(StrEnum):
    """The action of a record."""

    # Begins a lease; the offset of the record is the fencing number of the lease.
    GRANT = "grant"
    # Extends the lease from now on, with the same fencing number.
    RENEW = "renew"
    # Ends the lease. The holder gives no more orders, and a successor need not wait.
    RELEASE = "release"


class LeaseRecord(Struct, frozen=True):
    """One record of the stream."""

    act: LeaseAction
    scope: LeaseScope
    instance: str
    incarnation: str
    # Increases with each record of an incarnation; identifies a record whose acknowledgement was
    # lost.
    number: int
    # Offset up to which the writer had read the stream.
    upto: int
    # The fencing number that is renewed or released; for a grant the one of the previous lease.
    fence: int
    # Duration of the lease, from before the record was sent. Part of the record because a reader
    # with another setting must wait long enough.
    lease_s: float
    # JSON data of the holder for its successors; None for nothing.
    note: Any = None
    # The era of the store in which the writer had read the stream; 0 if the store states none. A
    # record that takes effect in a later era is void.
    era: int = 0


def encode(record: LeaseRecord) -> dict[str, Any]:
    """Return a record as the JSON object that is appended."""
    value = {
        "act": record.act.value,
        "service": record.scope.service,
        "data_centre": record.scope.data_centre,
        "by": [record.instance, record.incarnation],
        "n": record.number,
        "upto": record.upto,
        "fence": record.fence,
        "lease_s": record.lease_s,
    }
    if record.note is not None:
        value["note"] = record.note
    if record.era:
        value["era"] = record.era
    return value


# Any: the value is arbitrary JSON from the log.
def decode(value: Any) -> LeaseRecord | None:
    """Return the validated record; None for a malformed one, which every reader skips."""
    try:
        instance, incarnation = value["by"]
        return LeaseRecord(
            act=LeaseAction(value["act"]),
            scope=LeaseScope(require_text(value["service"]), require_text(value["data_centre"])),
            instance=require_text(instance),
            incarnation=require_text(incarnation),
            number=require_int(value["n"]),
            upto=require_int(value["upto"]),
            fence=require_int(value["fence"]),
            lease_s=_require_duration(value["lease_s"]),
            note=value.get("note"),
            era=require_int(value.get("era", 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _require_duration(value: Any) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 < value < 86_400:
        raise ValueError(f"not a duration between 0 and one day, in seconds: {value!r}")
    return float(value)
