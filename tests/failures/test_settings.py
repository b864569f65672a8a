"""Settings that were accepted hold everywhere, whatever becomes of the log and of the instances."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import pytest

from tests.failures.cluster import SMALL, Cluster
from turmericweir_standins.deployment import (
    OPERATOR_TOKEN,
    Instance,
    Listed,
    digest,
    settings_record,
    token_of,
)
from turmericweir_standins.procs import (
    LOOPBACK,
    JsonAnswer,
    call_json,
    set_behaviour,
    wait_until,
)
from turmericweir_standins.record import read_records

ENTRY_1: Final = "entry-1"
ENTRY_2: Final = "entry-2"
PATH: Final = "/limits/default"
ANN: Final = "ann"
BEN: Final = "ben"
# Ends a wait for what never comes; no test waits for it.
SEEN_S: Final = 20.0
# Records that the small log keeps, and after how many of them a snapshot is due.
RETENTION: Final = 30
SNAPSHOT_EVERY: Final = 10

DEPLOYMENT: Final = replace(
    SMALL,
    policy="counts",
    settings={
        f"/operators/{name}": {"token_sha256": digest(token_of(name)), "paths": ["/limits"]}
        for name in (ANN, BEN)
    },
)


class SettingsCluster(Cluster):
    """Two data centres with an instance each, and operators."""

    # Where the instances send their metrics.
    statsd_address: str | None = None

    def _process_settings(self, listed: Listed, admin_address: str) -> dict[str, Any]:
        cfg = super()._process_settings(listed, admin_address)
        return {**cfg, "statsd": self.statsd_address, "stop_grace_s": 0.2}

    def reporting_to(self, statsd_address: str) -> Self:
        """Let the instances send their metrics; called before the cluster is started."""
        self.statsd_address = statsd_address
        return self

    # --- operators ---

    def put(self, name: str, value: object, **body: object) -> JsonAnswer:
        """Set the path by way of an instance."""
        return self._call(name, "PUT", f"/settings{PATH}", {"value": value, **body})

    def delete(self, name: str) -> JsonAnswer:
        """Delete the path by way of an instance."""
        return self._call(name, "DELETE", f"/settings{PATH}", {})

    def listing(self, name: str) -> Any:
        """Give all settings that an instance holds."""
        return self._call(name, "GET", "/settings").body

    def entries(self, name: str) -> dict[str, Any]:
        """Give the values and versions that an instance holds, by path."""
        return {it["path"]: (it["version"], it["value"]) for it in self.listing(name)["entries"]}

    def holds(self, name: str) -> bool:
        """Tell whether an instance has a value of the path."""
        return PATH in self.entries(name)

    def _call(self, name: str, method: str, path: str, body: object = None) -> JsonAnswer:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        address = self.instances[name].admin_address
        return call_json(address, method, path, body, headers, timeout_s=SEEN_S)

    def ctl(self, name: str, token: str, *words: str) -> subprocess.Popen[str]:
        """Start `turmericctl` on an instance."""
        admin = self.instances[name].admin_address
        argv = [sys.executable, "-m", "turmericctl.main", "--admin", admin, "--token", token]
        return subprocess.Popen([*argv, *words], stdout=subprocess.PIPE, text=True)

    # --- the log ---

    def append(self, *records: dict[str, Any]) -> None:
        """Append records to the log by no instance."""
        address = self.platform.address
        call_json(address, "POST", "/log/settings/append", {"records": list(records)})

    def appended(self) -> list[dict[str, Any]]:
        """List the appends to the settings that the platform noted."""
        records = read_records(self.record_path("platform"))
        return [it for it in records if it["event"] == "append" and it["stream"] == "settings"]

    def log_has_let_go(self) -> bool:
        """Tell whether the first records are gone and a snapshot that is kept bridges them."""
        appended = self.appended()
        oldest = appended[-1]["first"] + len(appended[-1]["records"]) - RETENTION
        snapshots = [
            it["records"][0] for it in appended if it["caller"] and _is_snapshot(it["records"][0])
        ]
        return oldest > 0 and any(it["offset"] >= oldest for it in snapshots)

    # --- instances ---

    def wait_logged(self, name: str, event: str) -> None:
        """Wait for a log line of an instance."""
        process = self.instances[name].process
        logged = f"event={event} "
        wait_until(lambda: logged in process.stderr_text(), f"{name} logs {event}", SEEN_S)

    def wait_met(self) -> None:
        """Wait until every instance takes all of them for live."""
        names = set(self.instances)

        def met() -> bool:
            live = [it.state()["process"]["live_instances"] for it in self.instances.values()]
            return all(set(it) == names for it in live)

        wait_until(met, "the instances have met", SEEN_S)

    def wait_ready(self, instance: Instance) -> None:
        """Wait until an instance serves."""
        wait_until(instance.ready, f"{instance.name} is ready", SEEN_S)

    def ask_model(self, name: str) -> int:
        """Send a model request by way of an instance and give its status."""
        headers = {"Authorization": f"Bearer {token_of('shop-1')}"}
        messages = [{"role": "user", "content": "hello"}]
        body = {"model": "lm", "messages": messages, "max_tokens": 2}
        address = self.instances[name].address
        answer = call_json(address, "POST", "/v1/chat/completions", body, headers, SEEN_S)
        return answer.status


@contextmanager
def running(directory: Path, **options: Any) -> Iterator[SettingsCluster]:
    """Run a cluster whose instances have met."""
    with SettingsCluster(DEPLOYMENT, directory, **options) as cluster:
        cluster.wait_met()
        yield cluster


def _is_snapshot(record: dict[str, Any]) -> bool:
    return bool(record["type"] == "snapshot")


def limit(requests_s: int) -> dict[str, float]:
    """Give a value of the path."""
    return {"requests_s": float(requests_s)}


# --- changes ---------------------------------------------------------------------------------


def test_of_two_operators_at_once_one_wins_and_the_other_is_told(tmp_path: Path) -> None:
    # Ann and Ben set the same path in the same moment, each through another data centre's instance
    # and each for the version that both have seen. Both records stand in the log. The first one
    # there counts, on both instances alike: one operator reads `accepted`, the other `conflict`
    # with the value and the name that won. Otherwise one would overwrite the other unseen.
    with running(tmp_path) as cluster:
        values = {ANN: 20, BEN: 30}
        words = {it: f'{{"requests_s": {number}}}' for it, number in values.items()}
        calls = {
            who: cluster.ctl(
                entry, token_of(who), "settings", "set", PATH, words[who], "--expect", "0"
            )
            for who, entry in ((ANN, ENTRY_1), (BEN, ENTRY_2))
        }
        told = {who: call.communicate(timeout=SEEN_S)[0] for who, call in calls.items()}

        codes = {who: call.returncode for who, call in calls.items()}
        assert sorted(codes.values()) == [0, 1], told
        winner, loser = sorted(codes, key=lambda who: codes[who])
        assert told[winner].startswith(f"accepted: {PATH} is at version ")
        assert told[loser].startswith(f"conflict: {PATH} is at version ")
        assert f'set by {winner}: {{"requests_s": {values[winner]}.0' in told[loser]
        for name in (ENTRY_1, ENTRY_2):
            wait_until(partial(cluster.holds, name), f"{name} has a change", SEEN_S)
            assert cluster.entries(name)[PATH][1]["requests_s"] == values[winner]


def test_change_whose_acknowledgement_was_lost_is_made_once(tmp_path: Path) -> None:
    # The log takes a change, and its answer to the instance is lost. The operator is told
    # `accepted`, since the verdict is read from the log. Then another change deletes the path, and
    # only now the first one stands in the log a second time, as when an append was made again. It
    # was judged by its id before and stays without effect: the deletion would be undone otherwise.
    with running(tmp_path) as cluster:
        set_behaviour(cluster.platform.address, lose_acks=1000)
        first = cluster.put(ENTRY_1, limit(20), expected_version=0, change_id="lost-ack-1")
        set_behaviour(cluster.platform.address, lose_acks=0)

        assert (first.status, first.body["verdict"]) == (200, "accepted")
        lost = [it for it in cluster.appended() if it["records"][0]["change_id"] == "lost-ack-1"]
        assert [it["acked"] for it in lost] == [False]
        again = cluster.put(ENTRY_2, limit(20), expected_version=0, change_id="lost-ack-1")
        assert (again.body["verdict"], again.body["offset"]) == ("accepted", first.body["offset"])

        assert cluster.delete(ENTRY_1).body["verdict"] == "accepted"
        cluster.append(lost[0]["records"][0])
        last = cluster.put(ENTRY_1, limit(30), expected_version=0)

        assert last.body["verdict"] == "accepted"
        assert cluster.entries(ENTRY_1)[PATH][1]["requests_s"] == 30
        cluster.wait_logged(ENTRY_1, "settings_repeated")


def test_data_centre_cut_off_from_the_platform_follows_its_siblings(tmp_path: Path) -> None:
    # dc-2 can reach neither log nor list, but the instance of dc-1. An operator changes a limit in
    # dc-1 and waits. entry-2 hears by heartbeats that it is behind and asks for the record, so the
    # operator reads that it is in force in both. Without it dc-2 would go by the old limit for as
    # long as the cut lasts.
    with running(tmp_path) as cluster:
        set_behaviour(cluster.platform.address, cut_from=[ENTRY_2])
        cluster.wait_logged(ENTRY_2, "settings_log_unreachable")

        words = ("settings", "set", PATH, '{"requests_s": 20}', "--wait", "--wait-timeout", "15")
        call = cluster.ctl(ENTRY_1, OPERATOR_TOKEN, *words)
        told = call.communicate(timeout=2 * SEEN_S)[0].splitlines()

        assert call.returncode == 0, told
        assert sorted(told[1:]) == ["dc-1: in force", "dc-2: in force"]
        assert cluster.entries(ENTRY_2)[PATH] == cluster.entries(ENTRY_1)[PATH]
        log = cluster.instances[ENTRY_2].process.stderr_text()
        assert "event=settings_log_reachable" not in log


# --- instances that start --------------------------------------------------------------------


def test_instance_that_starts_in_an_outage_has_the_newest_settings_of_its_peers(
    tmp_path: Path,
) -> None:
    # The platform is down when entry-3 starts, and a limit was changed before. It has no settings
    # of its own, so callers would be refused until the platform is back. It asks its peers, holds
    # what they hold, the change included, and only then serves.
    with running(tmp_path) as cluster:
        assert cluster.put(ENTRY_1, limit(20)).status == 200
        address = cluster.platform.address
        set_behaviour(address, outage=True, outage_mode="refuse", list_down=True)
        cluster.wait_logged(ENTRY_1, "settings_log_unreachable")

        entry_3 = cluster.add_instance(2).name

        assert cluster.entries(entry_3)[PATH][1]["requests_s"] == 20
        assert cluster.listing(entry_3)["hash"] == cluster.listing(ENTRY_1)["hash"]
        wait_until(lambda: cluster.ask_model(entry_3) == 200, "entry-3 serves", SEEN_S)


@pytest.fixture
def short_log(tmp_path: Path) -> Iterator[SettingsCluster]:
    """Run a cluster whose log soon lets go of the first settings."""
    options = {"snapshot_every": SNAPSHOT_EVERY}
    platform_args = ("--retention", str(RETENTION))
    with running(tmp_path, options=options, platform_args=platform_args) as cluster:
        yield cluster


def test_settings_outlive_the_replacement_of_one_instance_after_another(
    short_log: SettingsCluster,
) -> None:
    # The log keeps no longer the records that made the classes, services and customers. Each
    # instance in turn is stopped and a new one takes its place, which holds nothing. It has the
    # settings from its sibling or from a snapshot in the log, whichever comes first, and when it
    # serves it holds what the one before it held. Otherwise an ordinary upgrade would lose them.
    cluster = short_log
    for number in range(RETENTION):
        assert cluster.put(ENTRY_1, limit(number + 1)).status == 200
    wait_until(cluster.log_has_let_go, "a snapshot follows expired records", SEEN_S)
    before = cluster.entries(ENTRY_1)

    for name in (ENTRY_1, ENTRY_2):
        cluster.instances[name].process.terminate()
        cluster.wait_ready(cluster.restart_instance(name))
        assert cluster.entries(name) == before
        assert cluster.ask_model(name) == 200

    assert cluster.put(ENTRY_1, limit(1000)).body["verdict"] == "accepted"


def test_settings_outlive_the_replacement_of_all_instances_at_once(
    short_log: SettingsCluster,
) -> None:
    # All instances are killed at once, so nobody holds the settings but the log, where the first
    # records have expired and the log is down. Before each good snapshot there stands an empty one
    # with a wrong hash. The new instances serve nobody until the log is back, since they would
    # refuse customers that they do not know; then they load a good snapshot and hold all again.
    cluster = short_log
    for number in range(RETENTION // 2):
        cluster.append(_emptied(cluster.listing(ENTRY_1)["offset"]))
        assert cluster.put(ENTRY_1, limit(number + 1)).status == 200
    wait_until(cluster.log_has_let_go, "a good snapshot follows expired records", SEEN_S)
    before = cluster.entries(ENTRY_1)

    for name in (ENTRY_1, ENTRY_2):
        cluster.instances[name].process.kill()
    set_behaviour(cluster.platform.address, outage=True, outage_mode="refuse")
    for name in (ENTRY_1, ENTRY_2):
        cluster.restart_instance(name)
    cluster.wait_met()
    assert not any(it.ready() for it in cluster.instances.values())

    set_behaviour(cluster.platform.address, outage=False)
    for name in (ENTRY_1, ENTRY_2):
        cluster.wait_ready(cluster.instances[name])
        assert cluster.entries(name) == before
        assert cluster.ask_model(name) == 200


# --- bad input -------------------------------------------------------------------------------


class Statsd:
    """Counts what the instances report."""

    address: str
    # Sums by the counter's name without instance.
    counters: Counter[str]

    def __init__(self) -> None:
        self.counters = Counter()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((LOOPBACK, 0))
        self._socket.setblocking(False)
        self.address = f"{LOOPBACK}:{self._socket.getsockname()[1]}"

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._socket.close()

    def counted(self, expected: Mapping[str, int]) -> bool:
        """Take what has come in, and tell whether these counters have these sums."""
        with suppress(BlockingIOError):
            while True:
                self._take(self._socket.recv(65536).decode())
        return all(self.counters[name] == count for name, count in expected.items())

    def _take(self, datagram: str) -> None:
        for line in datagram.splitlines():
            name, _, value = line.partition(":")
            if value.endswith("|c"):
                self.counters[name.split(".", 2)[2]] += int(value.partition("|")[0])


def test_bad_input_is_logged_and_counted_and_changes_nothing(tmp_path: Path) -> None:
    # Somebody appends to the settings stream what is no record, a change of a path that does not
    # exist and a snapshot whose hash is wrong, and sends noise to the peer port. An instance that
    # stopped at one of them would follow no later change; one that loaded the snapshot would serve
    # by no settings at all. All are refused, logged and counted, and the next change is accepted.
    cluster = SettingsCluster(DEPLOYMENT, tmp_path)
    with Statsd() as statsd, cluster.reporting_to(statsd.address):
        cluster.wait_met()
        before = cluster.entries(ENTRY_1)
        cluster.append(
            {"type": "chnage", "path": PATH},
            settings_record("/no/such/path", limit(1), "unknown-path"),
            _emptied(cluster.listing(ENTRY_1)["offset"]),
        )
        _send_noise(cluster.instances[ENTRY_1])

        for name in (ENTRY_1, ENTRY_2):
            cluster.wait_logged(name, "settings_malformed")
            cluster.wait_logged(name, "settings_invalid")
            cluster.wait_logged(name, "settings_snapshot_mismatched")
            assert cluster.entries(name) == before
        cluster.wait_logged(ENTRY_1, "bad_frame")
        expected = {
            "settings.malformed": 2,
            "settings.invalid": 2,
            "settings.snapshot_mismatched": 2,
            "peer.bad_frame": 2,
        }
        wait_until(partial(statsd.counted, expected), f"{expected} counted", SEEN_S)
        assert cluster.put(ENTRY_2, limit(20)).body["verdict"] == "accepted"
        entry_3 = cluster.add_instance(2).name
        assert cluster.entries(entry_3) == cluster.entries(ENTRY_2)


def _emptied(offset: int) -> dict[str, Any]:
    """Build a snapshot that holds nothing, with a hash that fits nothing."""
    return {
        "type": "snapshot",
        "offset": offset,
        "entries": {},
        "seen_ids": [],
        "hash": "0" * 32,
    }


def _send_noise(instance: Instance) -> None:
    host, _, port = (instance.listed.peer_address or "").rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"\x00", b"GET / HTTP/1.1\r\n\r\n"):
            sock.sendto(data, (host, int(port)))
