"""A call with an idempotency key runs at most once; runs are counted in the services' records."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

from tests.failures.cluster import SMALL, Cluster
from turmericweir_standins.deployment import token_of
from turmericweir_standins.procs import JsonAnswer, call_json, set_behaviour, wait_until
from turmericweir_standins.record import read_records

# One instance in each of two data centres.
ENTRY_1: Final = "entry-1"
ENTRY_2: Final = "entry-2"
CUSTOMER: Final = "shop-1"
RESERVATION: Final = {"size": 34}
# Safety limit for a call that hangs; no test waits for it.
CALL_TIMEOUT_S: Final = 40.0
EVENT_TIMEOUT_S: Final = 20.0


class Counter:
    """A cluster with callers that send reservations with idempotency keys."""

    cluster: Cluster

    def __init__(self, cluster: Cluster, pool: ThreadPoolExecutor) -> None:
        self.cluster = cluster
        self._pool = pool

    def reserve(
        self, name: str, key: str | None, body: object = RESERVATION, deadline_ms: int = 10_000
    ) -> JsonAnswer:
        """Send a reservation through an instance and wait for the answer."""
        headers = {
            "Authorization": f"Bearer {token_of(CUSTOMER)}",
            "Turmericweir-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["Idempotency-Key"] = key
        address = self.cluster.instances[name].address
        return call_json(address, "POST", "/services/shop/reserve", body, headers, CALL_TIMEOUT_S)

    def begin(self, name: str, key: str, deadline_ms: int = 10_000) -> Future[JsonAnswer]:
        """Send a reservation in the background."""
        return self._pool.submit(self.reserve, name, key, RESERVATION, deadline_ms)

    def slow_down(self, factor: float) -> None:
        """Multiply the duration of each run by a factor."""
        for server in self.cluster.servers.values():
            set_behaviour(server.address, slow_factor=factor)

    def platform(self, **changes: object) -> None:
        """Change the behaviour of the platform."""
        set_behaviour(self.cluster.platform.address, **changes)

    def runs(self, key: str) -> int:
        """Return the number of runs of a key in the records of all services."""
        return sum(
            1
            for name in self.cluster.servers
            for record in read_records(self.cluster.record_path(name))
            if record["event"] == "run" and record["key"] == key
        )

    def wait_run(self, key: str) -> None:
        """Wait until a service has begun to run a key."""
        wait_until(lambda: self.runs(key) > 0, f"{key} runs", EVENT_TIMEOUT_S)

    def claim_appends(self) -> list[dict[str, Any]]:
        """Return the platform's records of appends that contain claims."""
        return [
            record
            for record in read_records(self.cluster.record_path("platform"))
            if record["event"] == "append"
            and record["stream"] == "claims"
            and any(entry.get("claims") for entry in record["records"])
        ]

    def wait_claims(self, count: int) -> None:
        """Wait until the log holds this many appends with claims."""
        what = f"{count} appends with claims"
        wait_until(lambda: len(self.claim_appends()) >= count, what, EVENT_TIMEOUT_S)


@contextmanager
def counter(
    directory: Path, platform_args: tuple[str, ...] = (), **options: float
) -> Iterator[Counter]:
    """Run a small cluster in which every claim goes through the log.

    `test_claims_in_outage` covers claims by votes, without the log.
    """
    options = {"claim_votes": False, **options}
    cluster = Cluster(SMALL, directory, options=options, platform_args=platform_args)
    with ThreadPoolExecutor(8) as pool, cluster:
        yield Counter(cluster, pool)


def is_unknown(answer: JsonAnswer) -> bool:
    """Return whether the answer says that the call may have run."""
    return answer.status == 502 and bool(answer.body["outcome"] == "unknown")


def is_not_run(answer: JsonAnswer) -> bool:
    """Return whether the answer says that the call did not run."""
    return bool(answer.body.get("outcome") == "not_run")


def begin_and_freeze(shop: Counter, key: str, deadline_ms: int) -> Future[JsonAnswer]:
    """Send a reservation and pause its instance after the claim, before the acknowledgement."""
    shop.platform(hold_answers=True)
    first = shop.begin(ENTRY_1, key, deadline_ms)
    shop.wait_claims(1)
    shop.cluster.instances[ENTRY_1].process.pause()
    shop.platform(hold_answers=False)
    return first


