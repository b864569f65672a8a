"""A server or instance that leaves gets no new work, whoever was told and whatever lags."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from tests.failures.member_cluster import SEEN_S, Calls, MemberCluster
from turmericweir_standins.deployment import OPERATOR_TOKEN
from turmericweir_standins.procs import call_json, wait_until
from turmericweir_standins.record import read_records

ENTRY_1 = "entry-1"
ENTRY_2 = "entry-2"
ENTRY_3 = "entry-3"
LEAVER = "lm-1"


def test_refusal_of_one_instance_is_known_to_all(tmp_path: Path) -> None:
    # An engine starts leaving. Its load report stays as it was and the list is down, so the only
    # sign is that it refuses a request of entry-1, which runs elsewhere: the caller sees nothing.
    # entry-1 marks the engine, the mark goes round with the heartbeats, and the other instances,
    # which have had no traffic so far, do not even try it.
    with MemberCluster(tmp_path, 3) as cluster:
        cluster.wait_all_live()
        cluster.platform_behave(list_down=True)
        cluster.behave(LEAVER, report_frozen=True, leaving=True)

        with Calls(cluster.instances[ENTRY_1]) as calls:
            wait_until(lambda: refusals(cluster) > 0, "the engine refuses", SEEN_S)
            cluster.wait_marked(LEAVER, "leaving")
            before = cluster.attempts_at(LEAVER)
            calls.wait_more(10)
        for number in range(10):
            assert cluster.ask(ENTRY_2, f"from 2, {number}").status == 200
            assert cluster.ask(ENTRY_3, f"from 3, {number}").status == 200

        assert set(calls.statuses) == {200}
        assert cluster.attempts_at(LEAVER) == before


def test_drain_at_one_instance_holds_on_all(tmp_path: Path) -> None:
    # An operator drains an engine by way of entry-1, to take it out by hand. Nothing else says so:
    # the engine itself, its report and the list know nothing. No instance may give it new work, or
    # requests are cut off when the operator ends it.
    with MemberCluster(tmp_path, 3, ("dc-1", "dc-2")) as cluster:
        cluster.wait_all_live()
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        address = cluster.instances[ENTRY_1].admin_address

        assert call_json(address, "POST", f"/drain/{LEAVER}", headers=headers).status == 200

        cluster.wait_marked(LEAVER, "drained")
        before = cluster.attempts_at(LEAVER)
        for number in range(10):
            for name in (ENTRY_1, ENTRY_2, ENTRY_3):
                assert cluster.ask(name, f"{name}, {number}").status == 200
        assert cluster.attempts_at(LEAVER) == before


def test_older_list_brings_no_relapse(tmp_path: Path) -> None:
    # The list says that an engine leaves, and a moment later, as its copies lag, that it lives. An
    # instance that starts after that has only ever seen the older state. It would send requests to
    # an engine that is about to end; the marks of its peers keep it from that.
    with MemberCluster(tmp_path, 2) as cluster:
        cluster.wait_all_live()
        cluster.list_process(cluster.listed[LEAVER], "leaving")
        cluster.wait_marked(LEAVER, "leaving")
        cluster.list_process(cluster.listed[LEAVER], "live")
        wait_until(lambda: listed_live(cluster), "the list shows the older state", SEEN_S)
        before = cluster.attempts_at(LEAVER)

        cluster.add_instance(2)
        cluster.wait_marked(LEAVER, "leaving")
        for number in range(10):
            for name in (ENTRY_1, ENTRY_2, ENTRY_3):
                assert cluster.ask(name, f"{name}, {number}").status == 200

        assert cluster.attempts_at(LEAVER) == before


def test_stopping_instance_tells_its_peers_and_finishes(tmp_path: Path) -> None:
    # entry-2 is told to stop while callers still come to it, as the balancer lags. It tells its
    # peers at once, before the list does, so that nobody counts on it; the callers that it has
    # taken get their whole answers, and it ends with status 0.
    with MemberCluster(tmp_path, 3, stop_grace_s=3.0) as cluster:
        cluster.wait_all_live()
        leaver = cluster.instances[ENTRY_2]
        answers = [cluster.ask(ENTRY_2).status]

        leaver.process.terminate()
        answers.append(cluster.ask(ENTRY_2).status)
        for name in (ENTRY_1, ENTRY_3):
            wait_until(partial(is_leaving, cluster, name), f"{name} knows", SEEN_S)

        assert leaver.process.wait(30.0) == 0
        assert answers == [200, 200]
        cluster.wait_live(ENTRY_1, {ENTRY_1, ENTRY_3})


def refusals(cluster: MemberCluster) -> int:
    records = read_records(cluster.record_path(LEAVER))
    return sum(1 for record in records if record["event"] == "refused")


def listed_live(cluster: MemberCluster) -> bool:
    """Tell whether an instance has read a list in which the engine lives."""
    held = cluster.server_at(ENTRY_1, LEAVER)
    return held is not None and not held["entry"]["leaving"]


def is_leaving(cluster: MemberCluster, name: str) -> bool:
    """Tell whether an instance holds entry-2 as leaving."""
    members = cluster.instances[name].state()["members"]["by_name"]
    return bool(members[ENTRY_2]["leaving"])
