"""Dead, paused and partitioned instances are removed from the other instances' live lists."""

from __future__ import annotations

import socket
from functools import partial
from pathlib import Path

from tests.failures.member_cluster import EVENT_TIMEOUT_S, MemberCluster
from turmericweir.peers.peer_codec import encode
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.membership_messages import Heartbeat
from turmericweir_standins.deployment import settings_record
from turmericweir_standins.procs import call_json, wait_until

ENTRY_1 = "entry-1"
ENTRY_2 = "entry-2"
ENTRY_3 = InstanceName("entry-3")
ALL = {ENTRY_1, ENTRY_2, ENTRY_3}


def test_killed_instance_is_removed_also_by_one_that_was_paused(tmp_path: Path) -> None:
    # Guards against stale liveness evidence: entry-3 is killed while entry-1 is paused. When
    # entry-1 resumes, heartbeats of entry-3 from before are still in its socket buffer and must not
    # make entry-3 live again.
    with MemberCluster(tmp_path, 3) as cluster:
        cluster.wait_all_live()

        cluster.instances[ENTRY_1].process.pause()
        cluster.wait_live(ENTRY_2, {ENTRY_2, ENTRY_3})
        cluster.instances[ENTRY_3].process.kill()
        cluster.wait_live(ENTRY_2, {ENTRY_2})
        assert cluster.ask(ENTRY_2).status == 200

        cluster.instances[ENTRY_1].process.resume()
        live_lists: list[set[str]] = []

        def has_rejoined() -> bool:
            live_lists.append(cluster.live(ENTRY_1))
            return live_lists[-1] == {ENTRY_1, ENTRY_2}

        wait_until(has_rejoined, "entry-1 lists entry-2 as live again", EVENT_TIMEOUT_S)
        assert not any(ENTRY_3 in live for live in live_lists)
        cluster.wait_live(ENTRY_2, {ENTRY_1, ENTRY_2})
        assert cluster.ask(ENTRY_1).status == 200


def test_instance_that_receives_nothing_keeps_serving_and_rejoins(tmp_path: Path) -> None:
    # Guards against refused callers in a one-way partition: entry-3 receives nothing and removes
    # its peers, but they receive its heartbeats and keep it. Afterwards it discovers them again.
    with MemberCluster(tmp_path, 3) as cluster:
        cluster.wait_all_live()

        cluster.block_incoming(ENTRY_3)
        cluster.wait_live(ENTRY_3, {ENTRY_3})
        assert cluster.ask(ENTRY_3).status == 200
        assert cluster.live(ENTRY_1) == ALL
        assert cluster.live(ENTRY_2) == ALL

        cluster.block_incoming(ENTRY_3, on=False)
        cluster.wait_live(ENTRY_3, ALL)


def test_partitioned_data_centres_keep_serving_and_rejoin(tmp_path: Path) -> None:
    # Guards against data centres that do not rejoin after a partition, and against a missed change
    # of settings: the second data centre, which still can't reach the platform, gets the change
    # from its peer.
    with MemberCluster(tmp_path, 2, ("dc-1", "dc-2")) as cluster:
        cluster.wait_all_live()

        cluster.set_platform_behaviour(cut_from=[ENTRY_2])
        cluster.block_all_incoming()
        cluster.wait_live(ENTRY_1, {ENTRY_1})
        cluster.wait_live(ENTRY_2, {ENTRY_2})
        before = offset(cluster, ENTRY_2)
        value = {"priority": 2, "first_token_target_ms": 900}
        records = [settings_record("/classes/added", value, "change-while-parted")]
        call_json(cluster.platform.address, "POST", "/log/settings/append", {"records": records})
        wait_until(
            lambda: offset(cluster, ENTRY_1) > before, "entry-1 has the change", EVENT_TIMEOUT_S
        )
        assert cluster.ask(ENTRY_1).status == 200
        assert cluster.ask(ENTRY_2).status == 200
        assert offset(cluster, ENTRY_2) == before

        cluster.block_all_incoming(on=False)
        cluster.wait_all_live()
        wait_until(
            lambda: offset(cluster, ENTRY_2) > before, "entry-2 has the change", EVENT_TIMEOUT_S
        )


def _is_serving(cluster: MemberCluster, name: str) -> bool:
    return bool(cluster.ask(name).status == 200)


def test_instance_that_starts_in_an_outage_serves(tmp_path: Path) -> None:
    # Guards against refused callers on an instance that starts while the platform is down: it gets
    # the settings and the backend servers from the seed instances in its settings file.
    with MemberCluster(tmp_path, 2) as cluster:
        cluster.wait_all_live()
        # Prevents an outage that begins before the other instances have read the list.
        for name in list(cluster.instances):
            is_serving = partial(_is_serving, cluster, name)
            wait_until(is_serving, f"{name} serves before the outage", EVENT_TIMEOUT_S)
        cluster.set_platform_behaviour(outage=True, list_down=True, outage_mode="refuse")

        cluster.add_instance(2)

        wait_until(lambda: cluster.ask(ENTRY_3).status == 200, "entry-3 serves", EVENT_TIMEOUT_S)
        cluster.wait_live(ENTRY_3, ALL)


def test_foreign_datagrams_on_the_peer_port_change_nothing(tmp_path: Path) -> None:
    # Guards against foreign members: datagrams of another cluster or of a port scan are dropped and
    # counted, and the membership does not change.
    with MemberCluster(tmp_path, 2) as cluster:
        cluster.wait_all_live()
        host, _, port = (cluster.instances[ENTRY_1].listed.peer_address or "").rpartition(":")
        foreign = Heartbeat("dc-1", "127.0.0.1:9", "x", 1, False, 99, "", cluster_hash=12345)

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (b"\x00", b"GET / HTTP/1.1\r\n\r\n", encode(ENTRY_3, foreign)):
                sock.sendto(data, (host, int(port)))

        wait_until(
            lambda: dropped_datagrams(cluster).get("tag") == 1,
            "the foreign heartbeat is counted",
            EVENT_TIMEOUT_S,
        )
        bad_frame = "event=bad_frame"
        process = cluster.instances[ENTRY_1].process
        wait_until(
            lambda: bad_frame in process.stderr_text(), "the bad frame is logged", EVENT_TIMEOUT_S
        )
        assert cluster.live(ENTRY_1) == {ENTRY_1, ENTRY_2}
        assert ENTRY_3 not in cluster.instances[ENTRY_1].state()["members"]["by_name"]
        assert cluster.ask(ENTRY_1).status == 200


def dropped_datagrams(cluster: MemberCluster) -> dict[str, int]:
    """Return the numbers of datagrams that an instance has dropped, by reason."""
    counts = cluster.instances[ENTRY_1].state()["members"]["noise"]
    assert isinstance(counts, dict)
    return counts


def offset(cluster: MemberCluster, name: str) -> int:
    """Return the offset of the settings in force on an instance."""
    settings_offset = cluster.instances[name].state()["config"]["offset"]
    assert isinstance(settings_offset, int)
    return settings_offset
