"""What an engine has loaded, and the orders that change it.

A loaded model is labelled `model`, `model@version` or `model@version+adapter`, depending on what
the order named; a request may name the label or the bare model. An order carries a fencing number.
An engine that checks refuses a number smaller than the highest one it accepted; equal numbers are
accepted, since one holder gives many orders under one lease. An engine that does not check keeps
no number.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from pydantic import BaseModel

OrderState = Literal["loading", "loaded", "unloaded", "role"]


class Order(BaseModel):
    """An order as on the wire."""

    kind: Literal["load", "unload", "role"]
    model: str = ""
    version: str = ""
    adapter: str | None = None
    role: str | None = None
    fence: int

    @property
    def label(self) -> str:
        """The label of what the order is about."""
        version = f"@{self.version}" if self.version else ""
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}{version}{adapter}"


class StaleFenceError(Exception):
    """Refuse an order whose fencing number is smaller than one accepted before."""

    # The highest number accepted.
    fence: int

    def __init__(self, fence: int) -> None:
        super().__init__(f"the fencing number is older than {fence}")
        self.fence = fence


class ModelTable:
    """The models, the role and the fencing number of one engine."""

    role: str
    # The highest fencing number accepted.
    fence: int
    _check_fence: bool
    _load_s: float
    _loaded: list[str]
    # When each model being loaded will be ready.
    _loading: dict[str, float]

    def __init__(self, models: Iterable[str], load_s: float, check_fence: bool) -> None:
        self.role = "mixed"
        self.fence = 0
        self._check_fence = check_fence
        self._load_s = load_s
        self._loaded = list(models)
        self._loading = {}

    def obey(self, order: Order, now: float) -> OrderState:
        """Carry out an order; raise StaleFenceError if its number is old."""
        if self._check_fence:
            if order.fence < self.fence:
                raise StaleFenceError(self.fence)
            self.fence = order.fence
        self._settle(now)
        match order.kind:
            case "load":
                return self._load(order.label, now)
            case "unload":
                return self._unload(order.label)
            case "role":
                self.role = order.role or self.role
                return "role"

    def loaded(self, now: float) -> list[str]:
        """Return the labels of what can serve."""
        self._settle(now)
        return list(self._loaded)

    def loading(self, now: float) -> list[str]:
        """Return the labels of what is being loaded."""
        self._settle(now)
        return list(self._loading)

    def serves(self, model: str, now: float) -> bool:
        """Tell whether a request for this model can run."""
        self._settle(now)
        return any(model in (label, _bare(label)) for label in self._loaded)

    def _load(self, label: str, now: float) -> OrderState:
        if label in self._loaded:
            return "loaded"
        # A repeated order must not start the load anew.
        self._loading.setdefault(label, now + self._load_s)
        return "loading"

    def _unload(self, label: str) -> OrderState:
        self._loading.pop(label, None)
        if label in self._loaded:
            self._loaded.remove(label)
        return "unloaded"

    def _settle(self, now: float) -> None:
        ready = [label for label, at in self._loading.items() if at <= now]
        for label in ready:
            del self._loading[label]
            self._loaded.append(label)


def _bare(label: str) -> str:
    return label.split("+", 1)[0].split("@", 1)[0]
