"""The connections of one caller of a soak, which are kept open between requests."""

from __future__ import annotations

import http.client
import time
from dataclasses import dataclass, field
from types import TracebackType
from typing import Final, Self

from tests.platform.platform_world import Answer, PlatformWorld, call_on, connection_to

# Four fifths of the time for which the settings allow connections to be idle.
REUSE_MAX_S: Final = 12.0


@dataclass(slots=True)
class CallerConnections:
    """One connection to each instance; each is used until the instance closes it."""

    world: PlatformWorld
    _by_instance: dict[str, http.client.HTTPConnection] = field(default_factory=dict)
    _opened_at: dict[str, float] = field(default_factory=dict)
    _used_at: dict[str, float] = field(default_factory=dict)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for conn in self._by_instance.values():
            conn.close()

    def is_open(self, instance: str) -> bool:
        """Return whether there is a connection that may be used; close one that was idle long."""
        conn = self._by_instance.get(instance)
        if conn is None or conn.sock is None:
            return False
        if time.monotonic() - self._used_at[instance] > REUSE_MAX_S:
            conn.close()
            return False
        return True

    def open(self, instance: str) -> None:
        """Open a connection."""
        conn = connection_to(self.world.running[instance].caller_address)
        conn.connect()
        self._by_instance[instance] = conn
        self._opened_at[instance] = self._used_at[instance] = time.monotonic()

    def opened_at(self, instance: str) -> float:
        """Return when the connection was opened."""
        return self._opened_at[instance]

    def send(
        self, instance: str, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        """Send a request on the open connection; close it after an error or a cut answer."""
        conn = self._by_instance[instance]
        try:
            answer = call_on(conn, method, path, body, headers)
            self._used_at[instance] = time.monotonic()
            if answer.is_cut:
                conn.close()
            return answer
        except (OSError, http.client.HTTPException):
            conn.close()
            raise
