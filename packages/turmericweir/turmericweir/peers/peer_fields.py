"""Give messages between instances as arrays of their fields' values, and read them back.

The names of the fields are left out: heartbeats are most of the control traffic, and their names
would take up more than their values. A later release may add fields at the end of a message; a
reader of an earlier one drops what it does not know, and one of a later release takes the default
for what is missing. Fields must therefore not be moved or taken out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields, is_dataclass
from typing import Any, Final, get_args, get_type_hints

# Any: values are whatever msgpack carries; they are validated after this.
Reader = Callable[[Any], Any]
Plan = tuple[tuple[str, Reader | None], ...]
# Made once for each data class.
_PLANS: Final[dict[type, Plan]] = {}


def to_array(value: Any) -> list[Any]:
    """Give a data class as the values of its fields; nested ones are left to the codec."""
    return [getattr(value, name) for name, _ in _plan(type(value))]


def to_map(kind: type, values: Any) -> Any:
    """Name the values of a data class again, and of those inside it.

    What is no array is given back as it is: validation says what is wrong with it.
    """
    if not isinstance(values, list):
        return values
    named = zip(_plan(kind), values, strict=False)
    return {name: value if read is None else read(value) for (name, read), value in named}


def _plan(kind: type) -> Plan:
    """List the fields of a data class, each with what names the values inside it."""
    plan = _PLANS.get(kind)
    if plan is None:
        hints = get_type_hints(kind)
        plan = tuple((each.name, _reader(hints[each.name])) for each in fields(kind))
        _PLANS[kind] = plan
    return plan


def _reader(hint: Any) -> Reader | None:
    if isinstance(hint, type) and is_dataclass(hint):
        return lambda value: to_map(hint, value)
    # Lists, tuples and optional ones; a message holds at most one kind of data class in a field.
    inner = [each for each in map(_reader, get_args(hint)) if each is not None]
    if not inner:
        return None
    if isinstance(getattr(hint, "__origin__", None), type) and issubclass(hint.__origin__, dict):
        return lambda value: _each_value(inner[0], value)
    if getattr(hint, "__origin__", None) in (list, tuple):
        return lambda value: _each(inner[0], value)
    return inner[0]


def _each(read: Reader, value: Any) -> Any:
    return [read(it) for it in value] if isinstance(value, list) else value


def _each_value(read: Reader, value: Any) -> Any:
    return {key: read(it) for key, it in value.items()} if isinstance(value, dict) else value
