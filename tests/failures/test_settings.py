"""Accepted settings apply to all instances through outages of the log and restarts of instances."""

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
    ListedProcess,
    digest_of_token,
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
LIMIT_PATH: Final = "/limits/default"
ANN: Final = "ann"
BEN: Final = "ben"
# Safety limit for a wait; no test depends on its length.
EVENT_TIMEOUT_S: Final = 20.0
# Number of records that the log retains, and of records between two snapshots.
RETENTION_RECORDS: Final = 30
SNAPSHOT_EVERY_RECORDS: Final = 10

DEPLOYMENT: Final = replace(
    SMALL,
    policy="counts",
    settings={
        f"/operators/{name}": {
            "token_sha256": digest_of_token(token_of(name)),
            "paths": ["/limits"],
        }
        for name in (ANN, BEN)
    },
)


class SettingsCluster(Cluster):
    """Two data centres with one instance each, and the calls of operators."""

    # Address to which the instances send their metrics.
    statsd_address: str | None = None

    def _process_settings(self, listed: ListedProcess, admin_address: str) -> dict[str, Any]:
        cfg = super()._process_settings(listed, admin_address)
        return {**cfg, "statsd": self.statsd_address, "stop_grace_s": 0.2}

    def reporting_to(self, statsd_address: str) -> Self:
        """Set the address of the metrics; to be called before the cluster is started."""
        self.statsd_address = statsd_address
        return self

    # --- operators ---

    def put(self, name: str, value: object, **body: object) -> JsonAnswer:
        """Set the path through an instance."""
        return self._call(name, "PUT", f"/settings{LIMIT_PATH}", {"value": value, **body})

    def delete(self, name: str) -> JsonAnswer:
        """Delete the path through an instance."""
        return self._call(name, "DELETE", f"/settings{LIMIT_PATH}", {})

    def settings_dump(self, name: str) -> Any:
        """Return all settings of an instance."""
        return self._call(name, "GET", "/settings").body

    def entries(self, name: str) -> dict[str, Any]:
        """Return the versions and values of an instance's settings, by path."""
        return {
            it["path"]: (it["version"], it["value"]) for it in self.settings_dump(name)["entries"]
        }

    def has_path(self, name: str) -> bool:
        """Return whether an instance has a value for the path."""
        return LIMIT_PATH in self.entries(name)

    def _call(self, name: str, method: str, path: str, body: object = None) -> JsonAnswer:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        address = self.instances[name].admin_address
        return call_json(address, method, path, body, headers, timeout_s=EVENT_TIMEOUT_S)

    def ctl(self, name: str, token: str, *args: str) -> subprocess.Popen[str]:
        """Start `turmericctl` for an instance."""
        admin = self.instances[name].admin_address
        argv = [sys.executable, "-m", "turmericctl.main", "--admin", admin, "--token", token]
        return subprocess.Popen([*argv, *args], stdout=subprocess.PIPE, text=True)

    # --- the log ---

    def append(self, *records: dict[str, Any]) -> None:
        """Append records to the log directly, without an instance."""
        address = self.platform.address
        call_json(address, "POST", "/log/settings/append", {"records": list(records)})

    def appended(self) -> list[dict[str, Any]]:
        """Return the platform's records of appends to the settings."""
        records = read_records(self.record_path("platform"))
        return [it for it in records if it["event"] == "append" and it["stream"] == "settings"]

    def has_log_dropped_first_records(self) -> bool:
        """Return whether the first records have expired and a retained snapshot covers them."""
        appended = self.appended()
        oldest = appended[-1]["first"] + len(appended[-1]["records"]) - RETENTION_RECORDS
        snapshots = [
            it["records"][0] for it in appended if it["caller"] and _is_snapshot(it["records"][0])
        ]
        return oldest > 0 and any(it["offset"] >= oldest for it in snapshots)

    # --- instances ---

    def wait_logged(self, name: str, event: str, since: int = 0) -> None:
        """Wait for a log line of an instance, after some characters of its log."""
        process = self.instances[name].process
        logged = f"event={event} "
        wait_until(
            lambda: logged in process.stderr_text()[since:], f"{name} logs {event}", EVENT_TIMEOUT_S
        )

    def wait_all_live(self) -> None:
        """Wait until every instance lists all instances as live."""
        names = set(self.instances)

        def are_all_live() -> bool:
            live = [it.state()["process"]["live_instances"] for it in self.instances.values()]
            return all(set(it) == names for it in live)

        wait_until(are_all_live, "all instances list each other as live", EVENT_TIMEOUT_S)

    def wait_ready(self, instance: Instance) -> None:
        """Wait until an instance is ready."""
        wait_until(instance.is_ready, f"{instance.name} is ready", EVENT_TIMEOUT_S)

    def ask_model(self, name: str) -> int:
        """Send a model request through an instance and return the status of the answer."""
        headers = {"Authorization": f"Bearer {token_of('shop-1')}"}
        messages = [{"role": "user", "content": "hello"}]
        body = {"model": "lm", "messages": messages, "max_tokens": 2}
        address = self.instances[name].address
        answer = call_json(address, "POST", "/v1/chat/completions", body, headers, EVENT_TIMEOUT_S)
        return answer.status


