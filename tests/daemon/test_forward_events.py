"""Tests of the boundaries of events in forwarded streams."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericweir.answers.forward_events import EventSplitter, EventTracker

_STREAMS = [
    (b"data: a\n\ndata: b\n\n", 2, False),
    (b"data: a\r\n\r\ndata: b\r\n\r\n", 2, False),
    (b"data: a\r\rdata: b\r\r", 2, False),
    (b"\xef\xbb\xbfdata: a\n\n", 1, False),
    (b"data: a\n\n: end\n", 1, False),
    (b"data: a\n\n\n", 1, False),
    (b"", 0, False),
    (b"data: a\n\ndata: b\n", 1, True),
    (b"data: a\r\n\r\ndata: b\r\n", 1, True),
    (b"data: a\n\n: en", 1, True),
    (b"data: a\n\nid", 1, True),
    (b"data: a\n\ndata: " + b"b" * 5000, 1, True),
    (b"data: " + b"b" * 5000 + b"\n\n", 1, False),
]


@pytest.mark.parametrize(("stream", "count", "is_open"), _STREAMS)
@pytest.mark.parametrize("chunk_bytes", [1, 2, 3, 7, 10_000])
def test_events_are_tracked_over_all_chunks(
    stream: bytes, count: int, is_open: bool, chunk_bytes: int
) -> None:
    # Guards against an event end that is missed or invented where it is split between two chunks.
    tracker = EventTracker()
    starts = [*range(0, len(stream), chunk_bytes), len(stream)]
    assert sum(tracker.count_ends(stream[a:b]) for a, b in pairwise(starts)) == count
    assert tracker.is_event_open is is_open


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("chunk_bytes", [1, 2, 5, 10_000])
def test_stream_is_split_by_every_line_end(line_end: bytes, chunk_bytes: int) -> None:
    # Guards against a resumable stream with CRLF that reaches its caller only at its end.
    event = line_end.join([b"id: %d", b"data: a", b"", b""])
    stream = b"".join(event % number for number in range(4))
    splitter = EventSplitter(b"1")
    received = b""
    starts = [*range(0, len(stream), chunk_bytes), len(stream)]
    for start, end in pairwise(starts):
        data, _ = splitter.split_chunk(stream[start:end])
        received += data
    assert splitter.last_event_id == b"3"
    assert (received + splitter.take_rest()).strip() == (event % 2 + event % 3).strip()


def test_byte_order_mark_is_forwarded_only_at_the_start_of_a_stream() -> None:
    # Guards against an id that is not read, and a mark within the events of a resumed stream.
    event = b"\xef\xbb\xbfid: 2\ndata: a\n\n"
    first = EventSplitter(b"")
    assert first.split_chunk(event) == (event, 1)
    assert first.last_event_id == b"2"
    assert EventSplitter(b"1").split_chunk(event) == (event[3:], 1)


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (b"id: 2\0\ndata: a\n\n", b"1"),
        (b"id: 2\nid: 3\0\ndata: a\n\n", b"2"),
        (b"id: 3\0\nid: 2\ndata: a\n\n", b"2"),
        (b"id: 2\nid: 3\ndata: a\n\n", b"3"),
        (b"id: 2\x0b3\ndata: a\n\n", b"1"),
        (b"id: " + b"2" * 5000 + b"\ndata: a\n\n", b"1"),
        (b"id:\ndata: a\n\n", b"1"),
        (b"id: 2\x01\ndata: a\n\n", b"2\x01"),
    ],
)
def test_last_id_that_can_be_sent_counts(event: bytes, expected: bytes) -> None:
    """Guards against a stream that is resumed after an id which no request can have."""
    splitter = EventSplitter(b"1")
    assert splitter.split_chunk(event) == (event, 1)
    assert splitter.last_event_id == expected


@given(
    st.lists(st.sampled_from(["sendable", "unsendable", "none"]), max_size=12),
    st.lists(st.integers(0, 12), max_size=4),
    st.booleans(),
)
def test_resumed_stream_has_each_event_with_an_id_once(
    kinds: list[str], breaks: list[int], renames: bool
) -> None:
    """Guards against events that are repeated or lost where an id cannot be sent."""
    number_of = {b"id-%d" % number: number for number in range(len(kinds))}
    odd_ids = {"unsendable": b"id-%d\0", "none": None}
    last_id, after_id, received = b"id-x", 0, b""
    for attempt, end in enumerate([*breaks, len(kinds)]):
        splitter = EventSplitter(last_id, after_id)
        for number in range(number_of.get(last_id, -1) + 1, min(end, len(kinds))):
            form = odd_ids.get(kinds[number], b"id-%d")
            if form is not None and renames and attempt:
                # Another server may have ids that can be sent.
                form = b"id-%d"
            line = b"" if form is None else b"id: " + form % number + b"\n"
            received += splitter.split_chunk(line + b"data: %d.\n\n" % number)[0]
        last_id, after_id = splitter.last_event_id, splitter.events_after_id
    for number, kind in enumerate(kinds):
        count = received.count(b"data: %d.\n" % number)
        assert count == 1 or (kind == "none" and count >= 1)
