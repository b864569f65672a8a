"""How engines name what they have loaded: `model`, `model@version` or `model@version+adapter`."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# What a label without a version counts as: the version of a want that names none.
FIRST_VERSION: Final = "1"


class ModelLabel(Struct, frozen=True, order=True):
    """One loaded thing, with its parts as the engine wrote them."""

    model: str
    # Empty where the engine names none.
    version: str = ""
    adapter: str = ""

    def __str__(self) -> str:
        version = f"@{self.version}" if self.version else ""
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}{version}{adapter}"

    def is_of(self, model: str, version: str) -> bool:
        """Tell whether this is that version of a model, without an adapter."""
        found = self.version or FIRST_VERSION
        return self.model == model and not self.adapter and found == version


def parse_label(text: str) -> ModelLabel:
    """Take a label apart."""
    rest, _, adapter = text.partition("+")
    model, _, version = rest.partition("@")
    return ModelLabel(model, version, adapter)


def bare_name(text: str) -> str:
    """Give the model of a label; requests name it without version and adapter."""
    return text.partition("+")[0].partition("@")[0]
