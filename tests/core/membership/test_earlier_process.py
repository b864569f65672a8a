"""Test which of two processes with one name counts as the instance."""

from __future__ import annotations

import pytest

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.incarnation import is_earlier, make_incarnation
from turmericweir_core.membership.membership import is_retired
from turmericweir_core.state.membership_state import Member

EARLIER = make_incarnation(1_000.0, "ffffffff")
LATER = make_incarnation(1_000.5, "00000000")


@pytest.mark.parametrize(
    ("incarnation", "other", "expected"),
    [
        (EARLIER, LATER, True),
        (LATER, EARLIER, False),
        (LATER, LATER, False),
        ("1", LATER, None),
        (LATER, "1", None),
    ],
)
def test_incarnations_are_ordered_by_their_start(
    incarnation: str, other: str, expected: bool | None
) -> None:
    assert is_earlier(incarnation, other) is expected


def test_later_process_counts_even_after_an_earlier_one_has_replaced_it() -> None:
    # Guards against a running instance that stays excluded after it was suspended for a while.
    member = Member(InstanceName("b"), "dc", "127.0.0.1:1", incarnation=EARLIER)
    member.retired_incarnations = (LATER,)
    assert not is_retired(member, LATER)
    member.incarnation = LATER
    assert is_retired(member, EARLIER)
