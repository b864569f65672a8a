"""An engine that becomes slow: what runs there goes on elsewhere, and its callers see no seam."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import pytest

from tests.failures.cluster import SMALL
from tests.failures.fault_cluster import chats, small
from turmericweir_standins.procs import wait_until

# Promised time between tokens, ms; an engine's step takes 6 ms. Wide, because an engine process
# that is not scheduled for longer than that, twice in a row, has its answers moved as it should.
GAP_MS: Final = 400
# Makes a step 0.9 s: above the promise by as large a factor as 20 is with 65 ms.
SLOW_FACTOR: Final = 150.0


@pytest.mark.parametrize("policy", ["counts", "credits"])
def test_answers_leave_a_slow_engine(tmp_path: Path, policy: str) -> None:
    # Callers were promised a pace. One of three engines becomes far slower than that while it
    # answers some of them; its connections and reports are well. Those answers go on at the others
    # after the last token that each caller has, once each, and the slow engine stops making tokens
    # for them. The callers get whole answers, each token once.
    quick = {**SMALL.classes["quick"], "token_gap_target_ms": GAP_MS}
    classes = {**SMALL.classes, "quick": quick}
    deployment = small(engines=3, instances=1, classes=classes, policy=policy)
    with chats(deployment, tmp_path) as callers:
        cluster = callers.cluster
        sent = [callers.send(f"question {number} [len=900]") for number in range(9)]

        def judged() -> bool:
            """Tell whether the pace of each engine is known: one alone is not called slow."""
            paces = cluster.instances["entry-1"].state()["stragglers"]["by_server"]
            return len(paces) == 3 and min(each["samples"] for each in paces.values()) >= 4

        wait_until(judged, "the pace of three engines")
        cluster.behave("lm-1", slow_factor=SLOW_FACTOR)
        answers = [each.result() for each in sent]
        assert [each.is_whole() for each in answers] == [True] * 9
        received = cluster.records("received")
        moved = [each for each in received if each["from_token"] > 0]
        # Those that waited for a slot there too: they begin as the first ones leave.
        victims = {
            each["request_id"]
            for each in received
            if each["server"] == "lm-1" and each["from_token"] == 0
        }
        assert victims
        assert sorted(each["request_id"] for each in moved) == sorted(victims)
        assert "lm-1" not in {each["server"] for each in moved}
        stopped = [each for each in cluster.records("ended") if each["server"] == "lm-1"]
        assert {each["outcome"] for each in stopped} <= {"aborted", "cancelled"}
