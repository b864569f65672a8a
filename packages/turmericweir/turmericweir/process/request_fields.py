"""Which fields of a request cannot be sent, by the syntax of HTTP.

Values of other writers reach requests: names from settings and entries, ids from answers, headers
of callers. The parser refuses the whole request for one of them; this module tells which it was.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    # The settings file of the process is checked before the library is loaded.
    import httpcore

# RFC 9110, sections 5.1 and 5.5, without the white space that the parser refuses within a value.
_NAME: Final = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+")
_VALUE: Final = re.compile(rb"(?:[^\x00\s]+(?:[ \t]+[^\x00\s]+)*)?")
# RFC 9112, section 3.
_TARGET: Final = re.compile(rb"[\x21-\x7e]+")
# Bytes of a value that an error shows.
_SHOWN_BYTES: Final = 80


def is_sendable_value(value: bytes) -> bool:
    """Return whether a header may have a value."""
    return _VALUE.fullmatch(value) is not None


def find_unsendable(request: httpcore.Request) -> str | None:
    """Return the description of the first field that cannot be sent, or None if all can."""
    if not _NAME.fullmatch(request.method):
        return _describe("method", request.method)
    if not _TARGET.fullmatch(request.url.target):
        return _describe("target", request.url.target)
    for name, value in request.headers:
        if not _NAME.fullmatch(name):
            return _describe("name of a header", name)
        if not is_sendable_value(value):
            return _describe(f"header {name.decode()}", value)
    return None


def _describe(field: str, value: bytes) -> str:
    more = "..." if len(value) > _SHOWN_BYTES else ""
    return f"{field}: {value[:_SHOWN_BYTES]!r}{more} cannot be sent"
