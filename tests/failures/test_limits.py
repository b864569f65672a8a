"""A customer's and a team's limit hold over all instances together, and their callers learn it."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Final

from tests.failures.fault_cluster import FaultCluster, runs_by_request, small
from turmericweir_standins.deployment import digest, token_of
from turmericweir_standins.procs import JsonAnswer, call_json, wait_until

LIMITED: Final = "limited"
FREE: Final = "shop-1"
RATE: Final = 10.0
INSTANCES: Final = 3
CALL_S: Final = 30.0


@dataclass(slots=True)
class Sent:
    """What the calls of one customer ended with."""

    answers: list[JsonAnswer] = field(default_factory=list)

    def count(self, status: int) -> int:
        """Count the answers with a status."""
        return sum(1 for each in self.answers if each.status == status)


class Shop:
    """Callers of a plain service, through all instances in turn."""

    def __init__(self, cluster: FaultCluster, pool: ThreadPoolExecutor) -> None:
        self.cluster = cluster
        self._pool = pool

    def call(self, customer: str, number: int) -> JsonAnswer:
        """Make one call through an instance."""
        instances = list(self.cluster.instances.values())
        address = instances[number % len(instances)].address
        headers = {"Authorization": f"Bearer {token_of(customer)}"}
        return call_json(address, "POST", "/services/shop/check", {}, headers, CALL_S)

    def flood(self, customer: str, calls: int) -> Sent:
        """Make so many calls, as fast as a few callers can."""
        return Sent(list(self._pool.map(lambda number: self.call(customer, number), range(calls))))

    def runs(self) -> int:
        """Count the runs that the services noted."""
        return sum(runs_by_request(self.cluster.records("run", "shop")).values())

    def flood_until_admitted(self, customer: str) -> Sent:
        """Flood until some call was let in."""
        sent = Sent()

        def admitted() -> bool:
            sent.answers += self.flood(customer, 100).answers
            return sent.count(200) > 0

        wait_until(admitted, "a call is let in")
        return sent


def most(elapsed_s: float) -> float:
    """Bound what may run in a time: the limit, and what all instances' buckets let through at once.

    A bucket holds a second's worth of its share, or three calls where that is less, and may go into
    debt by one more.
    """
    return RATE * elapsed_s + RATE + 4 * INSTANCES


@contextmanager
def shop(directory: Path, settings: dict[str, Any]) -> Iterator[Shop]:
    """Run a cluster with a limited customer."""
    deployment = replace(small(engines=1, instances=INSTANCES), settings=settings)
    cluster = FaultCluster(deployment, directory)
    with ThreadPoolExecutor(6) as pool, cluster:
        cluster.wait_met()
        yield Shop(cluster, pool)


def customer_value(**limit: float) -> dict[str, Any]:
    """Build the settings of the limited customer."""
    classes = {"shop": "counter", "*": "quick"}
    return {"token_sha256": [digest(token_of(LIMITED))], "classes": classes, "limit": limit}


def test_customer_limit_over_all_instances(tmp_path: Path) -> None:
    # A customer floods all instances at once. What runs at the services is its limit and a bounded
    # burst; everything else is refused before it ran, and says when to come back. Another customer
    # notices nothing.
    settings = {f"/customers/{LIMITED}": customer_value(requests_s=RATE)}
    with shop(tmp_path, settings) as callers:
        start = time.monotonic()
        sent = callers.flood(LIMITED, 1500)
        elapsed_s = time.monotonic() - start
        assert callers.runs() == sent.count(200)
        assert sent.count(200) <= most(elapsed_s)
        refused = [each for each in sent.answers if each.status != 200]
        assert refused
        assert {(each.status, each.body["reason"]) for each in refused} == {(429, "customer_limit")}
        assert {each.body["outcome"] for each in refused} == {"not_run"}
        assert all(int(each.headers["retry-after"]) >= 1 for each in refused)
        assert callers.flood(FREE, 30).count(200) == 30


def test_whoever_waits_is_let_in_again(tmp_path: Path) -> None:
    # A refused caller comes back when it was told to, and is let in.
    settings = {f"/customers/{LIMITED}": customer_value(requests_s=RATE)}
    with shop(tmp_path, settings) as callers:
        sent = callers.flood(LIMITED, 100)
        refused = next(each for each in sent.answers if each.status == 429)
        due = time.monotonic() + int(refused.headers["retry-after"])
        wait_until(lambda: time.monotonic() >= due, "the time that the caller was told")
        wait_until(lambda: callers.call(LIMITED, 0).status == 200, "the caller is let in")


def test_team_limit(tmp_path: Path) -> None:
    # The customer has no limit of its own; its team's is enforced, for the team as a whole.
    settings = {
        "/teams/herons/limit": {"requests_s": RATE},
        f"/teams/herons/customers/{LIMITED}": customer_value(),
    }
    with shop(tmp_path, settings) as callers:
        start = time.monotonic()
        sent = callers.flood(LIMITED, 300)
        elapsed_s = time.monotonic() - start
        assert sent.count(200) <= most(elapsed_s)
        assert {each.body["reason"] for each in sent.answers if each.status == 429} == {
            "team_limit"
        }


def test_killed_home_does_not_free_the_limit(tmp_path: Path) -> None:
    # The instance that divides the limit is killed amid a flood. Its successor learns of the shares
    # that the others hold, so the services still see no more than the limit and a bounded burst.
    settings = {f"/customers/{LIMITED}": customer_value(requests_s=RATE)}
    with shop(tmp_path, settings) as callers:
        callers.flood(LIMITED, 30)
        homes: list[str] = []

        def found() -> bool:
            instances = callers.cluster.instances
            homes[:] = [name for name in instances if _is_home(instances[name].state())]
            return bool(homes)

        wait_until(found, "an instance divides the limit")
        start = time.monotonic()
        before = callers.runs()
        callers.cluster.instances.pop(homes[0]).process.kill()
        callers.flood(LIMITED, 400)
        callers.flood_until_admitted(LIMITED)
        elapsed_s = time.monotonic() - start
        assert callers.runs() - before <= most(elapsed_s)


def _is_home(state: Any) -> bool:
    return bool(state["rate_limits"]["home"])
