"""Orders to engines while the lease holder is paused or the log is down."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.failures.member_cluster import CallLoop, ask
from tests.failures.order_cluster import (
    EVENT_TIMEOUT_S,
    MODEL,
    OTHER_MODEL,
    OrderCluster,
    order_deployment,
    paused,
)
from turmericweir_standins.procs import call_json, wait_until

AUX_PATH = f"/models/{OTHER_MODEL}"
LM_PATH = f"/models/{MODEL}"


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
def test_holder_paused_past_its_lease_sends_no_order_under_it(tmp_path: Path, checks: bool) -> None:
    # Guards against orders under an expired lease. The holder is paused before its second order,
    # another instance takes over, and the wanted models change. When the holder resumes, the log is
    # down, so only its own clock shows that the lease has expired; an engine that ignores fencing
    # numbers would obey a stale order.
    deployment = order_deployment(checks_fence=checks, load_s=0.2)
    with OrderCluster(tmp_path, deployment, weights_per_s=0.5) as cluster:
        cluster.wait_all_live()
        entry_1 = cluster.instances["entry-1"]
        cluster.set(entry_1, AUX_PATH, {"min_servers": 2})
        first, *_ = cluster.wait_orders(1)
        holder = cluster.lease_holder()
        successor = next(each for each in cluster.instances.values() if each is not holder)

        with paused(holder):
            second = cluster.wait_orders(2)[1]
            assert second.fence > first.fence
            assert second.engine != first.engine
            cluster.wait_loaded_models(MODEL, f"{OTHER_MODEL}@1")
            cluster.set(successor, AUX_PATH, {"min_servers": 0})
            cluster.wait_loaded_models(MODEL)
            assert ask(successor, "hello").status == 200
            cluster.set_platform_behaviour(weights_per_s=100.0, outage=True, outage_mode="refuse")
            wait_until(cluster.can_grant_weights, "the store grants loads again", EVENT_TIMEOUT_S)
        cluster.wait_newer_reports(holder, 10)
        cluster.set_platform_behaviour(outage=False)

        later_orders = [
            each for each in cluster.received_orders() if each.received_at > second.received_at
        ]
        assert all(each.fence > first.fence for each in later_orders)
        assert cluster.loaded_models() == {name: [MODEL] for name in cluster.servers}

        # A delayed order of the old holder. An engine that checks fencing numbers refuses it; on an
        # engine that ignores them the next round undoes it.
        order = {"kind": "load", "model": OTHER_MODEL, "version": "1", "fence": first.fence}
        address = cluster.servers[second.engine].address
        status = call_json(address, "POST", "/v1/orders", order).status
        assert status == (409 if checks else 200)
        if not checks:
            count = len(cluster.received_orders()) + 1
            assert cluster.wait_orders(count)[-1].kind == "unload"
        cluster.wait_loaded_models(MODEL)


def test_no_orders_are_sent_and_serving_continues_in_an_outage_of_the_log(tmp_path: Path) -> None:
    # Guards against orders without a lease, and against interrupted serving, while the log is down
    # during a change of versions. The old version stays loaded until the log is back.
    deployment = order_deployment(checks_fence=True, load_s=6.0, **{LM_PATH: {"min_servers": 2}})
    with OrderCluster(tmp_path, deployment, weights_per_s=100.0) as cluster:
        cluster.wait_all_live()
        entry_1 = cluster.instances["entry-1"]
        cluster.set(entry_1, LM_PATH, {"version": "2", "min_servers": 2})
        (first,) = cluster.wait_orders(1)
        holder = cluster.lease_holder()
        with CallLoop(entry_1) as calls:
            cluster.set_platform_behaviour(outage=True, outage_mode="refuse")
            wait_until(lambda: not cluster.leases(holder), "the lease has expired", EVENT_TIMEOUT_S)
            new_label = f"{MODEL}@2"
            wait_until(
                lambda: new_label in cluster.loaded_models()[first.engine],
                f"{new_label} is loaded",
                EVENT_TIMEOUT_S,
            )
            cluster.wait_newer_reports(holder, 10)
            calls.wait_more_answers(20)
            assert cluster.received_orders() == [first]
            assert cluster.loaded_models()[first.engine] == [MODEL, new_label]

            cluster.set_platform_behaviour(outage=False)
            cluster.wait_loaded_models(new_label)
            calls.wait_more_answers(20)
        assert set(calls.statuses) == {200}
