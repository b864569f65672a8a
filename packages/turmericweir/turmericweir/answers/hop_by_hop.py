"""Headers that belong to one connection and not to the request or answer that it carries.

Callers' requests and servers' answers pass through here on two connections; what one of them needs
must not reach the other.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

# RFC 9110, section 7.6.1.
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def named_by_connection(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Give the names, in lower case, that a message's own `connection` header adds to them."""
    found = b",".join(value for name, value in headers if name == b"connection")
    return frozenset(each.strip().lower() for each in found.split(b",") if each.strip())
