"""Hashes of the parts of prompts, by which parts that crash servers are known."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import xxhash

# Bounds the work and the memory for prompts of very many parts.
SHARED_PARTS_MAX: Final = 64


def hash_shared_parts(scope: str, parts: Sequence[str]) -> tuple[int, ...]:
    """Hash all parts but the last, which is the request's own, within a scope."""
    shared = parts[: min(len(parts) - 1, SHARED_PARTS_MAX)] if parts else ()
    return tuple(
        xxhash.xxh3_64_intdigest(f"{scope}\0{part}".encode(errors="surrogatepass"))
        for part in shared
    )


def part_name(part: int) -> str:
    """Return the name of a part in logs and messages."""
    return f"{part:016x}"
