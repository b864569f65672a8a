"""Instances that die, freeze or are cut off are left out by those that do not hear of them."""

from __future__ import annotations

import socket
from functools import partial
from pathlib import Path

from tests.failures.member_cluster import SEEN_S, MemberCluster
from turmericweir.peers.peer_codec import encode
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.peer_messages import Heartbeat
from turmericweir_standins.deployment import settings_record
from turmericweir_standins.procs import call_json, wait_until

ENTRY_1 = "entry-1"
ENTRY_2 = "entry-2"
ENTRY_3 = InstanceName("entry-3")
ALL = {ENTRY_1, ENTRY_2, ENTRY_3}


def test_killed_instance_is_left_out_also_by_one_that_was_paused(tmp_path: Path) -> None:
    # A caller would wait for an answer by way of an instance that is long dead. entry-1 is frozen,
    # then entry-3 is killed; entry-2 leaves both out and serves on. When entry-1 goes on, its
    # socket still holds datagrams of entry-3, whose counters have moved since it last looked. It
    # must not take them for a sign of life: they lay there for the length of its pause.
    with MemberCluster(tmp_path, 3) as cluster:
        cluster.wait_all_live()

        cluster.instances[ENTRY_1].process.pause()
        cluster.wait_live(ENTRY_2, {ENTRY_2, ENTRY_3})
        cluster.instances[ENTRY_3].process.kill()
        cluster.wait_live(ENTRY_2, {ENTRY_2})
        assert cluster.ask(ENTRY_2).status == 200

        cluster.instances[ENTRY_1].process.resume()
        seen: list[set[str]] = []

        def met_again() -> bool:
            seen.append(cluster.live(ENTRY_1))
            return seen[-1] == {ENTRY_1, ENTRY_2}

        wait_until(met_again, "entry-1 hears entry-2 again", SEEN_S)
        assert not any(ENTRY_3 in live for live in seen)
        cluster.wait_live(ENTRY_2, {ENTRY_1, ENTRY_2})
        assert cluster.ask(ENTRY_1).status == 200


def test_instance_that_hears_nobody_serves_on_and_comes_back(tmp_path: Path) -> None:
    # Nothing reaches entry-3, while all that it sends arrives. It cannot know whether the others
    # live and takes them for gone; they hear it progress and keep it. Its callers are served all
    # the time, by its own counts. When the way is open again they meet by its greetings.
    with MemberCluster(tmp_path, 3) as cluster:
        cluster.wait_all_live()

        cluster.deafen(ENTRY_3)
        cluster.wait_live(ENTRY_3, {ENTRY_3})
        assert cluster.ask(ENTRY_3).status == 200
        assert cluster.live(ENTRY_1) == ALL
        assert cluster.live(ENTRY_2) == ALL

        cluster.deafen(ENTRY_3, on=False)
        cluster.wait_live(ENTRY_3, ALL)


def test_parted_data_centres_serve_on_and_meet_again(tmp_path: Path) -> None:
    # Two data centres cannot hear each other, and the second not the platform either. Each leaves
    # the other out and serves its own callers. A change of settings is made meanwhile. When the
    # data centres hear each other again, the second has the change from the first, though the
    # platform stays cut off from it: it greets those that it has not heard for long.
    with MemberCluster(tmp_path, 2, ("dc-1", "dc-2")) as cluster:
        cluster.wait_all_live()

        cluster.platform_behave(cut_from=[ENTRY_2])
        cluster.part_all()
        cluster.wait_live(ENTRY_1, {ENTRY_1})
        cluster.wait_live(ENTRY_2, {ENTRY_2})
        before = offset(cluster, ENTRY_2)
        value = {"priority": 2, "first_token_target_ms": 900}
        records = [settings_record("/classes/added", value, "change-while-parted")]
        call_json(cluster.platform.address, "POST", "/log/settings/append", {"records": records})
        wait_until(lambda: offset(cluster, ENTRY_1) > before, "entry-1 has the change", SEEN_S)
        assert cluster.ask(ENTRY_1).status == 200
        assert cluster.ask(ENTRY_2).status == 200
        assert offset(cluster, ENTRY_2) == before

        cluster.part_all(on=False)
        cluster.wait_all_live()
        wait_until(lambda: offset(cluster, ENTRY_2) > before, "entry-2 has the change", SEEN_S)


def _serves(cluster: MemberCluster, name: str) -> bool:
    return bool(cluster.ask(name).status == 200)


def test_instance_that_starts_in_an_outage_serves(tmp_path: Path) -> None:
    # The platform's log and list are down when entry-3 starts; its callers would be refused for as
    # long as that lasts. Its file names the others' addresses. From them it has the settings, and
    # the backend servers, since its heartbeats show that it has no list.
    with MemberCluster(tmp_path, 2) as cluster:
        cluster.wait_all_live()
        # What the others never had, they cannot hand on: they have read the list with the servers.
        for name in list(cluster.instances):
            serves = partial(_serves, cluster, name)
            wait_until(serves, f"{name} serves before the outage", SEEN_S)
        cluster.platform_behave(outage=True, list_down=True, outage_mode="refuse")

        cluster.add_instance(2)

        wait_until(lambda: cluster.ask(ENTRY_3).status == 200, "entry-3 serves", SEEN_S)
        cluster.wait_live(ENTRY_3, ALL)


def test_noise_on_the_peer_port_changes_nothing(tmp_path: Path) -> None:
    # A process of another deployment, or a port scan, sends to an instance's peer port. A heartbeat
    # of another cluster would bring in strangers: requests would be handed to instances that do
    # not know the customers. All of it is dropped and counted, and the instances stay as they are.
    with MemberCluster(tmp_path, 2) as cluster:
        cluster.wait_all_live()
        host, _, port = (cluster.instances[ENTRY_1].listed.peer_address or "").rpartition(":")
        stranger = Heartbeat("dc-1", "127.0.0.1:9", "x", 1, False, 99, "", tag=12345)

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (b"\x00", b"GET / HTTP/1.1\r\n\r\n", encode(ENTRY_3, stranger)):
                sock.sendto(data, (host, int(port)))

        wait_until(lambda: noise(cluster).get("tag") == 1, "the stranger is counted", SEEN_S)
        bad_frame = "event=bad_frame"
        process = cluster.instances[ENTRY_1].process
        wait_until(lambda: bad_frame in process.stderr_text(), "noise is logged", SEEN_S)
        assert cluster.live(ENTRY_1) == {ENTRY_1, ENTRY_2}
        assert ENTRY_3 not in cluster.instances[ENTRY_1].state()["members"]["by_name"]
        assert cluster.ask(ENTRY_1).status == 200


def noise(cluster: MemberCluster) -> dict[str, int]:
    """Give what an instance has dropped, by why."""
    found = cluster.instances[ENTRY_1].state()["members"]["noise"]
    assert isinstance(found, dict)
    return found


def offset(cluster: MemberCluster, name: str) -> int:
    """Give the offset of the settings in force on an instance."""
    found = cluster.instances[name].state()["config"]["offset"]
    assert isinstance(found, int)
    return found
