"""Tests of the bounds on all streams of peers together."""

from __future__ import annotations

from dataclasses import dataclass

from turmericweir.peers.incoming_streams import HELD_MAX_BYTES, IncomingStreams


@dataclass(slots=True, eq=False)
class Stream:
    """A stream that records why it was dropped."""

    has_sent_message: bool = False
    held_bytes: int = 0
    reason: str = ""

    def drop(self, reason: str) -> None:
        """Record the reason."""
        self.reason = reason


def test_largest_incomplete_frames_are_dropped_until_the_others_fit() -> None:
    # Guards against many frames, each below its bound, that fill the memory together.
    streams = IncomingStreams()
    peer = Stream(has_sent_message=True, held_bytes=HELD_MAX_BYTES // 2)
    crowd = [Stream(held_bytes=HELD_MAX_BYTES // 4) for _ in range(6)]
    for each in (peer, *crowd):
        streams.add(each)
        streams.update(each)
    assert len([each for each in crowd if not each.reason]) == 2
    assert not peer.reason


def test_room_of_a_stream_that_ended_is_free() -> None:
    streams = IncomingStreams()
    for _ in range(9):
        stream = Stream(held_bytes=HELD_MAX_BYTES)
        streams.add(stream)
        streams.update(stream)
        assert not stream.reason
        streams.remove(stream)
