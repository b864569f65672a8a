"""Permanent overload: the lowest class is still served, and no higher request is lost for it."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Final

from tests.failures.closed_loop import ClosedLoopCallers
from tests.failures.fault_cluster import CALL_TIMEOUT_S, ChatCallers, chat_callers, small

SLOTS: Final = 4
# Requests of the top tier in progress at any time: three times the number of slots.
TOP_TIER_CALLERS: Final = 12
LENGTH_MARKER: Final = "[len=40]"
BULK_CUSTOMER: Final = "bulk-1"
# Assured share of the lowest class. Above the usual value, to shorten the test.
ASSURED_SHARE: Final = 0.1


def test_lowest_class_is_served_in_permanent_overload(tmp_path: Path) -> None:
    # Guards against starvation of the lowest class while the top tier fills all slots, and against
    # refused or preempted requests of the top tier as the price of the assured share.
    deployment = small(engines=1)
    bulk = {**deployment.classes["bulk"], "assured_share": ASSURED_SHARE}
    deployment = replace(deployment, classes={**deployment.classes, "bulk": bulk})
    with (
        chat_callers(deployment, tmp_path) as callers,
        ThreadPoolExecutor(TOP_TIER_CALLERS) as pool,
    ):
        with ClosedLoopCallers(
            callers, pool, size=TOP_TIER_CALLERS, instances=2, length_marker=LENGTH_MARKER
        ) as top_tier:
            top_tier.wait_complete_answers(2 * TOP_TIER_CALLERS)
            bulk_requests = [
                callers.send(
                    f"essay {number} {LENGTH_MARKER}", instance=number, customer=BULK_CUSTOMER
                )
                for number in (1, 2)
            ]
            bulk_answers = [each.result(CALL_TIMEOUT_S) for each in bulk_requests]
            before = len(top_tier.answers)
            top_tier.wait_complete_answers(TOP_TIER_CALLERS)

        assert [each.is_complete() for each in bulk_answers] == [True, True]
        assert len(top_tier.answers) >= before + TOP_TIER_CALLERS
        assert [each for each in top_tier.answers if not each.is_complete()] == []
        assert stopped_top_tier_attempts(callers) == []


def stopped_top_tier_attempts(callers: ChatCallers) -> list[object]:
    """Return the top tier's attempts that the engine preempted or stopped before their end."""
    records = callers.cluster.records
    top_tier_ids = {it["attempt_id"] for it in records("received") if it["priority"] == 0}
    unfinished = [it for it in records("ended") if it["outcome"] != "finished"]
    return [it for it in (*records("preempted"), *unfinished) if it["attempt_id"] in top_tier_ids]