@contextmanager
def running_cluster(directory: Path, **options: Any) -> Iterator[SettingsCluster]:
    """Run a cluster whose instances list each other as live."""
    with SettingsCluster(DEPLOYMENT, directory, **options) as cluster:
        cluster.wait_all_live()
        yield cluster


def _is_snapshot(record: dict[str, Any]) -> bool:
    return bool(record["type"] == "snapshot")


def limit(requests_s: int) -> dict[str, float]:
    """Return a value for the path."""
    return {"requests_s": float(requests_s)}


# --- changes ---------------------------------------------------------------------------------


def test_one_of_two_concurrent_changes_wins_and_the_other_is_a_conflict(tmp_path: Path) -> None:
    # Guards against an unnoticed overwrite when two operators set one path for the same version at
    # the same time: the first record in the log wins, and the other operator reads `conflict`.
    with running_cluster(tmp_path) as cluster:
        values = {ANN: 20, BEN: 30}
        values_json = {it: f'{{"requests_s": {number}}}' for it, number in values.items()}
        calls = {
            who: cluster.ctl(
                entry,
                token_of(who),
                "settings",
                "set",
                LIMIT_PATH,
                values_json[who],
                "--expect",
                "0",
            )
            for who, entry in ((ANN, ENTRY_1), (BEN, ENTRY_2))
        }
        outputs = {who: call.communicate(timeout=EVENT_TIMEOUT_S)[0] for who, call in calls.items()}

        codes = {who: call.returncode for who, call in calls.items()}
        assert sorted(codes.values()) == [0, 1], outputs
        winner, loser = sorted(codes, key=lambda who: codes[who])
        assert outputs[winner].startswith(f"accepted: {LIMIT_PATH} is at version ")
        assert outputs[loser].startswith(f"conflict: {LIMIT_PATH} is at version ")
        assert f'set by {winner}: {{"requests_s": {values[winner]}.0' in outputs[loser]
        for name in (ENTRY_1, ENTRY_2):
            wait_until(partial(cluster.has_path, name), f"{name} has a change", EVENT_TIMEOUT_S)
            assert cluster.entries(name)[LIMIT_PATH][1]["requests_s"] == values[winner]


def test_change_whose_acknowledgement_was_lost_is_applied_once(tmp_path: Path) -> None:
    # Guards against a change that is applied twice when its acknowledgement is lost and its record
    # is appended again after a later change: its id has a verdict already, and the repeated record
    # has no effect.
    with running_cluster(tmp_path) as cluster:
        set_behaviour(cluster.platform.address, lose_acks=1000)
        first = cluster.put(ENTRY_1, limit(20), expected_version=0, change_id="lost-ack-1")
        set_behaviour(cluster.platform.address, lose_acks=0)

        assert (first.status, first.body["verdict"]) == (200, "accepted")
        lost_appends = [
            it for it in cluster.appended() if it["records"][0]["change_id"] == "lost-ack-1"
        ]
        assert [it["acked"] for it in lost_appends] == [False]
        repeated = cluster.put(ENTRY_2, limit(20), expected_version=0, change_id="lost-ack-1")
        assert (repeated.body["verdict"], repeated.body["offset"]) == (
            "accepted",
            first.body["offset"],
        )

        assert cluster.delete(ENTRY_1).body["verdict"] == "accepted"
        cluster.append(lost_appends[0]["records"][0])
        last = cluster.put(ENTRY_1, limit(30), expected_version=0)

        assert last.body["verdict"] == "accepted"
        assert cluster.entries(ENTRY_1)[LIMIT_PATH][1]["requests_s"] == 30
        cluster.wait_logged(ENTRY_1, "settings_repeated")


