"""Errors of decoders on malformed data from outside the process.

All adapters decode data of the store, servers, peers, callers and operators. Each decoder reports
malformed data in its own way, and deeply nested data fills the stack of some. An adapter catches
`DECODE_ERRORS` around each decoder, or calls one of the functions here.
"""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec

T = TypeVar("T")

# What decoders raise for malformed data: most raise a kind of `ValueError`, some `RecursionError`
# for nested values and `OverflowError` for numbers beyond 64 bits.
DECODE_ERRORS: Final = (ValueError, RecursionError, OverflowError)
# Digits of the largest number that is read; larger ones fit into no message between instances.
_NUMBER_DIGITS_MAX: Final = 15


class MalformedError(ValueError):
    """Data from outside the process cannot be decoded."""


def decode_json(raw: bytes | str, body_type: type[T], *, strict: bool = True) -> T:
    """Decode JSON to a type; raise `MalformedError` if it is malformed."""
    try:
        return msgspec.json.decode(raw, type=body_type, strict=strict)
    except RecursionError as exc:
        raise MalformedError("the data is nested too deeply") from exc
    except DECODE_ERRORS as exc:
        raise MalformedError(str(exc)) from exc


def parse_count(text: bytes) -> int | None:
    """Parse a decimal number without a sign; return None if it is malformed or too large."""
    digits = text.strip()
    if not digits.isdigit() or len(digits) > _NUMBER_DIGITS_MAX:
        return None
    return int(digits)
