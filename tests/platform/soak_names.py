"""Soak test in which other writers put records under odd names into every topic of the store.

Pages are small, some entries of them are odd, and at times pages make no progress. All instances
are killed in series, so that lists are read from their beginning.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, Self

from tests.foreign_bytes import named_forms
from tests.platform.soak import FAULTS, Soak
from tests.platform.soak_copies import CopySoak
from tests.platform.standin_store import MISSING, OPERATOR, OWN, SERVERS

TOPICS: Final = (OPERATOR, SERVERS, OWN)
# Surrogate escapes stand for bytes that are not UTF-8.
_PIECES: Final = (
    *"&+#%=?/;\"\\'<> \t\r\n\0\x7f",
    *"äß\u0301\u202e\u2028\ufffd\U0001f600",
    *"\udc80\udcc3\udcff",
    *("%41", "%7A", "%", "&topic=keyed.op", "&after=z", "lm-", "shop-", "config", "era", "z"),
)
_VALUES: Final = (*named_forms({"service": "shop"}).values(), b"{}", b"x" * 100_000)
_ODD_FIELDS: Final[tuple[dict[str, object], ...]] = (
    {"value": None},
    {"value": "*"},
    {"offset": MISSING},
    {"offset": 2**70},
    {"key": None},
    {"key": 7},
    {"key": "\ud800"},
)
_FOREIGN_KEYS_MAX: Final = 60


@dataclass(slots=True)
class NameSoak(CopySoak):
    """A soak whose faults include records of other writers."""

    def __post_init__(self) -> None:
        """Let the store parse targets strictly and give small pages."""
        CopySoak.__post_init__(self)
        self.world.store.is_strict = True

    def faults(self) -> Sequence[Callable[[Self], None]]:
        """Return the faults of which one is drawn at a time."""
        return NAME_FAULTS

    def write_odd_name(self) -> None:
        """Write records under odd names, and remove some."""
        topic = self.rng.choice(TOPICS)
        for _ in range(self.rng.randint(1, 6)):
            name = self._draw_name()
            if len(self._foreign_keys(topic)) > _FOREIGN_KEYS_MAX or self.rng.random() < 0.2:
                names = self._foreign_keys(topic)
                if names:
                    self.world.store.write(topic, self.rng.choice(names), None)
                continue
            self.world.store.write(topic, name, self.rng.choice(_VALUES))
            if self.rng.random() < 0.3:
                self.world.store.odd_fields[name] = self.rng.choice(_ODD_FIELDS)
        self._log(f"odd names in {topic}")

    def _draw_name(self) -> str:
        # A name of ours would replace its record.
        begin = self.rng.choice(_PIECES[:30])
        rest = "".join(self.rng.choice(_PIECES) for _ in range(self.rng.randint(0, 4)))
        return f"{begin}{rest}"

    def _foreign_keys(self, topic: str) -> list[str]:
        return sorted(key for key in self.world.store.topics[topic].newest() if key[0] in _PIECES)

    def change_page_size(self) -> None:
        """Change how many entries a page has."""
        self.world.store.page_entries = self.rng.choice((1, 2, 3, 500))

    def stall_pages(self) -> None:
        """Answer the pages of the list of servers without progress for a while."""
        page = {
            "entries": [],
            "has-more": True,
            "end": len(self.world.store.topics[SERVERS].records),
        }
        self.world.store.odd_pages[SERVERS] = page
        self._log("pages make no progress")
        self._end_later(0.5, 3.0, self.world.store.odd_pages.clear)


NAME_FAULTS: Final[tuple[Callable[[NameSoak], None], ...]] = (
    *FAULTS,
    Soak.change_settings,
    CopySoak.drill,
    CopySoak.kill_all,
    CopySoak.kill_all,
    CopySoak.kill_all,
    CopySoak.write_odd_entry,
    NameSoak.write_odd_name,
    NameSoak.write_odd_name,
    NameSoak.write_odd_name,
    NameSoak.write_odd_name,
    NameSoak.change_page_size,
    NameSoak.stall_pages,
)
