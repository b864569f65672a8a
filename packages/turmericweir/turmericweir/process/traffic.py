"""Counts the bytes of control traffic, for the state dump and for measurements.

Control is everything that an instance exchanges with its peers and with the platform, and its
questions for the load of servers. What callers send and get is not counted.

Payloads are counted where they leave the process or come in; of HTTP calls the headers as well. The
headers of UDP, TCP and IP are not: `messages` is what they can be worked out from.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Direction:
    """One way of one kind of traffic, since the start of the process."""

    bytes: int = 0
    messages: int = 0

    def add(self, size: int) -> None:
        """Count one message."""
        self.bytes += size
        self.messages += 1


@dataclass(slots=True)
class Kind:
    """Both ways of one kind of traffic."""

    sent: Direction = field(default_factory=Direction)
    received: Direction = field(default_factory=Direction)


@dataclass(slots=True)
class Traffic:
    """All control traffic of this process."""

    datagrams: Kind = field(default_factory=Kind)
    # Streams to and from peers, with their acknowledgements.
    streams: Kind = field(default_factory=Kind)
    platform: Kind = field(default_factory=Kind)
    # Questions for the load of servers.
    probes: Kind = field(default_factory=Kind)
    # Frames of datagrams and streams by their type; what is queued counts as sent.
    by_message: dict[str, Kind] = field(default_factory=dict)

    def of_message(self, message: object) -> Kind:
        """Give the counts of a message's type."""
        return self.by_message.setdefault(type(message).__name__, Kind())