def test_second_call_in_another_data_centre_gets_the_first_answer(tmp_path: Path) -> None:
    # Guards against a second run when a caller repeats its key in another data centre: the instance
    # there replays the first answer. The same key with another body is refused.
    with counter(tmp_path) as shop:
        first = shop.reserve(ENTRY_1, "k1")
        again = shop.reserve(ENTRY_2, "k1")
        changed = shop.reserve(ENTRY_2, "k1", {"size": 36})

        assert (first.status, again.status, again.body) == (200, 200, first.body)
        assert again.headers["idempotent-replayed"] == "true"
        assert (changed.status, changed.body["reason"]) == (422, "key_reused")
        assert is_not_run(changed)
        assert shop.runs("k1") == 1


def test_key_sent_to_two_data_centres_at_once_runs_once(tmp_path: Path) -> None:
    # Guards against two runs when one key reaches both data centres at once: the claim with the
    # lower offset runs, and the other caller gets the same answer.
    with counter(tmp_path) as shop:
        shop.slow_down(20.0)
        for number in range(10):
            key = f"both-{number}"
            calls = [shop.begin(name, key) for name in (ENTRY_1, ENTRY_2)]
            answers = [call.result() for call in calls]
            assert [answer.status for answer in answers] == [200, 200]
            assert answers[0].body == answers[1].body
            assert shop.runs(key) == 1


def test_key_of_a_killed_instance_gets_unknown(tmp_path: Path) -> None:
    # Guards against a second run when the instance is killed during the first one: the claim in the
    # log remains, and the key gets `unknown`, also after a new instance has started.
    with counter(tmp_path) as shop:
        shop.slow_down(100.0)
        broken = shop.begin(ENTRY_1, "k1")
        shop.wait_run("k1")
        shop.cluster.instances[ENTRY_1].process.kill()
        assert isinstance(broken.exception(EVENT_TIMEOUT_S), OSError)

        again = shop.reserve(ENTRY_2, "k1")
        shop.cluster.add_instance(2)
        back = shop.reserve("entry-3", "k1")

        assert is_unknown(again)
        assert again.body["reason"] == "already_claimed"
        assert is_unknown(back)
        assert shop.runs("k1") == 1


def test_no_new_key_runs_in_an_outage_of_the_log(tmp_path: Path) -> None:
    # Guards against runs without a claim while the log refuses all calls. Completed keys are still
    # answered; a new key gets `not_run` with a retry time, and runs once after the outage.
    with counter(tmp_path) as shop:
        completed = shop.reserve(ENTRY_1, "known")
        shop.platform(outage=True, outage_mode="refuse")

        assert shop.reserve(ENTRY_1, "known").body == completed.body
        refused = shop.reserve(ENTRY_1, "new", deadline_ms=3000)
        assert (refused.status, refused.body["reason"]) == (503, "claim_unavailable")
        assert is_not_run(refused)
        assert int(refused.headers["retry-after"]) >= 1
        assert shop.runs("new") == 0

        shop.platform(outage=False)
        answers: list[JsonAnswer] = []

        def is_claimed_again() -> bool:
            answers.append(shop.reserve(ENTRY_2, "new"))
            return answers[-1].status == 200

        wait_until(is_claimed_again, "the key is claimed after the outage", EVENT_TIMEOUT_S)

        def is_replayed() -> bool:
            return bool(shop.reserve(ENTRY_1, "new").body == answers[-1].body)

        wait_until(is_replayed, "the other instance uses the log again", EVENT_TIMEOUT_S)
        assert shop.runs("new") == 1


def test_claim_acknowledged_after_its_caller_was_refused(tmp_path: Path) -> None:
    # Guards against a run after `not_run` when the log acknowledges the claim only after the
    # caller's deadline. The instance withdraws the claim, and the key runs once on a retry.
    with counter(tmp_path) as shop:
        shop.platform(hold_answers=True)
        refused = shop.reserve(ENTRY_1, "k1", deadline_ms=1500)
        assert refused.body["reason"] == "claim_unavailable"
        shop.wait_claims(1)
        shop.platform(hold_answers=False)

        answers: list[JsonAnswer] = []

        def is_answered() -> bool:
            answers.append(shop.reserve(ENTRY_2, "k1"))
            return answers[-1].status == 200

        wait_until(is_answered, "the key is answered", EVENT_TIMEOUT_S)
        assert shop.runs("k1") == 1
        assert not any(is_not_run(answer) for answer in answers)


def test_claim_with_a_lost_acknowledgement_runs_once(tmp_path: Path) -> None:
    # Guards against an unclaimed run or a lost key when the log appends a claim but the
    # acknowledgement is lost: the instance reads its own claim from the log and runs the call.
    with counter(tmp_path) as shop:
        shop.platform(lose_acks=1)
        answer = shop.reserve(ENTRY_1, "k1")

        (append,) = shop.claim_appends()
        assert append["acked"] is False
        assert answer.status == 200
        assert shop.reserve(ENTRY_2, "k1").body == answer.body
        assert shop.runs("k1") == 1


