"""Tests of whether a change counts as in force in a data centre, from the reports received."""

from __future__ import annotations

from typing import Final

import pytest

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.settings.settings_reach import Reach, reach_of_centres
from turmericweir_core.state.membership_state import NEVER, CentreView, Member

NOW: Final = 100.0
OFFSET: Final = 7


def centre(
    offset: int, *, heard_at: float = NOW, reachable: bool = True, live: int = 2
) -> CentreView:
    """Return the newest report from the data centre `b`."""
    return CentreView("b", "region", heard_at, reachable, live, offset)


def unresponsive(offset: int, *, heard_at: float = NEVER, leaving: bool = False) -> Member:
    """Return an unresponsive instance of that data centre."""
    return Member(
        InstanceName("b-9"),
        "b",
        "127.0.0.1:1",
        last_seen_at=heard_at,
        leaving=leaving,
        settings_offset=offset,
    )


CASES: Final = {
    "all said so": (centre(7), [], Reach.IN_FORCE),
    "one is older": (centre(6), [], Reach.BEHIND),
    "cut off before the change": (centre(6, heard_at=1.0, reachable=False), [], Reach.OUT_OF_REACH),
    # Settings never move back, so the last report is still valid.
    "cut off after the change": (centre(7, heard_at=1.0, reachable=False), [], Reach.IN_FORCE),
    "never heard": (centre(9, heard_at=NEVER, reachable=False), [], Reach.OUT_OF_REACH),
    "no live instance": (centre(9, live=0), [], Reach.OUT_OF_REACH),
    "one never heard": (centre(7), [unresponsive(0)], Reach.OUT_OF_REACH),
    "one silent since before": (centre(7), [unresponsive(6, heard_at=50.0)], Reach.OUT_OF_REACH),
    "one silent since after": (centre(7), [unresponsive(7, heard_at=50.0)], Reach.IN_FORCE),
    "one that left": (centre(7), [unresponsive(6, leaving=True)], Reach.IN_FORCE),
    "one older and one silent": (centre(6), [unresponsive(0)], Reach.BEHIND),
}


@pytest.mark.parametrize(("view", "not_live", "reach"), CASES.values(), ids=CASES)
def test_reach(view: CentreView, not_live: list[Member], reach: Reach) -> None:
    (centre_reach,) = reach_of_centres(NOW, OFFSET, [view], not_live, named=[])
    assert centre_reach.reach is reach


def test_data_centre_known_by_name_only_is_out_of_reach() -> None:
    reaches = reach_of_centres(NOW, OFFSET, [centre(7)], [unresponsive(0)], named=["c", "b", ""])
    assert [(it.data_centre, it.reach) for it in reaches] == [
        ("b", Reach.OUT_OF_REACH),
        ("c", Reach.OUT_OF_REACH),
    ]
    assert reaches[1].age_s is None


def test_unresponsive_instance_is_listed_with_its_last_report() -> None:
    (centre_reach,) = reach_of_centres(
        NOW, OFFSET, [centre(7)], [unresponsive(3, heard_at=60.0)], named=[]
    )
    assert [(it.name, it.offset, it.age_s) for it in centre_reach.silent] == [("b-9", 3, 40.0)]
