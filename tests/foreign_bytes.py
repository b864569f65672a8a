"""Generates malformed forms of data that crosses a border of the process."""

from __future__ import annotations

import json
from collections.abc import Iterator
from random import Random
from typing import Any, Final

NESTING: Final = 20_000
HUGE_NUMBER: Final = "9" * 5_000
_ODD_VALUES: Final[tuple[object, ...]] = (
    None,
    True,
    -1,
    2**63,
    2**64,
    10**25,
    1e308,
    "",
    "\0",
    "\ufffd",
    "x" * 70_000,
    "²",
    "a..b:80",
    "127.0.0.1:99999",
    [],
    {},
    [[[]]],
)
_MUTATIONS: Final = 150


def named_forms(sample: dict[str, Any]) -> dict[str, bytes]:
    """Return malformed forms of a JSON object, by name."""
    text = json.dumps(sample)
    rest = text[1:]
    first = next(iter(sample))
    return {
        "empty": b"",
        "nul": b"\0" * 16,
        "cut": text[: len(text) // 2].encode(),
        "no object": b"[1, 2]",
        "null": b"null",
        "nested and cut": b'{"x":' + b"[" * NESTING,
        "nested": b'{"x":' + b"[" * NESTING + b"]" * NESTING + b"," + rest.encode(),
        "nested objects": b'{"x":' + b'{"x":' * NESTING + b"1" + b"}" * NESTING + b"}",
        "nested first": f'{{"{first}":'.encode() + b"[" * NESTING,
        "huge number": f'{{"x":{HUGE_NUMBER},{rest}'.encode(),
        "huge exponent": f'{{"x":1e{HUGE_NUMBER},{rest}'.encode(),
        "invalid utf-8": b'{"' + b"\xff\xfe" + b'":1,' + rest.encode(),
        "invalid utf-8 value": b'{"x":"\xff",' + rest.encode(),
        "lone surrogate": b'{"x":"\\ud800",' + rest.encode(),
        "duplicate key": f'{{"{first}":7,{rest}'.encode(),
        "very long": f'{{"x":"{"y" * 300_000}",{rest}'.encode(),
        "byte order mark": b"\xef\xbb\xbf" + text.encode(),
    }


def odd_fields(sample: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    """Yield the object with each field in turn missing or of an odd value."""
    for name in sample:
        rest = {key: value for key, value in sample.items() if key != name}
        yield f"{name} missing", json.dumps(rest).encode()
        for value in _ODD_VALUES:
            yield f"{name} {value!r:.20}", json.dumps({**rest, name: value}).encode()
        huge = json.dumps({**rest, name: 0}).replace(f'"{name}": 0', f'"{name}": {HUGE_NUMBER}')
        yield f"{name} huge", huge.encode()


def mutations(data: bytes, seed: int) -> Iterator[bytes]:
    """Yield copies of data with bytes changed, dropped, repeated or cut off."""
    rng = Random(seed)
    for _ in range(_MUTATIONS):
        changed = bytearray(data)
        for _ in range(rng.randint(1, 4)):
            at = rng.randrange(len(changed) or 1)
            match rng.randrange(4):
                case 0:
                    changed[at : at + 1] = bytes([rng.randrange(256)])
                case 1:
                    del changed[at : at + rng.randint(1, 8)]
                case 2:
                    changed[at:at] = changed[at : at + rng.randint(1, 8)] * rng.randint(1, 50)
                case _:
                    del changed[at:]
            if not changed:
                break
        yield bytes(changed)


def all_forms(sample: dict[str, Any], seed: int = 1) -> Iterator[tuple[str, bytes]]:
    """Yield every malformed form of a JSON object with its name."""
    yield from named_forms(sample).items()
    yield from odd_fields(sample)
    for number, form in enumerate(mutations(json.dumps(sample).encode(), seed)):
        yield f"mutation {number}", form
