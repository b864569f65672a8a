"""The limits of customers and teams apply to all instances together."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Final

from tests.failures.fault_cluster import FaultCluster, runs_by_request, small
from turmericweir_standins.deployment import digest_of_token, token_of
from turmericweir_standins.procs import JsonAnswer, call_json, wait_until

LIMITED: Final = "limited"
UNLIMITED: Final = "shop-1"
RATE_PER_S: Final = 10.0
INSTANCES: Final = 3
CALL_TIMEOUT_S: Final = 30.0


@dataclass(slots=True)
class Answers:
    """The answers to the calls of one customer."""

    answers: list[JsonAnswer] = field(default_factory=list)

    def count(self, status: int) -> int:
        """Return the number of answers with a status."""
        return sum(1 for each in self.answers if each.status == status)


class PlainCallers:
    """Callers of a plain service; they use the instances in turn."""

    def __init__(self, cluster: FaultCluster, pool: ThreadPoolExecutor) -> None:
        self.cluster = cluster
        self._pool = pool

    def call(self, customer: str, number: int) -> JsonAnswer:
        """Make one call through an instance."""
        instances = list(self.cluster.instances.values())
        address = instances[number % len(instances)].address
        headers = {"Authorization": f"Bearer {token_of(customer)}"}
        return call_json(address, "POST", "/services/shop/check", {}, headers, CALL_TIMEOUT_S)

    def flood(self, customer: str, calls: int) -> Answers:
        """Make this many calls as fast as possible."""
        return Answers(
            list(self._pool.map(lambda number: self.call(customer, number), range(calls)))
        )

    def runs(self) -> int:
        """Return the number of runs that the services recorded."""
        return sum(runs_by_request(self.cluster.records("run", "shop")).values())

    def flood_until_admitted(self, customer: str) -> Answers:
        """Make calls in batches until one is admitted."""
        sent = Answers()

        def has_admitted() -> bool:
            sent.answers += self.flood(customer, 100).answers
            return sent.count(200) > 0

        wait_until(has_admitted, "a call is admitted")
        return sent


def max_runs(elapsed_s: float) -> float:
    """Return the upper bound of runs in a time: the limit and the burst of all token buckets.

    Each instance's bucket holds its share of one second, at least three calls, and may go one call
    below zero.
    """
    return RATE_PER_S * elapsed_s + RATE_PER_S + 4 * INSTANCES


@contextmanager
def plain_callers(directory: Path, settings: dict[str, Any]) -> Iterator[PlainCallers]:
    """Run a cluster with a limited customer."""
    deployment = replace(small(engines=1, instances=INSTANCES), settings=settings)
    cluster = FaultCluster(deployment, directory)
    with ThreadPoolExecutor(6) as pool, cluster:
        cluster.wait_all_live()
        yield PlainCallers(cluster, pool)


def customer_value(**limit: float) -> dict[str, Any]:
    """Return the settings of the limited customer."""
    classes = {"shop": "counter", "*": "quick"}
    return {
        "token_sha256": [digest_of_token(token_of(LIMITED))],
        "classes": classes,
        "limit": limit,
    }


def test_customer_limit_over_all_instances(tmp_path: Path) -> None:
    # Guards against a limit that is exceeded, beyond a bounded burst, when a customer floods all
    # instances. Refusals name a retry time, and another customer is not affected.
    settings = {f"/customers/{LIMITED}": customer_value(requests_s=RATE_PER_S)}
    with plain_callers(tmp_path, settings) as callers:
        start = time.monotonic()
        sent = callers.flood(LIMITED, 1500)
        elapsed_s = time.monotonic() - start
        assert callers.runs() == sent.count(200)
        assert sent.count(200) <= max_runs(elapsed_s)
        refused = [each for each in sent.answers if each.status != 200]
        assert refused
        assert {(each.status, each.body["reason"]) for each in refused} == {(429, "customer_limit")}
        assert {each.body["outcome"] for each in refused} == {"not_run"}
        assert all(int(each.headers["retry-after"]) >= 1 for each in refused)
        assert callers.flood(UNLIMITED, 30).count(200) == 30


def test_caller_is_admitted_after_its_retry_time(tmp_path: Path) -> None:
    # Guards against a caller that is still refused after its retry time.
    settings = {f"/customers/{LIMITED}": customer_value(requests_s=RATE_PER_S)}
    with plain_callers(tmp_path, settings) as callers:
        sent = callers.flood(LIMITED, 100)
        refused = next(each for each in sent.answers if each.status == 429)
        retry_at = time.monotonic() + int(refused.headers["retry-after"])
        wait_until(lambda: time.monotonic() >= retry_at, "the retry time is reached")
        wait_until(lambda: callers.call(LIMITED, 0).status == 200, "the caller is admitted")


def test_team_limit(tmp_path: Path) -> None:
    # Guards against a team limit that is not enforced on a customer without a limit.
    settings = {
        "/teams/herons/limit": {"requests_s": RATE_PER_S},
        f"/teams/herons/customers/{LIMITED}": customer_value(),
    }
    with plain_callers(tmp_path, settings) as callers:
        start = time.monotonic()
        sent = callers.flood(LIMITED, 300)
        elapsed_s = time.monotonic() - start
        assert sent.count(200) <= max_runs(elapsed_s)
        assert {each.body["reason"] for each in sent.answers if each.status == 429} == {
            "team_limit"
        }


def test_limit_holds_after_its_home_is_killed(tmp_path: Path) -> None:
    # Guards against runs beyond the limit when the home of the limit is killed: its successor
    # receives the shares that the other instances hold.
    settings = {f"/customers/{LIMITED}": customer_value(requests_s=RATE_PER_S)}
    with plain_callers(tmp_path, settings) as callers:
        callers.flood(LIMITED, 30)
        homes: list[str] = []

        def has_home() -> bool:
            instances = callers.cluster.instances
            homes[:] = [name for name in instances if _is_home(instances[name].state())]
            return bool(homes)

        wait_until(has_home, "the limit has a home")
        start = time.monotonic()
        before = callers.runs()
        callers.cluster.instances.pop(homes[0]).process.kill()
        callers.flood(LIMITED, 400)
        callers.flood_until_admitted(LIMITED)
        elapsed_s = time.monotonic() - start
        assert callers.runs() - before <= max_runs(elapsed_s)


def _is_home(state: Any) -> bool:
    return bool(state["rate_limits"]["home"])
