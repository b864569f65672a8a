"""A call with an idempotency key runs at most once, by the services' own records."""

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
SIZE_34: Final = {"size": 34}
# Ends a call that would hang the test; no test waits for it.
CALL_S: Final = 40.0
SEEN_S: Final = 20.0


class Counter:
    """A cluster with callers that reserve sizes at the counter."""

    cluster: Cluster

    def __init__(self, cluster: Cluster, pool: ThreadPoolExecutor) -> None:
        self.cluster = cluster
        self._pool = pool

    def reserve(
        self, name: str, key: str | None, body: object = SIZE_34, deadline_ms: int = 10_000
    ) -> JsonAnswer:
        """Reserve by way of an instance and wait for the answer."""
        headers = {
            "Authorization": f"Bearer {token_of(CUSTOMER)}",
            "Turmericweir-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["Idempotency-Key"] = key
        address = self.cluster.instances[name].address
        return call_json(address, "POST", "/services/shop/reserve", body, headers, CALL_S)

    def begin(self, name: str, key: str, deadline_ms: int = 10_000) -> Future[JsonAnswer]:
        """Reserve in the background."""
        return self._pool.submit(self.reserve, name, key, SIZE_34, deadline_ms)

    def slow_down(self, factor: float) -> None:
        """Have each run take so many times as long."""
        for server in self.cluster.servers.values():
            set_behaviour(server.address, slow_factor=factor)

    def platform(self, **changes: object) -> None:
        """Change the behaviour of the platform."""
        set_behaviour(self.cluster.platform.address, **changes)

    def runs(self, key: str) -> int:
        """Count the runs of a key in the records of all services."""
        return sum(
            1
            for name in self.cluster.servers
            for record in read_records(self.cluster.record_path(name))
            if record["event"] == "run" and record["key"] == key
        )

    def wait_run(self, key: str) -> None:
        """Wait until a service has begun to run a key."""
        wait_until(lambda: self.runs(key) > 0, f"{key} runs", SEEN_S)

    def claim_appends(self) -> list[dict[str, Any]]:
        """List the appends that brought claims, as the platform saw them."""
        return [
            record
            for record in read_records(self.cluster.record_path("platform"))
            if record["event"] == "append"
            and record["stream"] == "claims"
            and any(each.get("claims") for each in record["records"])
        ]

    def wait_claims(self, count: int) -> None:
        """Wait until the log holds so many appends with claims."""
        what = f"{count} appends with claims"
        wait_until(lambda: len(self.claim_appends()) >= count, what, SEEN_S)


@contextmanager
def counter(
    directory: Path, platform_args: tuple[str, ...] = (), **options: float
) -> Iterator[Counter]:
    """Run a small cluster without engines' traffic.

    Every claim goes by way of the log here; `test_claims_in_outage` has those that go without.
    """
    options = {"claim_votes": False, **options}
    cluster = Cluster(SMALL, directory, options=options, platform_args=platform_args)
    with ThreadPoolExecutor(8) as pool, cluster:
        yield Counter(cluster, pool)


def is_unknown(answer: JsonAnswer) -> bool:
    """Tell whether a caller was told that its call may have run."""
    return answer.status == 502 and bool(answer.body["outcome"] == "unknown")


def is_not_run(answer: JsonAnswer) -> bool:
    """Tell whether a caller was told that its call did not run."""
    return bool(answer.body.get("outcome") == "not_run")


def begin_and_freeze(shop: Counter, key: str, deadline_ms: int) -> Future[JsonAnswer]:
    """Reserve by way of the first instance, frozen once its claim stands and before it hears so."""
    shop.platform(hold_answers=True)
    first = shop.begin(ENTRY_1, key, deadline_ms)
    shop.wait_claims(1)
    shop.cluster.instances[ENTRY_1].process.pause()
    shop.platform(hold_answers=False)
    return first


def test_second_call_in_another_data_centre_gets_the_first_answer(tmp_path: Path) -> None:
    # A till reserves, loses the answer and sends the same key again; the balancer takes it to
    # another data centre. The instance there finds the key claimed in the log, asks the instance
    # that ran the call for its answer and replays it. The same key with another size is refused:
    # it is a mistake of the caller, who must not take the first answer for that of the second.
    with counter(tmp_path) as shop:
        first = shop.reserve(ENTRY_1, "k1")
        again = shop.reserve(ENTRY_2, "k1")
        other = shop.reserve(ENTRY_2, "k1", {"size": 36})

        assert (first.status, again.status, again.body) == (200, 200, first.body)
        assert again.headers["idempotent-replayed"] == "true"
        assert (other.status, other.body["reason"]) == (422, "key_reused")
        assert is_not_run(other)
        assert shop.runs("k1") == 1


def test_both_at_once_run_once(tmp_path: Path) -> None:
    # Two tills, or one that is impatient, send the same key to both data centres at once. Both
    # claims go to the log; the one with the lower offset runs, the other caller waits for its end
    # and gets the same answer.
    with counter(tmp_path) as shop:
        shop.slow_down(20.0)
        for number in range(10):
            key = f"both-{number}"
            calls = [shop.begin(name, key) for name in (ENTRY_1, ENTRY_2)]
            answers = [call.result() for call in calls]
            assert [answer.status for answer in answers] == [200, 200]
            assert answers[0].body == answers[1].body
            assert shop.runs(key) == 1


def test_killed_instance_leaves_unknown(tmp_path: Path) -> None:
    # The instance is killed while the service runs the call; its caller's connection breaks, and
    # it sends the key again elsewhere. Nobody is left who could learn how the run ended. The claim
    # stands in the log, so the second caller is told that the call may have run, and it does not
    # run again: not at once, and not after the instance is back.
    with counter(tmp_path) as shop:
        shop.slow_down(100.0)
        broken = shop.begin(ENTRY_1, "k1")
        shop.wait_run("k1")
        shop.cluster.instances[ENTRY_1].process.kill()
        assert isinstance(broken.exception(SEEN_S), OSError)

        again = shop.reserve(ENTRY_2, "k1")
        shop.cluster.add_instance(2)
        back = shop.reserve("entry-3", "k1")

        assert is_unknown(again)
        assert again.body["reason"] == "already_claimed"
        assert is_unknown(back)
        assert shop.runs("k1") == 1


def test_outage_of_the_log(tmp_path: Path) -> None:
    # The log refuses all calls. A key that was run before is still known: its caller gets the
    # answer. A new key can't be claimed, so it is not run, and the caller is told so in time and
    # when to come back. Once the log is back the same key runs, once, and the instance that could
    # not claim it gives the answer too.
    with counter(tmp_path) as shop:
        known = shop.reserve(ENTRY_1, "known")
        shop.platform(outage=True, outage_mode="refuse")

        assert shop.reserve(ENTRY_1, "known").body == known.body
        refused = shop.reserve(ENTRY_1, "new", deadline_ms=3000)
        assert (refused.status, refused.body["reason"]) == (503, "claim_unavailable")
        assert is_not_run(refused)
        assert int(refused.headers["retry-after"]) >= 1
        assert shop.runs("new") == 0

        shop.platform(outage=False)
        answers: list[JsonAnswer] = []

        def runs_again() -> bool:
            answers.append(shop.reserve(ENTRY_2, "new"))
            return answers[-1].status == 200

        wait_until(runs_again, "the key is claimed after the outage", SEEN_S)

        def replayed() -> bool:
            return bool(shop.reserve(ENTRY_1, "new").body == answers[-1].body)

        wait_until(replayed, "the other instance uses the log again", SEEN_S)
        assert shop.runs("new") == 1


def test_claim_that_lands_after_its_caller_was_refused(tmp_path: Path) -> None:
    # The log is slow: it takes the claim, but answers after the caller's deadline. The caller is
    # told `not_run` and that must stay true, though the claim stands in the log and was the first.
    # The instance withdraws it, so the key is not lost: sent again elsewhere it runs, once.
    with counter(tmp_path) as shop:
        shop.platform(hold_answers=True)
        refused = shop.reserve(ENTRY_1, "k1", deadline_ms=1500)
        assert refused.body["reason"] == "claim_unavailable"
        shop.wait_claims(1)
        shop.platform(hold_answers=False)

        answers: list[JsonAnswer] = []

        def is_run() -> bool:
            answers.append(shop.reserve(ENTRY_2, "k1"))
            return answers[-1].status == 200

        wait_until(is_run, "the key runs", SEEN_S)
        assert shop.runs("k1") == 1
        assert not any(is_not_run(answer) for answer in answers)


def test_lost_acknowledgement(tmp_path: Path) -> None:
    # The log takes the claim and the connection breaks before it says so. The instance must neither
    # run on the hope that it landed nor give the key up: it reads the log, finds its own claim
    # first, and runs the call. The caller sees nothing of it.
    with counter(tmp_path) as shop:
        shop.platform(lose_acks=1)
        answer = shop.reserve(ENTRY_1, "k1")

        (append,) = shop.claim_appends()
        assert append["acked"] is False
        assert answer.status == 200
        assert shop.reserve(ENTRY_2, "k1").body == answer.body
        assert shop.runs("k1") == 1


def test_instance_paused_between_claim_and_run(tmp_path: Path) -> None:
    # The instance stops right after its claim has landed, before it hears so. A second caller in
    # the other data centre must not wait for ever nor have the call run: it is told, at its
    # deadline, that the call may have run. When the first instance goes on, its claim still holds,
    # for nobody can take it over, and the call runs for its own caller, once.
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
    # As above, but the pause outlasts the caller's deadline. A run now would be for nobody, and its
    # caller may be told `not_run`: the instance gives its claim back instead of running late, and
    # the key runs, once, for whoever sends it next.
    with counter(tmp_path) as shop:
        first = begin_and_freeze(shop, "k1", deadline_ms=3000)
        assert is_unknown(shop.reserve(ENTRY_2, "k1", deadline_ms=3500))

        shop.cluster.instances[ENTRY_1].process.resume()
        assert is_not_run(first.result())
        assert shop.runs("k1") == 0
        assert shop.reserve(ENTRY_2, "k1").status == 200
        assert shop.runs("k1") == 1


def test_data_centre_cut_off_from_the_platform(tmp_path: Path) -> None:
    # The second data centre cannot reach the platform. Its callers' keys can't be claimed, so
    # nothing of theirs runs there, while the first data centre goes on reserving. When the way is
    # open again the second finds what the first has run, and replays it.
    with counter(tmp_path) as shop:
        shop.platform(cut_from=[ENTRY_2])
        cut = shop.reserve(ENTRY_2, "k1", deadline_ms=3000)
        assert cut.body["reason"] == "claim_unavailable"
        first = shop.reserve(ENTRY_1, "k1")
        assert first.status == 200

        shop.platform(cut_from=[])
        answers: list[JsonAnswer] = []

        def replayed() -> bool:
            answers.append(shop.reserve(ENTRY_2, "k1"))
            return answers[-1].status == 200

        wait_until(replayed, "the other data centre knows the key", SEEN_S)
        assert answers[-1].body == first.body
        assert shop.runs("k1") == 1


def test_key_outlives_the_record_that_claimed_it(tmp_path: Path) -> None:
    # The log keeps few records. The one that claimed the first key is long gone when all instances
    # have been replaced, and a new one reads the log from its oldest record. Were the claim gone
    # with its record, the key would run again there. It was carried forward: the caller is told
    # that the call was completed, and that its answer is no longer to be had.
    kept = ("--retention", "60")
    with counter(tmp_path, kept, claim_carry_records=20, claim_end_delay_s=0.01) as shop:
        assert shop.reserve(ENTRY_1, "old").status == 200
        (claimed,) = shop.claim_appends()
        number = 0

        def is_let_go() -> bool:
            nonlocal number
            number += 1
            assert shop.reserve(ENTRY_1, f"more-{number}").status == 200
            page = call_json(shop.cluster.platform.address, "GET", "/log/claims?from=0")
            return page.status == 410 and bool(page.body["oldest"] > claimed["first"])

        wait_until(is_let_go, "the log lets go of the first claim", CALL_S)
        shop.cluster.add_instance(2)
        for name in (ENTRY_1, ENTRY_2):
            shop.cluster.instances[name].process.kill()

        answer = shop.reserve("entry-3", "old")
        assert is_unknown(answer)
        assert answer.body["reason"] == "already_completed"
        assert shop.runs("old") == 1
        assert shop.reserve("entry-3", "fresh").status == 200


def test_call_without_a_key_is_sent_once(tmp_path: Path) -> None:
    # The service runs the call and its connection breaks before the answer. Without a key nobody
    # can tell a second send from a second order, so the router does not send it again, though
    # another server is free: the caller is told that the call may have run.
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
