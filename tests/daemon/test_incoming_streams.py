"""Tests of the bounds on all streams of peers together."""

from __future__ import annotations

from dataclasses import dataclass

from turmericweir.peers.incoming_streams import HELD_MAX_BYTES, STREAMS_MAX, IncomingStreams


@dataclass(slots=True, eq=False)
class Stream:
    """A stream that records why it was dropped."""

    received_at: float = 0.0
    has_sent_message: bool = False
    held_bytes: int = 0
    reason: str = ""

    def drop(self, reason: str) -> None:
        """Record the reason."""
        self.reason = reason


def test_silent_stream_gives_way_to_a_new_one() -> None:
    # Guards against a crowd that ends the streams of instances.
    streams = IncomingStreams()
    peers = [Stream(received_at=float(n), has_sent_message=True) for n in range(STREAMS_MAX - 2)]
    strangers = [Stream(received_at=1_000.0), Stream(received_at=2_000.0)]
    for each in (*peers, *strangers):
        streams.add(each)
    for _ in range(5):
        streams.add(Stream(received_at=3_000.0))
    assert all(each.reason for each in strangers)
    assert not any(each.reason for each in peers)


def test_stream_of_a_peer_gives_way_where_all_are_of_peers() -> None:
    # Guards against a peer that is kept out by connections that it has lost.
    streams = IncomingStreams()
    peers = [Stream(received_at=float(n), has_sent_message=True) for n in range(STREAMS_MAX)]
    for each in peers:
        streams.add(each)
    newest = Stream(received_at=3_000.0)
    streams.add(newest)
    assert [each.reason != "" for each in peers] == [True] + [False] * (STREAMS_MAX - 1)
    assert not newest.reason


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
