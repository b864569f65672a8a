"""Tests of splitting the bytes of peers into frames."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericweir.peers.frame_splitter import (
    FRAME_MAX_BYTES,
    FRAME_MAX_VALUES,
    FrameSplitter,
)

_LENGTHS = (0, 1, 15, 16, 31, 32, 255, 256, 65_536)
_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.sampled_from(_LENGTHS).map(lambda length: "x" * length),
    st.sampled_from(_LENGTHS).map(lambda length: b"x" * length),
    st.sampled_from(_LENGTHS).map(lambda length: msgpack.ExtType(5, b"x" * length)),
    st.sampled_from(_LENGTHS).map(lambda length: [0] * length),
)
_VALUES = st.recursive(
    _SCALARS, lambda each: st.lists(each) | st.dictionaries(st.text(max_size=3), each), max_leaves=9
)


@given(st.lists(_VALUES, max_size=4), st.integers(1, 70_000))
def test_frames_are_those_that_were_packed(values: list[object], part_bytes: int) -> None:
    # Guards against a stream that is split elsewhere than its sender has split it.
    frames = [msgpack.packb(each) for each in values]
    data = b"".join(frames)
    if len(data) // part_bytes > 1_000:
        part_bytes = 1_000
    splitter = FrameSplitter()
    received: list[bytes] = []
    for start in range(0, len(data), part_bytes):
        splitter.feed(data[start : start + part_bytes])
        received += splitter.split()
    assert received == frames
    assert splitter.held_bytes == 0


def test_frame_is_refused_when_it_announces_too_much() -> None:
    # Guards against memory that is taken before a frame is refused.
    for data in (
        b"\xc6" + FRAME_MAX_BYTES.to_bytes(4, "big"),
        b"\xdb\xff\xff\xff\xff",
        b"\xc9\xff\xff\xff\xff",
        b"\xdd" + FRAME_MAX_VALUES.to_bytes(4, "big"),
        b"\xdf" + (FRAME_MAX_VALUES // 2).to_bytes(4, "big"),
    ):
        splitter = FrameSplitter()
        splitter.feed(data[:-1])
        assert not list(splitter.split())
        splitter.feed(data[-1:])
        with pytest.raises(ValueError, match="a frame has more than"):
            list(splitter.split())


def test_frame_of_nested_lists_is_refused_at_the_bound_on_values() -> None:
    # Guards against a bound that counts only one level.
    splitter = FrameSplitter()
    splitter.feed(b"\x91" * FRAME_MAX_VALUES)
    with pytest.raises(ValueError, match="values"):
        list(splitter.split())


def test_byte_that_begins_no_value_is_refused() -> None:
    splitter = FrameSplitter()
    splitter.feed(b"\xc1")
    with pytest.raises(ValueError, match="no value begins"):
        list(splitter.split())
