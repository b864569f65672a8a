"""Partitioned regions: each keeps serving, and they converge after the partition."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any, Final

from tests.failures.member_cluster import CUSTOMER, EVENT_TIMEOUT_S, MemberCluster
from turmericweir_standins.deployment import OPERATOR_TOKEN, ListedProcess, token_of
from turmericweir_standins.procs import JsonAnswer, call_json, wait_until
from turmericweir_standins.record import read_records

REGIONS: Final = {"dc-north": "north", "dc-south": "south"}
# Instances and servers are placed in the two data centres in turn; the log is in the north.
NORTH: Final = {"entry-1", "entry-3"}
SOUTH: Final = {"entry-2", "entry-4"}
ALL_INSTANCES: Final = NORTH | SOUTH
LIMIT_PATH: Final = "/limits/default"
CALL_TIMEOUT_S: Final = 40.0


class RegionCluster(MemberCluster):
    """Two regions, each with two instances, an engine and a plain server."""

    # The request ids of the answers, by the instance that gave them.
    request_ids: dict[str, list[str]]

    def __init__(self, directory: Path) -> None:
        super().__init__(directory, 4, tuple(REGIONS))
        self.deployment = replace(self.deployment, policy="credits")
        self.request_ids = {}

    def _process_settings(self, listed: ListedProcess, admin_address: str) -> dict[str, Any]:
        region = REGIONS[listed.data_centre]
        other_regions = [each for each in REGIONS.values() if each != region]
        cfg = super()._process_settings(listed, admin_address)
        return {**cfg, "region": region, "other_regions": other_regions}

    def partition_regions(self, *, on: bool = True) -> None:
        """Cut all links between the regions, including the link from the south to the log."""
        self.partition(["dc-south"], on=on)
        self.set_platform_behaviour(cut_from=sorted(SOUTH) if on else [])

    # --- callers ---

    def call(self, name: str, path: str, body: object, key: str | None = None) -> JsonAnswer:
        """Make a call through an instance and record its request id."""
        headers = {"Authorization": f"Bearer {token_of(CUSTOMER)}"}
        headers |= {"Turmericweir-Deadline-Ms": "5000"}
        headers |= {} if key is None else {"Idempotency-Key": key}
        address = self.instances[name].address
        answer = call_json(address, "POST", path, body, headers, CALL_TIMEOUT_S)
        self.request_ids.setdefault(name, []).append(answer.headers["turmericweir-request-id"])
        return answer

    def reserve(self, name: str, key: str) -> JsonAnswer:
        """Make a reservation with an idempotency key."""
        return self.call(name, "/services/shop/reserve", {"size": 34}, key)

    def serves(self, name: str) -> bool:
        """Return whether a model request and a repeatable call are answered."""
        messages = [{"role": "user", "content": "hello"}]
        body = {"model": "lm", "messages": messages, "max_tokens": 4}
        model = self.call(name, "/v1/chat/completions", body)
        plain = self.call(name, "/services/shop/check", {})
        return (model.status, plain.status) == (200, 200)

    # --- records of the servers ---

    def started_requests(self, data_centre: str) -> set[str]:
        """Return the ids of the requests that the servers of a data centre have started."""
        return {
            record["request_id"]
            for name, listed in self.listed.items()
            if listed.data_centre == data_centre
            for record in read_records(self.record_path(name))
            if record["event"] in ("started", "run")
        }

    def runs(self, key: str) -> int:
        """Return the number of runs of a key in all regions."""
        return sum(
            record["event"] == "run" and record["key"] == key
            for name in self.listed
            if name.startswith("shop-")
            for record in read_records(self.record_path(name))
        )

    # --- operators ---

    def put(self, name: str, requests_s: float, change_id: str, version: int) -> JsonAnswer:
        """Set the limit through an instance, for an expected version."""
        value = {"requests_s": requests_s}
        body = {"value": value, "expected_version": version, "change_id": change_id}
        return self._admin(name, "PUT", f"{LIMIT_PATH}?wait_s=1", body)

    def limit(self, name: str) -> float | None:
        """Return the limit in force on an instance."""
        answer = self._admin(name, "GET", LIMIT_PATH)
        return float(answer.body["value"]["requests_s"]) if answer.status == 200 else None

    def has_limit(self, name: str, requests_s: float) -> bool:
        """Return whether this limit is in force on an instance."""
        return self.limit(name) == requests_s

    def verdict(self, name: str, change_id: str) -> str | None:
        """Return the verdict on a change, by the view of an instance."""
        verdict: str | None = self._admin(name, "GET", f"/changes/{change_id}").body.get("verdict")
        return verdict

    def _admin(self, name: str, method: str, path: str, body: object = None) -> JsonAnswer:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        address = self.instances[name].admin_address
        return call_json(address, method, f"/settings{path}", body, headers, CALL_TIMEOUT_S)


def test_partitioned_regions_keep_serving_and_converge(tmp_path: Path) -> None:
    # Guards against refused callers, a reverted change and repeated runs when all links between the
    # regions are cut and the south can't reach the log. A change in the south, made for a stale
    # version, must not override that of the north; each key runs once.
    with RegionCluster(tmp_path) as cluster:
        cluster.wait_all_live()
        cluster.partition_regions()
        for side in (NORTH, SOUTH):
            for name in side:
                cluster.wait_live(name, side)
        cluster.request_ids.clear()

        for name in NORTH | SOUTH:
            wait_until(partial(cluster.serves, name), f"{name} serves", EVENT_TIMEOUT_S)
        started_ids = {
            name: cluster.started_requests("dc-north" if name in NORTH else "dc-south")
            for name in ALL_INSTANCES
        }
        assert all(set(ids) <= started_ids[name] for name, ids in cluster.request_ids.items())

        assert cluster.put("entry-1", 2000, "change-north", 0).body["verdict"] == "accepted"
        wait_until(
            partial(cluster.has_limit, "entry-3", 2000), "the north has the change", EVENT_TIMEOUT_S
        )
        verdict = cluster.put("entry-2", 3000, "change-south", 0).body["verdict"]
        assert verdict in ("pending", "not_appended")
        assert [cluster.limit(name) for name in sorted(SOUTH)] == [None, None]

        first_answer = cluster.reserve("entry-1", "both")
        assert first_answer.status == 200
        assert cluster.reserve("entry-2", "both").status != 200
        south_answer = cluster.reserve("entry-4", "south")
        run_count = cluster.runs("south")
        assert south_answer.body.get("outcome") != "not_run" or run_count == 0

        cluster.partition_regions(on=False)
        for name in ALL_INSTANCES:
            cluster.wait_live(name, ALL_INSTANCES)
            wait_until(
                partial(cluster.has_limit, name, 2000), f"{name} has the change", EVENT_TIMEOUT_S
            )
        for name in sorted(SOUTH):
            is_replayed_there = partial(is_replayed, cluster, name, first_answer)
            wait_until(is_replayed_there, f"{name} replays the answer", EVENT_TIMEOUT_S)
        wait_until(
            lambda: cluster.reserve("entry-1", "south").status == 200,
            "the south's key is answered",
            EVENT_TIMEOUT_S,
        )

        final_verdicts = ("conflict", "not_appended", None)
        wait_until(
            lambda: cluster.verdict("entry-2", "change-south") in final_verdicts,
            "the south's change has a final verdict",
            CALL_TIMEOUT_S,
        )
        assert [cluster.limit(name) for name in sorted(ALL_INSTANCES)] == [2000] * len(
            ALL_INSTANCES
        )
        assert (cluster.runs("both"), cluster.runs("south")) == (1, 1)


def is_replayed(cluster: RegionCluster, name: str, first: JsonAnswer) -> bool:
    """Return whether an instance replays the first answer to the key sent to both regions."""
    again = cluster.reserve(name, "both")
    return again.status == 200 and bool(again.body == first.body)
