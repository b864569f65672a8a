"""Counters of control traffic, for the state dump and for measurements.

Control traffic is everything that an instance exchanges with its peers and the platform, and its
load probes of servers. Callers' traffic is not counted.

The counters include payloads, and the headers of HTTP calls. They exclude the headers of UDP, TCP
and IP, which can be estimated from `messages`.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class DirectionCounter:
    """Traffic in one direction since the start of the process."""

    bytes: int = 0
    messages: int = 0

    def add(self, size: int) -> None:
        """Count one message."""
        self.bytes += size
        self.messages += 1


@dataclass(slots=True)
class TrafficCounter:
    """Traffic of one kind in both directions."""

    sent: DirectionCounter = field(default_factory=DirectionCounter)
    received: DirectionCounter = field(default_factory=DirectionCounter)


@dataclass(slots=True)
class Traffic:
    """All control traffic of this process."""

    datagrams: TrafficCounter = field(default_factory=TrafficCounter)
    # Streams to and from peers, with their acknowledgements.
    streams: TrafficCounter = field(default_factory=TrafficCounter)
    # Bytes of connections that this instance carries for peers; `sent` goes to the peers.
    carried: TrafficCounter = field(default_factory=TrafficCounter)
    platform: TrafficCounter = field(default_factory=TrafficCounter)
    # Load probes of servers.
    probes: TrafficCounter = field(default_factory=TrafficCounter)
    # Frames of datagrams and streams by message type; queued frames count as sent.
    by_message: dict[str, TrafficCounter] = field(default_factory=dict)

    def counter_for(self, message: object) -> TrafficCounter:
        """Return the counter for the type of a message."""
        return self.by_message.setdefault(type(message).__name__, TrafficCounter())
