"""Orders to engines while the holder of the lease is stopped, or the log is down."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.failures.member_cluster import Calls, ask
from tests.failures.order_cluster import (
    MODEL,
    OTHER,
    SEEN_S,
    OrderCluster,
    deployment,
    paused,
)
from turmericweir_standins.procs import call_json, wait_until

AUX = f"/models/{OTHER}"
LM = f"/models/{MODEL}"


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
def test_holder_paused_past_its_lease_gives_no_order_under_it(tmp_path: Path, checks: bool) -> None:
    # Operators want `aux` on both engines. The holder of the lease has ordered the first load and
    # waits for the weight store with the second when it is stopped. Its lease lapses, the other
    # instance takes over and loads the second, and then operators take `aux` back. When the first
    # one goes on, it still has that load in mind, the store would grant it at once, and the log,
    # which is down just then, can't tell it of its successor. It must see by its own clock that its
    # lease has lapsed: an engine that ignores the number would load `aux` again, and the models
    # that callers use would lose the memory to it.
    described = deployment(checks_fence=checks, load_s=0.2)
    with OrderCluster(tmp_path, described, weights_per_s=0.5) as cluster:
        cluster.wait_met()
        entry_1 = cluster.instances["entry-1"]
        cluster.set(entry_1, AUX, {"min_servers": 2})
        first, *_ = cluster.wait_told(1)
        holder = cluster.holder()
        successor = next(each for each in cluster.instances.values() if each is not holder)

        with paused(holder):
            second = cluster.wait_told(2)[1]
            assert second.fence > first.fence
            assert second.engine != first.engine
            cluster.wait_models(MODEL, f"{OTHER}@1")
            cluster.set(successor, AUX, {"min_servers": 0})
            cluster.wait_models(MODEL)
            assert ask(successor, "hello").status == 200
            cluster.platform_behave(weights_per_s=100.0, outage=True, outage_mode="refuse")
            wait_until(cluster.gets_weights, "the store grants loads again", SEEN_S)
        cluster.wait_rounds(holder, 10)
        cluster.platform_behave(outage=False)

        late = [each for each in cluster.told() if each.at > second.at]
        assert all(each.fence > first.fence for each in late)
        assert cluster.models() == {name: [MODEL] for name in cluster.servers}

        # An order of the old holder's that was on its way all the time. The engine that checks
        # refuses it; what the other one made of it is undone by the next round.
        order = {"kind": "load", "model": OTHER, "version": "1", "fence": first.fence}
        address = cluster.servers[second.engine].address
        status = call_json(address, "POST", "/v1/orders", order).status
        assert status == (409 if checks else 200)
        if not checks:
            undone = len(cluster.told()) + 1
            assert cluster.wait_told(undone)[-1].kind == "unload"
        cluster.wait_models(MODEL)


def test_orders_stop_and_serving_goes_on_in_a_log_outage(tmp_path: Path) -> None:
    # Operators change the version; the first engine is loading the new one when the log goes down.
    # The lease can't be renewed and lapses before the load is done. The old version must stay
    # where it is, since nobody may give orders; callers are served all the time. When the log is
    # back the change goes on where it stopped.
    described = deployment(checks_fence=True, load_s=6.0, **{LM: {"min_servers": 2}})
    with OrderCluster(tmp_path, described, weights_per_s=100.0) as cluster:
        cluster.wait_met()
        entry_1 = cluster.instances["entry-1"]
        cluster.set(entry_1, LM, {"version": "2", "min_servers": 2})
        (first,) = cluster.wait_told(1)
        holder = cluster.holder()
        with Calls(entry_1) as calls:
            cluster.platform_behave(outage=True, outage_mode="refuse")
            wait_until(lambda: not cluster.leases(holder), "the lease has lapsed", SEEN_S)
            loaded = f"{MODEL}@2"
            wait_until(lambda: loaded in cluster.models()[first.engine], "it is loaded", SEEN_S)
            cluster.wait_rounds(holder, 10)
            calls.wait_more(20)
            assert cluster.told() == [first]
            assert cluster.models()[first.engine] == [MODEL, loaded]

            cluster.platform_behave(outage=False)
            cluster.wait_models(loaded)
            calls.wait_more(20)
        assert set(calls.statuses) == {200}
