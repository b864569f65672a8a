"""What an instance tells others of servers that fail its requests."""

from __future__ import annotations

from msgspec import Struct


class OutlierRow(Struct, frozen=True, array_like=True):
    """Recent results of the sender's requests to one server, of which some failed."""

    server: str
    incarnation: str
    # Requests with a result, and those that the server failed.
    tried: int
    failed: int
    # Instances whose results these are.
    reporters: int
    # Milliseconds since the newest failure.
    age_ms: int
