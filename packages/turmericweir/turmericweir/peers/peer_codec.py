"""Frames between instances: msgpack arrays of the sender, the message's type and its fields.

Messages are arrays of their fields' values: heartbeats are most of the control traffic, and the
names would take up more than the values. A later release may add fields at the end of a message; a
reader of an earlier one drops what it does not know, and one of a later release takes the default
for what is missing. Fields must therefore not be moved or taken out.

Whatever comes from the network is validated before the reducer sees it. A message that this release
does not know, or whose fields do not fit, is an expected value here, not an exception: during a
rolling upgrade instances of two releases talk to each other.
"""

from __future__ import annotations

from typing import Final

import anyio
import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from turmericweir.process import logs
from turmericweir.process.errors import PeerError
from turmericweir.process.node import Node
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.events import PeerReceived
from turmericweir_core.messages.peer_messages import PEER_MESSAGES, PeerMessage

# The largest frame of a stream: a whole settings state with room to spare.
FRAME_MAX: Final = 16_777_216
_PARTS: Final = 3
_STEP: Final = "decode frame"
# Dropped frames are logged at most so often; all are counted.
_LOG_EVERY_S: Final = 1.0


_KINDS: Final = {each.__name__: each for each in PEER_MESSAGES}
_FRAME: Final = msgspec.msgpack.Decoder(tuple[str, str, msgspec.Raw])
_DECODERS: Final[dict[str, msgspec.msgpack.Decoder[PeerMessage]]] = {
    each.__name__: msgspec.msgpack.Decoder(each) for each in PEER_MESSAGES
}


def encode(sender: InstanceName, message: PeerMessage) -> bytes:
    """Encode a message as one frame."""
    return msgspec.msgpack.encode((sender, type(message).__name__, message))


def decode(data: bytes, peer: str) -> Result[PeerReceived, PeerError]:
    """Decode a frame that came alone, in a datagram; `peer` names its origin in errors."""
    try:
        sender, name, raw = _FRAME.decode(data)
    # What is no text where text has to be fails as such.
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(PeerError(_STEP, peer, repr(exc)))
    decoder = _DECODERS.get(name)
    if decoder is None:
        return Failure(PeerError(_STEP, peer, f"no message is called {name!r}"))
    try:
        message = decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(PeerError(_STEP, peer, f"{name}: {exc}"))
    return Success(PeerReceived(InstanceName(sender), message))


def read_frame(frame: object, peer: str) -> Result[PeerReceived, PeerError]:
    """Validate a frame of a stream, which was split off there."""
    if not isinstance(frame, list) or len(frame) != _PARTS:
        return Failure(PeerError(_STEP, peer, "it is not an array of three"))
    sender, name, values = frame
    if not isinstance(sender, str) or not isinstance(name, str):
        return Failure(PeerError(_STEP, peer, "sender or type is not a string"))
    kind = _KINDS.get(name)
    if kind is None:
        return Failure(PeerError(_STEP, peer, f"no message is called {name!r}"))
    try:
        message = msgspec.convert(values, kind, strict=True)
    except msgspec.ValidationError as exc:
        return Failure(PeerError(_STEP, peer, f"{name}: {exc}"))
    return Success(PeerReceived(InstanceName(sender), message))


class FrameReader:
    """Hands decoded messages to the node, and drops, counts and logs the others."""

    _node: Node
    # When a dropped frame was last logged.
    _logged_at: float

    def __init__(self, node: Node) -> None:
        self._node = node
        self._logged_at = float("-inf")

    def take(self, result: Result[PeerReceived, PeerError], size: int) -> None:
        """Take the result of decoding one frame of so many bytes."""
        if is_successful(result):
            received = result.unwrap()
            self._node.traffic.counter_for(received.message).received.add(size)
            self._node.handle(received)
        else:
            self.drop(result.failure())

    def drop(self, error: PeerError) -> None:
        """Count a frame that cannot be used; a flood of them must not become a flood of lines."""
        self._node.count("peer.bad_frame")
        now = anyio.current_time()
        if now - self._logged_at >= _LOG_EVERY_S:
            self._logged_at = now
            logs.write("bad_frame", step=error.step, peer=error.peer, error=error.detail)
