"""Labels of loaded models: `model`, `model@version` or `model@version+adapter`."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# The version of a label that names none, and of a model setting that names none.
FIRST_VERSION: Final = "1"


class ModelLabel(Struct, frozen=True, order=True):
    """A loaded model, with the parts of its label as the engine reports them."""

    model: str
    # Empty if the engine reports none.
    version: str = ""
    adapter: str = ""

    def __str__(self) -> str:
        version = f"@{self.version}" if self.version else ""
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}{version}{adapter}"

    def is_model_version(self, model: str, version: str) -> bool:
        """Return whether this is the given version of a model, without an adapter."""
        own_version = self.version or FIRST_VERSION
        return self.model == model and not self.adapter and own_version == version


def parse_model_label(text: str) -> ModelLabel:
    """Parse a label into its parts."""
    versioned, _, adapter = text.partition("+")
    model, _, version = versioned.partition("@")
    return ModelLabel(model, version, adapter)


def label_model_name(text: str) -> str:
    """Return the model name of a label, without version and adapter."""
    return text.partition("+")[0].partition("@")[0]
