"""Turn any part of the state into plain JSON, for the operators' state dump.

It walks over data classes and collections without knowing them, so that new state shows up by
itself. What would let a reader of the dump pose as somebody else is left out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Set
from dataclasses import fields, is_dataclass
from enum import Enum
from itertools import islice
from math import isfinite
from random import Random
from typing import Any, Final

import msgspec

# Digests of tokens: a short or reused token could be found from them.
_SECRET: Final = frozenset(
    {"token_digests", "token_digest", "customers_by_token", "token_sha256", "admin_tokens"}
    # Kept answers are customers' data.
    | {"answer"}
)
# Entries of one table that are shown. A hundred thousand claims, say, would hold the loop, and with
# it every request of the instance, for seconds.
_ENTRIES_MAX: Final = 2_000
# Deeper than any state; a cycle ends there instead of the process.
_DEPTH_MAX: Final = 24


# Any: a plain JSON value is whatever the state holds.
def dump(value: object, depth: int = 0) -> Any:
    """Give a value as plain JSON."""
    if value is None or isinstance(value, bool | int):
        return value
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, str):
        return value
    if isinstance(value, float):
        return value if isfinite(value) else str(value)
    if depth > _DEPTH_MAX:
        return "..."
    return _dump_compound(value, depth + 1)


def _dump_compound(value: object, depth: int) -> Any:
    # A validated model: asked for by what it offers, as its library is not loaded everywhere.
    validated = getattr(type(value), "model_fields", None)
    if validated is not None:
        return _dump_named({name: getattr(value, name) for name in validated}, depth)
    if isinstance(value, msgspec.Struct):
        return _dump_named({name: getattr(value, name) for name in value.__struct_fields__}, depth)
    if is_dataclass(value):
        return _dump_named({each.name: getattr(value, each.name) for each in fields(value)}, depth)
    if isinstance(value, Mapping):
        shown = {_key(key): each for key, each in islice(value.items(), _ENTRIES_MAX)}
        if len(value) > _ENTRIES_MAX:
            shown["..."] = f"{len(value)} entries in all"
        return _dump_named(shown, depth)
    if isinstance(value, list | tuple | deque):
        return [dump(each, depth) for each in value]
    if isinstance(value, Set):
        return sorted((dump(each, depth) for each in value), key=str)
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Random):
        return "generator"
    return f"<{type(value).__name__}>"


def _dump_named(named: Mapping[str, object], depth: int) -> dict[str, Any]:
    return {name: dump(each, depth) for name, each in named.items() if name not in _SECRET}


def _key(key: object) -> str:
    if isinstance(key, str):
        return key.value if isinstance(key, Enum) else key
    return str(key)
