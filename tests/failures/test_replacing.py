"""Instances that are replaced one after the other under load, and the callers that meet them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from tests.failures.crowd import Crowd
from tests.failures.fault_cluster import CALL_S, chats, small
from turmericweir_standins.procs import wait_until

INSTANCES: Final = 3
# Callers at each instance, who know of no replacement; in all about as many as there are slots.
CALLERS: Final = 3
ANSWER: Final = "[len=60]"


def test_replacing_all_instances_under_load_cuts_off_nobody(tmp_path: Path) -> None:
    # Callers stream through three instances, and each of these is stopped in turn and a new one
    # takes its place, while its callers go on sending to it. Each of them gets its whole answer,
    # is told that nothing was run as the instance is stopping, or finds the port closed. Nobody is
    # cut off and nobody hears nothing, and no engine has run what a caller was told was not run.
    with (
        chats(small(instances=INSTANCES), tmp_path) as callers,
        ThreadPoolExecutor(CALLERS * INSTANCES) as pool,
        Crowd(callers, pool, size=CALLERS * INSTANCES, instances=INSTANCES, answer=ANSWER) as crowd,
    ):
        cluster = callers.cluster
        crowd.wait_whole(INSTANCES * CALLERS)
        for name in list(cluster.instances):
            cluster.instances[name].process.terminate()
            assert cluster.instances[name].process.wait(CALL_S) == 0
            crowd.wait_refused()
            replaced = cluster.restart_instance(name)
            wait_until(replaced.ready, f"{name} is ready")
            crowd.wait_whole(INSTANCES * CALLERS)

    told = [each for each in crowd.answers if not each.is_whole()]
    # The one that takes its place listens before it knows its customers.
    reasons = {("not_run", "stopping"), ("not_run", "no_settings")}
    assert {(each.outcome, each.reason) for each in told} <= reasons
    assert crowd.refused > 0
    ends = cluster.records("ended")
    assert [each for each in ends if each["outcome"] != "finished"] == []
    assert len(ends) == len(crowd.answers) - len(told)
