"""An engine that becomes slow: its answers are continued by other engines."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import pytest

from tests.failures.cluster import SMALL
from tests.failures.fault_cluster import chat_callers, small
from turmericweir_standins.procs import wait_until

# Target for the time between tokens. Prevents moves on a busy machine, where an engine process may
# not be scheduled for some time.
TOKEN_GAP_TARGET_MS: Final = 400
# Makes a step of the engine clearly longer than TOKEN_GAP_TARGET_MS.
SLOW_FACTOR: Final = 150.0


@pytest.mark.parametrize("policy", ["counts", "credits"])
def test_answers_leave_a_slow_engine(tmp_path: Path, policy: str) -> None:
    # Guards against answers that stay on an engine that has become far slower than the target,
    # though its connections and reports are healthy. They are moved once each, without a lost or
    # doubled token, and the slow engine stops generating them.
    quick = {**SMALL.classes["quick"], "token_gap_target_ms": TOKEN_GAP_TARGET_MS}
    classes = {**SMALL.classes, "quick": quick}
    deployment = small(engines=3, instances=1, classes=classes, policy=policy)
    with chat_callers(deployment, tmp_path) as callers:
        cluster = callers.cluster

        def lists_all_engines() -> bool:
            """Return whether the instance knows each engine; the platform's list shows it late."""
            names = cluster.instances["entry-1"].state()["servers"]["by_name"]
            return {"lm-1", "lm-2", "lm-3"} <= set(names)

        # Prevents nine requests from filling two engines, so that the third never shows a pace.
        wait_until(lists_all_engines, "the instance lists three engines")
        sent = [callers.send(f"question {number} [len=900]") for number in range(9)]

        def has_all_paces() -> bool:
            """Return whether the pace of each engine is known; slowness is relative to others."""
            paces = cluster.instances["entry-1"].state()["stragglers"]["by_server"]
            return len(paces) == 3 and min(each["samples"] for each in paces.values()) >= 4

        wait_until(has_all_paces, "the pace of three engines is known")
        cluster.set_server_behaviour("lm-1", slow_factor=SLOW_FACTOR)
        answers = [each.result() for each in sent]
        assert [each.is_complete() for each in answers] == [True] * 9
        received = cluster.records("received")
        moved = [each for each in received if each["from_token"] > 0]
        # Includes requests that waited for a slot on the slow engine.
        slow_request_ids = {
            each["request_id"]
            for each in received
            if each["server"] == "lm-1" and each["from_token"] == 0
        }
        assert slow_request_ids
        assert sorted(each["request_id"] for each in moved) == sorted(slow_request_ids)
        assert "lm-1" not in {each["server"] for each in moved}
        stopped = [each for each in cluster.records("ended") if each["server"] == "lm-1"]
        assert {each["outcome"] for each in stopped} <= {"aborted", "cancelled"}
