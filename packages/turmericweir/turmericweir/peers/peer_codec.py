"""Frames between instances: msgpack arrays of the sender, the message type and the fields.

The fields of a message are encoded by position, which keeps frequent messages small. Fields must
never be moved or removed; a later release may add fields at the end. The decoder ignores additional
fields and fills in the defaults of missing ones.

Frames are validated before they reach the reducer. Unknown or invalid messages are expected during
a rolling upgrade, so the decoder returns them as failures and raises no exception.
"""

from __future__ import annotations

from typing import Final

import anyio
import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from turmericweir.process import logs
from turmericweir.process.errors import PeerError
from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.node import Node
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.events import PeerReceived
from turmericweir_core.messages.load_messages import LoadNews
from turmericweir_core.messages.peer_messages import PEER_MESSAGES, PeerMessage

# How every frame begins, in every release.
_FRAME_START: Final = b"\x93"
# Characters of a foreign name that are logged.
_NAME_MAX_CHARS: Final = 64
_STEP: Final = "decode frame"
# Minimum time between log lines about dropped frames.
_LOG_INTERVAL_S: Final = 1.0


_FRAME: Final = msgspec.msgpack.Decoder(tuple[str, str, msgspec.Raw])
_DECODERS: Final[dict[str, msgspec.msgpack.Decoder[PeerMessage]]] = {
    message.__name__: msgspec.msgpack.Decoder(message) for message in PEER_MESSAGES
}


def encode(sender: InstanceName, message: PeerMessage) -> bytes:
    """Return a message as one frame."""
    return msgspec.msgpack.encode((sender, type(message).__name__, message))


def decode(data: bytes, origin: str) -> Result[PeerReceived, PeerError]:
    """Decode the frame of a datagram from an address."""
    try:
        sender, name, raw = _FRAME.decode(data)
    except DECODE_ERRORS as exc:
        return Failure(PeerError(_STEP, origin, repr(exc)))
    decoder = _DECODERS.get(name)
    if decoder is None:
        return Failure(PeerError(_STEP, origin, f"no message is called {name[:_NAME_MAX_CHARS]!r}"))
    try:
        message = decoder.decode(raw)
    except DECODE_ERRORS as exc:
        return Failure(PeerError(_STEP, origin, f"{name}: {exc}"))
    return Success(PeerReceived(InstanceName(sender), message, origin))


def load_update_sender(data: bytes) -> InstanceName | None:
    """Return the sender of a frame with a load update; None for all other frames."""
    try:
        sender, name, _ = _FRAME.decode(data)
    except DECODE_ERRORS:
        return None
    return InstanceName(sender) if name == LoadNews.__name__ else None


def read_frame(frame: bytes, peer: str) -> Result[PeerReceived, PeerError]:
    """Decode a frame of a stream; `peer` names its origin in errors.

    Raise ValueError if it is not even the frame of another release.
    """
    if not frame.startswith(_FRAME_START):
        raise ValueError("the frame is not an array of three values")
    return decode(frame, peer).map(_without_origin)


def _without_origin(received: PeerReceived) -> PeerReceived:
    return PeerReceived(received.sender, received.message)


class FrameReader:
    """Passes decoded messages to the node; counts and logs invalid frames."""

    _node: Node
    # When a dropped frame or a lost stream was last logged.
    _logged_at: float

    def __init__(self, node: Node) -> None:
        self._node = node
        self._logged_at = float("-inf")

    def process_result(self, result: Result[PeerReceived, PeerError], size: int) -> None:
        """Process the result of decoding one frame of `size` bytes."""
        if is_successful(result):
            received = result.unwrap()
            self._node.traffic.counter_for(received.message).received.add(size)
            self._node.handle(received)
        else:
            self.drop_frame(result.failure())

    def drop_frame(self, error: PeerError) -> None:
        """Count an invalid frame and log it, at a limited rate."""
        self._node.count("peer.bad_frame")
        self.log_limited("bad_frame", step=error.step, peer=error.peer, error=error.detail)

    def log_limited(self, event: str, **fields: str) -> None:
        """Log an event at the peers' port, at a limited rate for all events together."""
        now = anyio.current_time()
        if now - self._logged_at >= _LOG_INTERVAL_S:
            self._logged_at = now
            logs.write(event, **fields)
