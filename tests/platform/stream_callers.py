"""Callers that read a stream event by event and take it up at another instance if it breaks off."""

from __future__ import annotations

import http.client
import itertools
import json
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from tests.platform.platform_world import PlatformWorld, connection_to

# Longest time that a caller waits between two tries, in seconds.
PAUSE_MAX_S: Final = 0.5

_numbers = itertools.count(1)


@dataclass(slots=True)
class Stream:
    """A stream as a caller got it, over all of its tries."""

    # The id of the try that brought the first event; empty before.
    first_id: str = ""
    request_ids: list[str] = field(default_factory=list)
    # Instance and status of each try; 0 without an answer.
    tries: list[tuple[str, int]] = field(default_factory=list)
    # The reason that the answer of each refused try names.
    refusals: list[str] = field(default_factory=list)
    event_ids: list[int] = field(default_factory=list)
    pieces: list[str] = field(default_factory=list)
    # The try that brought each event.
    event_requests: list[str] = field(default_factory=list)
    # Events that the first try brought; the rest was taken up.
    first_events: int = 0
    is_complete: bool = False

    @property
    def versions(self) -> set[str]:
        """The versions that wrote the events."""
        return set(self.event_versions)

    @property
    def event_versions(self) -> list[str]:
        """The version that wrote each event."""
        return [piece.split(" ")[2] for piece in self.pieces]

    @property
    def was_taken_up(self) -> bool:
        """Whether a try went on after the first events."""
        return bool(self.first_id) and self.request_ids[-1] != self.first_id


class StreamCaller(threading.Thread):
    """Calls instances in turn until it has the whole stream or its time is over."""

    def __init__(
        self,
        world: PlatformWorld,
        instances: Sequence[str],
        *,
        key: str = "",
        prefix: str = "",
        time_limit_s: float = 7.0,
        tries_max: int = 12,
        names_stream: bool = True,
    ) -> None:
        super().__init__(daemon=True)
        self.stream = Stream()
        self._world = world
        self._instances = instances
        self._headers = {"X_Key": key} if key else {}
        if prefix:
            self._headers["X_Prefix_Hash"] = f"{prefix}:400,own:600"
        self._time_limit_s = time_limit_s
        self._tries_max = tries_max
        self._names_stream = names_stream

    def allow_tries(self, count: int) -> None:
        """Raise the number of tries."""
        self._tries_max = count

    def run(self) -> None:
        """Call until the stream is complete."""
        deadline = time.monotonic() + self._time_limit_s
        for number in itertools.count():
            if number >= self._tries_max:
                return
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or self.stream.is_complete:
                return
            instance = self._instances[number % len(self._instances)]
            pause_s = self._try(instance, remaining_s)
            if not self.stream.is_complete:
                time.sleep(min(pause_s, PAUSE_MAX_S))

    def _try(self, instance: str, remaining_s: float) -> float:
        """Make one try; return the time to wait before the next one, in seconds."""
        stream = self.stream
        request_id = f"stream-{next(_numbers)}"
        headers = dict(self._headers, X_Deadline_Ms=str(max(1, int(remaining_s * 1000))))
        if stream.event_ids:
            headers["Last_Event_Id"] = str(stream.event_ids[-1])
            if self._names_stream:
                headers["Resumes"] = stream.first_id
        stream.request_ids.append(request_id)
        conn = connection_to(self._world.running[instance].caller_address)
        try:
            path = "/lm/chat/"
            conn.request(
                "POST", path, b"prompt", self._world.request_headers(path, request_id, **headers)
            )
            response = conn.getresponse()
            stream.tries.append((instance, response.status))
            if response.status != http.HTTPStatus.OK:
                stream.refusals.append(json.loads(response.read() or b"{}").get("error", ""))
                return float(response.headers.get("Retry-After", "0.05"))
            self._read_events(response, request_id)
        except (OSError, http.client.HTTPException):
            if len(stream.tries) < len(stream.request_ids):
                stream.tries.append((instance, 0))
        finally:
            conn.close()
        return 0.02

    def _read_events(self, response: http.client.HTTPResponse, request_id: str) -> None:
        stream = self.stream
        buffer = b""
        # Unlike readline(), read1() reports that an answer was cut.
        while data := response.read1():
            *events, buffer = (buffer + data).split(b"\n\n")
            for event in events:
                id_line, data_line = event.decode().split("\n")
                stream.first_id = stream.first_id or request_id
                stream.event_ids.append(int(id_line.removeprefix("id: ")))
                stream.pieces.append(data_line.removeprefix("data: "))
                stream.event_requests.append(request_id)
                stream.first_events += request_id == stream.first_id
        stream.is_complete = True
