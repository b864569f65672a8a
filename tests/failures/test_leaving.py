"""A leaving or drained server, or a leaving instance, gets no new work from any instance."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from tests.failures.member_cluster import (
    EVENT_TIMEOUT_S,
    CallLoop,
    MemberCluster,
    earlier_process,
)
from turmericweir_standins.deployment import OPERATOR_TOKEN
from turmericweir_standins.procs import call_json, free_address, wait_until
from turmericweir_standins.record import read_records

ENTRY_1 = "entry-1"
ENTRY_2 = "entry-2"
ENTRY_3 = "entry-3"
LEAVING_ENGINE = "lm-1"


def test_refusal_of_one_instance_is_known_to_all(tmp_path: Path) -> None:
    # Guards against further attempts at a leaving engine that only shows it by refusing a request
    # of entry-1. The leaving notice spreads with the heartbeats.
    with MemberCluster(tmp_path, 3) as cluster:
        cluster.wait_all_live()
        cluster.set_platform_behaviour(list_down=True)
        cluster.set_server_behaviour(LEAVING_ENGINE, report_frozen=True, leaving=True)

        with CallLoop(cluster.instances[ENTRY_1]) as calls:
            wait_until(lambda: refusal_count(cluster) > 0, "the engine refuses", EVENT_TIMEOUT_S)
            cluster.wait_flagged(LEAVING_ENGINE, "leaving")
            before = cluster.request_count(LEAVING_ENGINE)
            calls.wait_more_answers(10)
        for number in range(10):
            assert cluster.ask(ENTRY_2, f"from 2, {number}").status == 200
            assert cluster.ask(ENTRY_3, f"from 3, {number}").status == 200

        assert set(calls.statuses) == {200}
        assert cluster.request_count(LEAVING_ENGINE) == before


def test_refusal_is_known_to_all_beside_an_earlier_process_of_an_instance(tmp_path: Path) -> None:
    # Guards against an earlier process of an instance, which lives on elsewhere and still sends,
    # taking the place of the one that runs now.
    seed = free_address()
    with earlier_process(tmp_path, ENTRY_2, seed), MemberCluster(tmp_path, 3) as cluster:
        cluster.wait_all_live()
        cluster.route_peer_messages(seed, ENTRY_1)
        wait_until(lambda: has_heard_of_other(cluster, ENTRY_2), "entry-1 receives its messages")
        cluster.set_platform_behaviour(list_down=True)
        cluster.set_server_behaviour(LEAVING_ENGINE, report_frozen=True, leaving=True)

        with CallLoop(cluster.instances[ENTRY_1]) as calls:
            wait_until(lambda: refusal_count(cluster) > 0, "the engine refuses", EVENT_TIMEOUT_S)
            cluster.wait_flagged(LEAVING_ENGINE, "leaving")
            calls.wait_more_answers(10)
        expected_address = cluster.instances[ENTRY_2].listed.peer_address
        for name in (ENTRY_1, ENTRY_3):
            assert cluster.member_on(name, ENTRY_2)["peer_address"] == expected_address
        assert set(calls.statuses) == {200}


def test_drain_at_one_instance_applies_to_all(tmp_path: Path) -> None:
    # Guards against new work for an engine that an operator drains through one instance, when
    # neither the engine's report nor the list shows it.
    with MemberCluster(tmp_path, 3, ("dc-1", "dc-2")) as cluster:
        cluster.wait_all_live()
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        address = cluster.instances[ENTRY_1].admin_address

        assert call_json(address, "POST", f"/drain/{LEAVING_ENGINE}", headers=headers).status == 200

        cluster.wait_flagged(LEAVING_ENGINE, "drained")
        before = cluster.request_count(LEAVING_ENGINE)
        for number in range(10):
            for name in (ENTRY_1, ENTRY_2, ENTRY_3):
                assert cluster.ask(name, f"{name}, {number}").status == 200
        assert cluster.request_count(LEAVING_ENGINE) == before


def test_stale_list_does_not_revert_leaving(tmp_path: Path) -> None:
    # Guards against new work for a leaving engine when a stale copy of the list shows it as live. A
    # new instance, which has only seen the stale list, gets the leaving notice from its peers.
    with MemberCluster(tmp_path, 2) as cluster:
        cluster.wait_all_live()
        cluster.list_process(cluster.listed[LEAVING_ENGINE], "leaving")
        cluster.wait_flagged(LEAVING_ENGINE, "leaving")
        cluster.list_process(cluster.listed[LEAVING_ENGINE], "live")
        wait_until(
            lambda: is_listed_live(cluster), "the list shows the older state", EVENT_TIMEOUT_S
        )
        before = cluster.request_count(LEAVING_ENGINE)

        cluster.add_instance(2)
        cluster.wait_flagged(LEAVING_ENGINE, "leaving")
        for number in range(10):
            for name in (ENTRY_1, ENTRY_2, ENTRY_3):
                assert cluster.ask(name, f"{name}, {number}").status == 200

        assert cluster.request_count(LEAVING_ENGINE) == before


def test_stopping_instance_notifies_its_peers_and_completes_requests(tmp_path: Path) -> None:
    # Guards against cut requests and against peers that still rely on a stopping instance. It
    # sends a leaving notice at once, completes its requests, and exits with status 0.
    with MemberCluster(tmp_path, 3, stop_grace_s=3.0) as cluster:
        cluster.wait_all_live()
        stopping = cluster.instances[ENTRY_2]
        answers = [cluster.ask(ENTRY_2).status]

        stopping.process.terminate()
        answers.append(cluster.ask(ENTRY_2).status)
        for name in (ENTRY_1, ENTRY_3):
            wait_until(
                partial(is_leaving, cluster, name),
                f"{name} has the leaving notice",
                EVENT_TIMEOUT_S,
            )

        assert stopping.process.wait(30.0) == 0
        assert answers == [200, 200]
        cluster.wait_live(ENTRY_1, {ENTRY_1, ENTRY_3})


def refusal_count(cluster: MemberCluster) -> int:
    """Return the number of requests that the leaving engine refused."""
    records = read_records(cluster.record_path(LEAVING_ENGINE))
    return sum(1 for record in records if record["event"] == "refused")


def has_heard_of_other(cluster: MemberCluster, name: str) -> bool:
    """Return whether entry-1 has received messages of another process with an instance's name."""
    members = cluster.instances[ENTRY_1].state()["members"]
    is_replaced = (
        members["by_name"][name]["peer_address"] != cluster.instances[name].listed.peer_address
    )
    return bool(is_replaced or members["noise"].get("retired", 0) > 0)


def is_listed_live(cluster: MemberCluster) -> bool:
    """Return whether an instance has read a list in which the engine is live."""
    server_state = cluster.server_state_on(ENTRY_1, LEAVING_ENGINE)
    return server_state is not None and not server_state["entry"]["leaving"]


def is_leaving(cluster: MemberCluster, name: str) -> bool:
    """Return whether an instance has flagged entry-2 as leaving."""
    members = cluster.instances[name].state()["members"]["by_name"]
    return bool(members[ENTRY_2]["leaving"])
