"""The bounds on what a server answers, which the process's settings may change.

They limit what is no plausible answer. `servers.answer_size` applies them.
"""

from __future__ import annotations

import msgspec


class AnswerBounds(msgspec.Struct, frozen=True, kw_only=True):
    """The bounds on the parts of an answer, in bytes."""

    # One event of a stream.
    event_bytes: int = 262_144
    # The body of an answer with an error status.
    error_bytes: int = 262_144
    # The body of any other answer that does not announce its length.
    unsized_bytes: int = 4_194_304
