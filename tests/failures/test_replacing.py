"""Instances that are replaced one after the other under load."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from tests.failures.closed_loop import ClosedLoopCallers
from tests.failures.fault_cluster import CALL_TIMEOUT_S, chat_callers, small
from turmericweir_standins.procs import wait_until

INSTANCES: Final = 3
# Callers of each instance; together about as many as there are slots.
CALLERS_PER_INSTANCE: Final = 3
LENGTH_MARKER: Final = "[len=60]"


def test_replacing_all_instances_under_load_cuts_off_no_caller(tmp_path: Path) -> None:
    # Guards against callers that are cut off or get no answer while an instance is replaced. Each
    # gets the complete answer, a refusal that says `not_run`, or a refused connection; no engine
    # has run a refused request.
    with (
        chat_callers(small(instances=INSTANCES), tmp_path) as callers,
        ThreadPoolExecutor(CALLERS_PER_INSTANCE * INSTANCES) as pool,
        ClosedLoopCallers(
            callers,
            pool,
            size=CALLERS_PER_INSTANCE * INSTANCES,
            instances=INSTANCES,
            length_marker=LENGTH_MARKER,
        ) as load,
    ):
        cluster = callers.cluster
        load.wait_complete_answers(INSTANCES * CALLERS_PER_INSTANCE)
        for name in list(cluster.instances):
            refused_before = load.refused_connections
            cluster.instances[name].process.terminate()
            assert cluster.instances[name].process.wait(CALL_TIMEOUT_S) == 0
            load.wait_refused_connection(refused_before)
            replacement = cluster.restart_instance(name)
            wait_until(replacement.is_ready, f"{name} is ready")
            load.wait_complete_answers(INSTANCES * CALLERS_PER_INSTANCE)

    refusals = [each for each in load.answers if not each.is_complete()]
    # A new instance listens before it has its settings.
    reasons = {("not_run", "stopping"), ("not_run", "no_settings")}
    assert {(each.outcome, each.reason) for each in refusals} <= reasons
    assert load.refused_connections > 0
    ends = cluster.records("ended")
    assert [each for each in ends if each["outcome"] != "finished"] == []
    assert len(ends) == len(load.answers) - len(refusals)
