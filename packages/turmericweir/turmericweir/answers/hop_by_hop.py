"""Hop-by-hop headers, which are not forwarded between the caller's and the server's connection."""

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


def connection_header_names(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the header names, in lower case, that the `connection` header lists as hop-by-hop."""
    listed_names = b",".join(value for name, value in headers if name == b"connection")
    return frozenset(each.strip().lower() for each in listed_names.split(b",") if each.strip())