def test_data_centre_cut_off_from_the_platform_gets_settings_from_peers(tmp_path: Path) -> None:
    # Guards against stale settings in a data centre that reaches neither log nor list: its instance
    # notices from heartbeats that it is behind and fetches the record from its peer.
    with running_cluster(tmp_path) as cluster:
        cut_process = cluster.instances[ENTRY_2].process
        # A first read at the start may fail and succeed when repeated.
        cut_at = len(cut_process.stderr_text())
        set_behaviour(cluster.platform.address, cut_from=[ENTRY_2])
        cluster.wait_logged(ENTRY_2, "settings_log_unreachable", cut_at)

        args = (
            "settings",
            "set",
            LIMIT_PATH,
            '{"requests_s": 20}',
            "--wait",
            "--wait-timeout",
            "15",
        )
        call = cluster.ctl(ENTRY_1, OPERATOR_TOKEN, *args)
        lines = call.communicate(timeout=2 * EVENT_TIMEOUT_S)[0].splitlines()

        assert call.returncode == 0, lines
        assert sorted(lines[1:]) == ["dc-1: in force", "dc-2: in force"]
        assert cluster.entries(ENTRY_2)[LIMIT_PATH] == cluster.entries(ENTRY_1)[LIMIT_PATH]
        assert "event=settings_log_reachable" not in cut_process.stderr_text()[cut_at:]


# --- instances that start --------------------------------------------------------------------


def test_instance_that_starts_in_an_outage_gets_the_newest_settings_from_peers(
    tmp_path: Path,
) -> None:
    # Guards against refused callers, and against serving by old settings, on an instance that
    # starts while the platform is down: it fetches the settings from its peers before it is ready.
    with running_cluster(tmp_path) as cluster:
        assert cluster.put(ENTRY_1, limit(20)).status == 200
        address = cluster.platform.address
        set_behaviour(address, outage=True, outage_mode="refuse", list_down=True)
        cluster.wait_logged(ENTRY_1, "settings_log_unreachable")

        entry_3 = cluster.add_instance(2).name

        assert cluster.entries(entry_3)[LIMIT_PATH][1]["requests_s"] == 20
        assert cluster.settings_dump(entry_3)["hash"] == cluster.settings_dump(ENTRY_1)["hash"]
        wait_until(lambda: cluster.ask_model(entry_3) == 200, "entry-3 serves", EVENT_TIMEOUT_S)


@pytest.fixture
def short_log(tmp_path: Path) -> Iterator[SettingsCluster]:
    """Run a cluster whose log soon drops the first settings records."""
    options = {"snapshot_every": SNAPSHOT_EVERY_RECORDS}
    platform_args = ("--retention", str(RETENTION_RECORDS))
    with running_cluster(tmp_path, options=options, platform_args=platform_args) as cluster:
        yield cluster


def test_settings_survive_a_rolling_replacement_of_instances(
    short_log: SettingsCluster,
) -> None:
    # Guards against the loss of settings in a rolling upgrade after the log has dropped their
    # records: a new instance gets them from a peer or from a snapshot before it is ready.
    cluster = short_log
    for number in range(RETENTION_RECORDS):
        assert cluster.put(ENTRY_1, limit(number + 1)).status == 200
    wait_until(
        cluster.has_log_dropped_first_records,
        "a snapshot covers the expired records",
        EVENT_TIMEOUT_S,
    )
    before = cluster.entries(ENTRY_1)

    for name in (ENTRY_1, ENTRY_2):
        cluster.instances[name].process.terminate()
        cluster.wait_ready(cluster.restart_instance(name))
        assert cluster.entries(name) == before
        assert cluster.ask_model(name) == 200

    assert cluster.put(ENTRY_1, limit(1000)).body["verdict"] == "accepted"


