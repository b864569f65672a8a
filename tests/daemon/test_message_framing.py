"""Tests of where the parts of messages end, with the parser that is given them."""

from __future__ import annotations

from itertools import pairwise

import httptools
import pytest

from turmericweir.callers.message_framing import MessageFraming, Part

_MESSAGES = (
    b"GET /a HTTP/1.1\r\n\r\n",
    b"GET /b HTTP/1.1\r\nhost: b\r\n\r\n",
    b"POST /c HTTP/1.1\r\ncontent-length: 9\r\n\r\na\r\n\r\nb\r\nc",
    b"POST /d HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
    b"4;x=y\r\n\r\n0\n\r\n00A\r\n0123456789\r\n0\r\n\r\n",
    b"POST /e HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\nx: y\r\nz: 1\r\n\r\n",
    b"POST /f HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
)
_BODIES = (b"", b"", b"a\r\n\r\nb\r\nc", b"\r\n0\n0123456789", b"\n", b"")


class _Parsed:
    """Parses pieces as `http_server` does."""

    def __init__(self) -> None:
        self.framing = MessageFraming()
        self.bodies: list[bytes] = []
        # How many messages ended in each piece.
        self.ends: list[int] = []
        self._has_begun = False
        self._headers: dict[bytes, bytes] = {}
        self._parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self._has_begun = True
        self._headers = {}
        self.bodies.append(b"")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name] = value

    def on_headers_complete(self) -> None:
        self.framing.begin_body(self._headers)

    def on_body(self, body: bytes) -> None:
        self.bodies[-1] += body

    def on_message_complete(self) -> None:
        self._has_begun = False
        self.framing.end_message()
        self.ends[-1] += 1

    def parse(self, data: bytes) -> bytes:
        """Parse what can be parsed; return the rest."""
        while data and (end := self.framing.piece_end(data, 0)):
            piece, data = data[:end], data[end:]
            part = self.framing.part
            self.ends.append(0)
            self._parser.feed_data(piece)
            if self._has_begun and self.framing.part is part:
                self.framing.end_piece(piece)
        return data


@pytest.mark.parametrize("size", [1, 2, 3, 7, 64, 10_000])
def test_no_piece_goes_beyond_the_end_of_a_message(size: int) -> None:
    # Guards against requests that are parsed while another one runs, and against bodies cut wrong.
    data = b"".join(_MESSAGES)
    parsed = _Parsed()
    rest = b""
    for start in range(0, len(data), size):
        rest = parsed.parse(rest + data[start : start + size])
    assert (rest, parsed.framing.part) == (b"", Part.FIRST_LINE)
    assert parsed.bodies == list(_BODIES)
    assert sum(parsed.ends) == len(_MESSAGES)
    assert max(parsed.ends) == 1


def test_head_that_is_not_complete_is_not_parsed() -> None:
    # Guards against holding the lines of heads without an end as objects.
    parsed = _Parsed()
    head = _MESSAGES[1]
    line_end = head.index(b"\n") + 1
    for start, end in pairwise((0, line_end, line_end + 4, len(head) - 1)):
        assert parsed.parse(head[line_end:end] if start else head[:end]) == head[line_end:end]
    assert parsed.parse(head[line_end:]) == b""
