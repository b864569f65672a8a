"""The loaded models of an engine, and the orders that change them.

A loaded model has the label `model`, `model@version` or `model@version+adapter`, as in its order; a
request may name the label or the bare model. An order has a fencing number. An engine that checks
fencing numbers refuses one that is smaller than the highest it accepted; equal numbers are
accepted, since a lease holder sends many orders under one lease. An engine that does not check them
stores no number.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from pydantic import BaseModel

OrderState = Literal["loading", "loaded", "unloaded", "role"]


class Order(BaseModel):
    """An order in the form of the protocol."""

    kind: Literal["load", "unload", "role"]
    model: str = ""
    version: str = ""
    adapter: str | None = None
    role: str | None = None
    fence: int

    @property
    def label(self) -> str:
        """The label of the model that the order names."""
        version = f"@{self.version}" if self.version else ""
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}{version}{adapter}"


class StaleFenceError(Exception):
    """Refuse an order whose fencing number is smaller than an accepted one."""

    # The highest accepted number.
    fence: int

    def __init__(self, fence: int) -> None:
        super().__init__(f"the fencing number is smaller than {fence}")
        self.fence = fence


class ModelTable:
    """The models, the role and the fencing number of one engine."""

    role: str
    # The highest accepted fencing number.
    fence: int
    _check_fence: bool
    _load_s: float
    _loaded: list[str]
    # When each loading model will be ready, by label.
    _loading: dict[str, float]

    def __init__(self, models: Iterable[str], load_s: float, check_fence: bool) -> None:
        self.role = "mixed"
        self.fence = 0
        self._check_fence = check_fence
        self._load_s = load_s
        self._loaded = list(models)
        self._loading = {}

    def execute(self, order: Order, now: float) -> OrderState:
        """Execute an order; raise StaleFenceError if its fencing number is stale."""
        if self._check_fence:
            if order.fence < self.fence:
                raise StaleFenceError(self.fence)
            self.fence = order.fence
        self._finish_loads(now)
        match order.kind:
            case "load":
                return self._load(order.label, now)
            case "unload":
                return self._unload(order.label)
            case "role":
                self.role = order.role or self.role
                return "role"

    def loaded(self, now: float) -> list[str]:
        """Return the labels of the loaded models."""
        self._finish_loads(now)
        return list(self._loaded)

    def loading(self, now: float) -> list[str]:
        """Return the labels of the loading models."""
        self._finish_loads(now)
        return list(self._loading)

    def serves(self, model: str, now: float) -> bool:
        """Return whether a request for this model can run."""
        self._finish_loads(now)
        return any(model in (label, _bare_model(label)) for label in self._loaded)

    def _load(self, label: str, now: float) -> OrderState:
        if label in self._loaded:
            return "loaded"
        # A repeated order does not restart the load.
        self._loading.setdefault(label, now + self._load_s)
        return "loading"

    def _unload(self, label: str) -> OrderState:
        self._loading.pop(label, None)
        if label in self._loaded:
            self._loaded.remove(label)
        return "unloaded"

    def _finish_loads(self, now: float) -> None:
        ready = [label for label, ready_at in self._loading.items() if ready_at <= now]
        for label in ready:
            del self._loading[label]
            self._loaded.append(label)


def _bare_model(label: str) -> str:
    return label.split("+", 1)[0].split("@", 1)[0]