def test_settings_survive_the_replacement_of_all_instances_at_once(
    short_log: SettingsCluster,
) -> None:
    # Guards against the loss of settings when all instances are killed and the log, which has
    # dropped the first records, is down. The new instances are not ready until the log is back;
    # then they skip the snapshots with a wrong hash and load a valid one.
    cluster = short_log
    for number in range(RETENTION_RECORDS // 2):
        cluster.append(_empty_snapshot(cluster.settings_dump(ENTRY_1)["offset"]))
        assert cluster.put(ENTRY_1, limit(number + 1)).status == 200
    wait_until(
        cluster.has_log_dropped_first_records,
        "a valid snapshot covers the expired records",
        EVENT_TIMEOUT_S,
    )
    before = cluster.entries(ENTRY_1)

    for name in (ENTRY_1, ENTRY_2):
        cluster.instances[name].process.kill()
    set_behaviour(cluster.platform.address, outage=True, outage_mode="refuse")
    for name in (ENTRY_1, ENTRY_2):
        cluster.restart_instance(name)
    cluster.wait_all_live()
    assert not any(it.is_ready() for it in cluster.instances.values())

    set_behaviour(cluster.platform.address, outage=False)
    for name in (ENTRY_1, ENTRY_2):
        cluster.wait_ready(cluster.instances[name])
        assert cluster.entries(name) == before
        assert cluster.ask_model(name) == 200


# --- bad input -------------------------------------------------------------------------------


class Statsd:
    """A StatsD server that sums the counters of the instances."""

    address: str
    # Sums by the counter's name without the instance's name.
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

    def has_counts(self, expected: Mapping[str, int]) -> bool:
        """Read the received datagrams and return whether these counters have these sums."""
        with suppress(BlockingIOError):
            while True:
                self._add_datagram(self._socket.recv(65536).decode())
        return all(self.counters[name] == count for name, count in expected.items())

    def _add_datagram(self, datagram: str) -> None:
        for line in datagram.splitlines():
            name, _, value = line.partition(":")
            if value.endswith("|c"):
                self.counters[name.split(".", 2)[2]] += int(value.partition("|")[0])


def test_bad_input_is_logged_and_counted_and_changes_nothing(tmp_path: Path) -> None:
    # Guards against an instance that stops at bad input or loads it: a malformed record, a change
    # of an unknown path, a snapshot with a wrong hash, and invalid datagrams on the peer port.
    cluster = SettingsCluster(DEPLOYMENT, tmp_path)
    with Statsd() as statsd, cluster.reporting_to(statsd.address):
        cluster.wait_all_live()
        before = cluster.entries(ENTRY_1)
        cluster.append(
            {"type": "chnage", "path": LIMIT_PATH},
            settings_record("/no/such/path", limit(1), "unknown-path"),
            _empty_snapshot(cluster.settings_dump(ENTRY_1)["offset"]),
        )
        _send_invalid_datagrams(cluster.instances[ENTRY_1])

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
        wait_until(partial(statsd.has_counts, expected), f"{expected} counted", EVENT_TIMEOUT_S)
        assert cluster.put(ENTRY_2, limit(20)).body["verdict"] == "accepted"
        entry_3 = cluster.add_instance(2).name
        assert cluster.entries(entry_3) == cluster.entries(ENTRY_2)


def _empty_snapshot(offset: int) -> dict[str, Any]:
    """Return an empty snapshot with a wrong hash."""
    return {
        "type": "snapshot",
        "offset": offset,
        "entries": {},
        "seen_ids": [],
        "hash": "0" * 32,
    }


def _send_invalid_datagrams(instance: Instance) -> None:
    host, _, port = (instance.listed.peer_address or "").rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"\x00", b"GET / HTTP/1.1\r\n\r\n"):
            sock.sendto(data, (host, int(port)))
