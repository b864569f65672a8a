"""How a server framed an answer and how the answer ended, as its connection showed it.

An answer ends with its announced length, with its last chunk, or with its connection. Only the
first two show that it is complete; a server that fails may close its connection normally.
"""

from __future__ import annotations

from typing import Final

import httpcore

from turmericweir_core.messages.events import AnswerForm

LENGTH: Final = "length"
CHUNKED: Final = "chunked"
CONNECTION_END: Final = "connection_end"
_WHOLE: Final = "whole"
_CLOSED: Final = "closed"
_RESET: Final = "reset"
_OVERSIZED: Final = "oversized"
_HEAD: Final = b"HEAD"
STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


class AnswerRecord:
    """Records one answer as it is read."""

    __slots__ = ("_end", "_framing", "is_event_open")

    # Empty if no answer has begun.
    _framing: str
    # Empty until the answer has ended.
    _end: str
    # Whether the last event of a stream is incomplete.
    is_event_open: bool

    def __init__(self) -> None:
        self._framing = ""
        self._end = ""
        self.is_event_open = False

    @property
    def form(self) -> AnswerForm | None:
        """The record as data; None if no answer has begun."""
        return AnswerForm(self._framing, self._end, self.is_event_open) if self._framing else None

    @property
    def framing(self) -> str:
        """How the answer says where it ends; empty if no answer has begun."""
        return self._framing

    @property
    def is_framed(self) -> bool:
        """Whether the answer itself shows where it ends."""
        return self._framing != CONNECTION_END

    @property
    def is_sized(self) -> bool:
        """Whether the answer announces its length, or has no body."""
        return self._framing == LENGTH

    def begin(self, request: httpcore.Request, response: httpcore.Response) -> None:
        """Record the framing of an answer whose head was read."""
        self._framing = framing_of(request, response)

    def note_read(self) -> None:
        """Record that the answer was read to its end."""
        self._end = _CLOSED if self._framing == CONNECTION_END else _WHOLE

    def note_oversized(self) -> None:
        """Record that this end closed the connection, since the answer exceeded a bound."""
        self._end = _OVERSIZED

    def note_lost(self, error: Exception) -> None:
        """Record that the connection ended before the answer did."""
        # A close without a part of the answer is an error of the protocol.
        self._end = _CLOSED if isinstance(error, httpcore.ProtocolError) else _RESET


def framing_of(request: httpcore.Request, response: httpcore.Response) -> str:
    """Return how the body of an answer is framed; an answer without a body has a length."""
    if request.method == _HEAD or response.status in STATUSES_WITHOUT_BODY:
        return LENGTH
    names = {name.lower() for name, _ in response.headers}
    if b"transfer-encoding" in names:
        return CHUNKED
    return LENGTH if b"content-length" in names else CONNECTION_END
