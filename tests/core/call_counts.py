"""Count calls of functions, for tests of what is not done."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest


def count_calls(monkeypatch: pytest.MonkeyPatch, *functions: tuple[object, str]) -> Counter[str]:
    """Count the calls of functions, each given by its module and its name."""
    counts: Counter[str] = Counter()

    def counting(name: str, function: Callable[..., Any]) -> Callable[..., Any]:
        def counted(*args: Any, **fields: Any) -> Any:
            counts[name] += 1
            return function(*args, **fields)

        return counted

    for module, name in functions:
        monkeypatch.setattr(module, name, counting(name, getattr(module, name)))
    return counts
