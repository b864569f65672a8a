"""Work served for customers, and what waits, in classes that have too little room."""

from __future__ import annotations

from msgspec import Struct


class CustomerShare(Struct, frozen=True, array_like=True):
    """A customer's work in one class."""

    customer: str
    # Work served lately, in milliseconds of an engine.
    served_ms: int
    # Requests that wait for room, and the work of all that wait.
    waiting: int
    waiting_ms: int


class ClassShare(Struct, frozen=True, array_like=True):
    """The customers that compete in one class of a target."""

    target: str
    service_class: str
    customers: list[CustomerShare]


class ShareReport(Struct, frozen=True, array_like=True):
    """The shares of the sender or, from a relay to another, of its whole group."""

    classes: list[ClassShare]
    is_group: bool = False


class ShareTotals(Struct, frozen=True, array_like=True):
    """The shares of all other instances, for the receiver."""

    classes: list[ClassShare]
