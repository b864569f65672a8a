"""Overload without an end: the lowest class is served, and nobody above pays with its request."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Final

from tests.failures.crowd import Crowd
from tests.failures.fault_cluster import CALL_S, Chats, chats, small

SLOTS: Final = 4
# Upper requests that are out at any time: three times as many as there are slots.
CALLERS: Final = 12
ANSWER: Final = "[len=40]"
BULK: Final = "bulk-1"
# The assured share of the lowest class; five times the usual one, which only shortens the test.
SHARE: Final = 0.1


def test_lowest_class_is_served_in_endless_overload(tmp_path: Path) -> None:
    # Requests of the top tier come through two instances without an end, three for each slot of
    # the one engine. A bulk request comes by way of each instance. Both are answered while the
    # overload goes on: their class's assured share earns them a slot. The upper callers pay with a
    # longer wait only: each has the whole answer, none was refused, none preempted on the engine.
    deployment = small(engines=1)
    bulk = {**deployment.classes["bulk"], "assured_share": SHARE}
    deployment = replace(deployment, classes={**deployment.classes, "bulk": bulk})
    with chats(deployment, tmp_path) as callers, ThreadPoolExecutor(CALLERS) as pool:
        with Crowd(callers, pool, size=CALLERS, instances=2, answer=ANSWER) as overload:
            overload.wait_whole(2 * CALLERS)
            lower = [
                callers.send(f"essay {it} {ANSWER}", instance=it, customer=BULK) for it in (1, 2)
            ]
            answered = [each.result(CALL_S) for each in lower]
            before = len(overload.answers)
            overload.wait_whole(CALLERS)

        assert [each.is_whole() for each in answered] == [True, True]
        assert len(overload.answers) >= before + CALLERS
        assert [each for each in overload.answers if not each.is_whole()] == []
        assert upper_stopped(callers) == []


def upper_stopped(callers: Chats) -> list[object]:
    """List the upper attempts that the engine preempted, or that were stopped before their end."""
    records = callers.cluster.records
    upper = {it["attempt_id"] for it in records("received") if it["priority"] == 0}
    ended = [it for it in records("ended") if it["outcome"] != "finished"]
    return [it for it in (*records("preempted"), *ended) if it["attempt_id"] in upper]