def test_instance_paused_between_claim_and_run(tmp_path: Path) -> None:
    # Guards against a second run while the instance with the claim is paused before its run. A
    # second caller gets `unknown` at its deadline; after the pause the call runs once.
    with counter(tmp_path) as shop:
        first = begin_and_freeze(shop, "k1", deadline_ms=60_000)

        second = shop.reserve(ENTRY_2, "k1", deadline_ms=2000)
        assert is_unknown(second)
        assert shop.runs("k1") == 0

        shop.cluster.instances[ENTRY_1].process.resume()
        assert first.result().status == 200
        assert shop.reserve(ENTRY_2, "k1").body == first.result().body
        assert shop.runs("k1") == 1


def test_instance_paused_past_its_callers_deadline(tmp_path: Path) -> None:
    # Guards against a run after the caller's deadline when the pause outlasts it: the instance
    # withdraws its claim, and the key runs once for the next call.
    with counter(tmp_path) as shop:
        first = begin_and_freeze(shop, "k1", deadline_ms=3000)
        assert is_unknown(shop.reserve(ENTRY_2, "k1", deadline_ms=3500))

        shop.cluster.instances[ENTRY_1].process.resume()
        assert is_not_run(first.result())
        assert shop.runs("k1") == 0
        assert shop.reserve(ENTRY_2, "k1").status == 200
        assert shop.runs("k1") == 1


def test_data_centre_cut_off_from_the_platform(tmp_path: Path) -> None:
    # Guards against unclaimed runs in a data centre that cannot reach the platform. After the
    # partition it replays the answers of the other data centre.
    with counter(tmp_path) as shop:
        shop.platform(cut_from=[ENTRY_2])
        cut = shop.reserve(ENTRY_2, "k1", deadline_ms=3000)
        assert cut.body["reason"] == "claim_unavailable"
        first = shop.reserve(ENTRY_1, "k1")
        assert first.status == 200

        shop.platform(cut_from=[])
        answers: list[JsonAnswer] = []

        def is_replayed() -> bool:
            answers.append(shop.reserve(ENTRY_2, "k1"))
            return answers[-1].status == 200

        wait_until(is_replayed, "the other data centre replays the answer", EVENT_TIMEOUT_S)
        assert answers[-1].body == first.body
        assert shop.runs("k1") == 1


def test_key_is_carried_forward_when_its_record_leaves_the_log(tmp_path: Path) -> None:
    # Guards against a second run of a key whose claim record has left the log when all instances
    # have been replaced: the claim was carried forward to a newer record.
    platform_args = ("--retention", "60")
    with counter(tmp_path, platform_args, claim_carry_records=20, claim_end_delay_s=0.01) as shop:
        assert shop.reserve(ENTRY_1, "old").status == 200
        (claim_append,) = shop.claim_appends()
        number = 0

        def has_left_log() -> bool:
            nonlocal number
            number += 1
            assert shop.reserve(ENTRY_1, f"more-{number}").status == 200
            page = call_json(shop.cluster.platform.address, "GET", "/log/claims?from=0")
            return page.status == 410 and bool(page.body["oldest"] > claim_append["first"])

        wait_until(has_left_log, "the first claim has left the log", CALL_TIMEOUT_S)
        shop.cluster.add_instance(2)
        for name in (ENTRY_1, ENTRY_2):
            shop.cluster.instances[name].process.kill()

        answer = shop.reserve("entry-3", "old")
        assert is_unknown(answer)
        assert answer.body["reason"] == "already_completed"
        assert shop.runs("old") == 1
        assert shop.reserve("entry-3", "fresh").status == 200


def test_call_without_a_key_is_sent_once(tmp_path: Path) -> None:
    # Guards against a retry of a call without a key after its connection broke during the run.
    # The caller gets `unknown`.
    with counter(tmp_path) as shop:
        for server in shop.cluster.servers.values():
            if server.name.startswith("shop"):
                set_behaviour(server.address, run_then_drop=True)
        answer = shop.reserve(ENTRY_1, None)
        runs = [
            record
            for name in shop.cluster.servers
            for record in read_records(shop.cluster.record_path(name))
            if record["event"] == "run" and record["path"].endswith("/reserve")
        ]
        assert len(runs) == 1
        assert is_unknown(answer)
        assert answer.body["reason"] == "evidence_lost"
