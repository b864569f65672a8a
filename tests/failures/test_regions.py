"""Regions that lose each other: each goes on by itself, and they come together without a loss."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any, Final

from tests.failures.member_cluster import CUSTOMER, SEEN_S, MemberCluster
from turmericweir_standins.deployment import OPERATOR_TOKEN, Listed, token_of
from turmericweir_standins.procs import JsonAnswer, call_json, wait_until
from turmericweir_standins.record import read_records

REGIONS: Final = {"dc-north": "north", "dc-south": "south"}
# Instances, engines and plain servers lie in the two data centres in turn; the log is in the north.
NORTH: Final = {"entry-1", "entry-3"}
SOUTH: Final = {"entry-2", "entry-4"}
ALL: Final = NORTH | SOUTH
PATH: Final = "/limits/default"
CALL_S: Final = 40.0


class RegionCluster(MemberCluster):
    """Two regions, each with two instances, an engine and a plain server."""

    # The request ids of the answers, by the instance that gave them.
    asked: dict[str, list[str]]

    def __init__(self, directory: Path) -> None:
        super().__init__(directory, 4, tuple(REGIONS))
        self.deployment = replace(self.deployment, policy="credits")
        self.asked = {}

    def _process_settings(self, listed: Listed, admin_address: str) -> dict[str, Any]:
        region = REGIONS[listed.data_centre]
        others = [each for each in REGIONS.values() if each != region]
        cfg = super()._process_settings(listed, admin_address)
        return {**cfg, "region": region, "other_regions": others}

    def part_regions(self, *, on: bool = True) -> None:
        """Cut all links between the regions, that of the south to the log included."""
        self.part(["dc-south"], on=on)
        self.platform_behave(cut_from=sorted(SOUTH) if on else [])

    # --- callers ---

    def call(self, name: str, path: str, body: object, key: str | None = None) -> JsonAnswer:
        """Make a call by way of an instance and note its request id."""
        headers = {"Authorization": f"Bearer {token_of(CUSTOMER)}"}
        headers |= {"Turmericweir-Deadline-Ms": "5000"}
        headers |= {} if key is None else {"Idempotency-Key": key}
        address = self.instances[name].address
        answer = call_json(address, "POST", path, body, headers, CALL_S)
        self.asked.setdefault(name, []).append(answer.headers["turmericweir-request-id"])
        return answer

    def reserve(self, name: str, key: str) -> JsonAnswer:
        """Reserve a size under a key."""
        return self.call(name, "/services/shop/reserve", {"size": 34}, key)

    def serves(self, name: str) -> bool:
        """Tell whether a model request and a repeatable call are answered."""
        messages = [{"role": "user", "content": "hello"}]
        body = {"model": "lm", "messages": messages, "max_tokens": 4}
        model = self.call(name, "/v1/chat/completions", body)
        plain = self.call(name, "/services/shop/check", {})
        return (model.status, plain.status) == (200, 200)

    # --- what the servers noted ---

    def begun(self, data_centre: str) -> set[str]:
        """Name the requests that servers of a data centre have begun."""
        return {
            record["request_id"]
            for name, listed in self.listed.items()
            if listed.data_centre == data_centre
            for record in read_records(self.record_path(name))
            if record["event"] in ("started", "run")
        }

    def runs(self, key: str) -> int:
        """Count the runs of a key in all regions."""
        return sum(
            record["event"] == "run" and record["key"] == key
            for name in self.listed
            if name.startswith("shop-")
            for record in read_records(self.record_path(name))
        )

    # --- operators ---

    def put(self, name: str, requests_s: float, change_id: str, version: int) -> JsonAnswer:
        """Set the limit by way of an instance, for a version."""
        value = {"requests_s": requests_s}
        body = {"value": value, "expected_version": version, "change_id": change_id}
        return self._admin(name, "PUT", f"{PATH}?wait_s=1", body)

    def limit(self, name: str) -> float | None:
        """Give the limit that an instance goes by."""
        answer = self._admin(name, "GET", PATH)
        return float(answer.body["value"]["requests_s"]) if answer.status == 200 else None

    def goes_by(self, name: str, requests_s: float) -> bool:
        """Tell whether an instance goes by this limit."""
        return self.limit(name) == requests_s

    def verdict(self, name: str, change_id: str) -> str | None:
        """Give what an instance holds of a change."""
        found: str | None = self._admin(name, "GET", f"/changes/{change_id}").body.get("verdict")
        return found

    def _admin(self, name: str, method: str, path: str, body: object = None) -> JsonAnswer:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        address = self.instances[name].admin_address
        return call_json(address, method, f"/settings{path}", body, headers, CALL_S)


def test_regions_that_lose_each_other(tmp_path: Path) -> None:
    # All links between the regions are cut, and with them the south's way to the log. Callers in
    # both are served by their own servers. An operator changes a limit in the north; another one
    # changes it in the south, for the version that is known there. A till sends one key to both.
    # When the links are back the north's change is in force everywhere: the south's comes too late
    # and must not undo it. Keys have run once: the south has claimed none that it couldn't.
    with RegionCluster(tmp_path) as cluster:
        cluster.wait_all_live()
        cluster.part_regions()
        for side in (NORTH, SOUTH):
            for name in side:
                cluster.wait_live(name, side)
        cluster.asked.clear()

        for name in NORTH | SOUTH:
            wait_until(partial(cluster.serves, name), f"{name} serves", SEEN_S)
        own = {name: cluster.begun("dc-north" if name in NORTH else "dc-south") for name in ALL}
        assert all(set(ids) <= own[name] for name, ids in cluster.asked.items())

        assert cluster.put("entry-1", 2000, "change-north", 0).body["verdict"] == "accepted"
        wait_until(partial(cluster.goes_by, "entry-3", 2000), "the north follows", SEEN_S)
        told = cluster.put("entry-2", 3000, "change-south", 0).body["verdict"]
        assert told in ("pending", "not_appended")
        assert [cluster.limit(name) for name in sorted(SOUTH)] == [None, None]

        first = cluster.reserve("entry-1", "both")
        assert first.status == 200
        assert cluster.reserve("entry-2", "both").status != 200
        south = cluster.reserve("entry-4", "south")
        ran = cluster.runs("south")
        assert south.body.get("outcome") != "not_run" or ran == 0

        cluster.part_regions(on=False)
        for name in ALL:
            cluster.wait_live(name, ALL)
            wait_until(partial(cluster.goes_by, name, 2000), f"{name} follows", SEEN_S)
        for name in sorted(SOUTH):
            replays = partial(replayed, cluster, name, first)
            wait_until(replays, f"{name} knows the key", SEEN_S)
        wait_until(lambda: cluster.reserve("entry-1", "south").status == 200, "south", SEEN_S)

        settled = ("conflict", "not_appended", None)
        wait_until(lambda: cluster.verdict("entry-2", "change-south") in settled, "told", CALL_S)
        assert [cluster.limit(name) for name in sorted(ALL)] == [2000] * len(ALL)
        assert (cluster.runs("both"), cluster.runs("south")) == (1, 1)


def replayed(cluster: RegionCluster, name: str, first: JsonAnswer) -> bool:
    """Tell whether an instance gives the first answer to the key that was sent to both regions."""
    again = cluster.reserve(name, "both")
    return again.status == 200 and bool(again.body == first.body)
