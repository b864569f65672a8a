"""Releases: the servers of one service that run the same version of its software.

What servers of two versions write does not fit together, so a stream is bound to the release of the
server that wrote its first event. Versions have no order. A release is a hash, which keeps messages
between instances small.
"""

from __future__ import annotations

from typing import Final, NewType

import xxhash

from turmericweir_core.base.config import ServerEntry

Release = NewType("Release", int)

# The release of a stream of which it is not known which server wrote it; no server has it.
UNKNOWN_RELEASE: Final = Release(0)


def release_of(entry: ServerEntry) -> Release:
    """Return the release of a server."""
    name = f"{entry.service}\0{entry.software_version}"
    # The lowest bit keeps it apart from `UNKNOWN_RELEASE`.
    return Release(xxhash.xxh32_intdigest(name.encode()) | 1)
