"""Compression of settings documents for the links between instances.

A document repeats the same fields for each route, so a packed one is far smaller. The size of what
a packed one expands to is bounded.
"""

from __future__ import annotations

import zlib
from typing import Final

# The largest document that an instance accepts.
DOCUMENT_MAX_BYTES: Final = 4_194_304
_FASTEST: Final = 1


def pack(raw: bytes) -> bytes:
    """Return a document in its packed form."""
    return zlib.compress(raw, _FASTEST)


def unpack(packed: bytes) -> bytes:
    """Return the document in a packed form; raise `ValueError` if it is malformed or too large."""
    expander = zlib.decompressobj()
    try:
        raw = expander.decompress(packed, DOCUMENT_MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(f"the packed document is malformed: {exc}") from exc
    if expander.unconsumed_tail:
        raise ValueError(f"the document is larger than {DOCUMENT_MAX_BYTES} bytes")
    if not expander.eof:
        raise ValueError("the packed document is incomplete")
    return raw
