"""Conversion of any part of the state to plain JSON, for the operators' state dump.

The conversion handles data classes and collections generically, which includes new state without
changes here. Secrets and customers' data are left out.
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

# Digests of tokens, from which short or reused tokens could be found.
_SECRET_FIELDS: Final = frozenset(
    {"token_digests", "token_digest", "customers_by_token", "token_sha256", "admin_tokens"}
    # Stored answers are customers' data.
    | {"answer"}
)
# Prevents the dump of a large table from blocking the event loop for seconds.
_MAX_ENTRIES: Final = 2_000
# Deeper than any state. Prevents an endless recursion on cycles.
_MAX_DEPTH: Final = 24


# Any: the structure of the result depends on the value.
def dump(value: object, depth: int = 0) -> Any:
    """Return a value as plain JSON."""
    if value is None or isinstance(value, bool | int):
        return value
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, str):
        return value
    if isinstance(value, float):
        return value if isfinite(value) else str(value)
    if depth > _MAX_DEPTH:
        return "..."
    return _dump_compound(value, depth + 1)


def _dump_compound(value: object, depth: int) -> Any:
    # A pydantic model, recognised by its attribute, since pydantic is not loaded in every process.
    model_fields = getattr(type(value), "model_fields", None)
    if model_fields is not None:
        return _dump_fields({name: getattr(value, name) for name in model_fields}, depth)
    if isinstance(value, msgspec.Struct):
        return _dump_fields({name: getattr(value, name) for name in value.__struct_fields__}, depth)
    if is_dataclass(value):
        return _dump_fields({item.name: getattr(value, item.name) for item in fields(value)}, depth)
    if isinstance(value, Mapping):
        entries = {_key_text(key): item for key, item in islice(value.items(), _MAX_ENTRIES)}
        if len(value) > _MAX_ENTRIES:
            entries["..."] = f"{len(value)} entries in all"
        return _dump_fields(entries, depth)
    if isinstance(value, list | tuple | deque):
        return [dump(item, depth) for item in value]
    if isinstance(value, Set):
        return sorted((dump(item, depth) for item in value), key=str)
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Random):
        return "generator"
    return f"<{type(value).__name__}>"


def _dump_fields(values: Mapping[str, object], depth: int) -> dict[str, Any]:
    return {
        name: dump(value, depth) for name, value in values.items() if name not in _SECRET_FIELDS
    }


def _key_text(key: object) -> str:
    if isinstance(key, str):
        return key.value if isinstance(key, Enum) else key
    return str(key)
