"""Calls with idempotency keys run, at most once, while the platform's log is unreachable."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Final

from tests.failures.test_at_most_once import (
    ENTRY_1,
    ENTRY_2,
    EVENT_TIMEOUT_S,
    Counter,
    counter,
    is_not_run,
    is_unknown,
)
from turmericweir_standins.procs import JsonAnswer, wait_until

ENTRY_3: Final = "entry-3"
# Safety limit for a call that hangs; no answer in these tests takes nearly as long.
DEADLINE_MS: Final = 10_000


def members(shop: Counter, name: str) -> set[str]:
    """Return the voters of claims without the log, by the view of one instance."""
    view = shop.cluster.instances[name].state()["claims"]["ledger"]["views"]["current"]
    return {member["instance"] for member in view["members"]}


def wait_members(shop: Counter, *names: str) -> None:
    """Wait until exactly these instances are members in the views of each of them."""
    for name in names:
        wait_until(
            partial(_has_members, shop, name, set(names)),
            f"the view of {name} has these members",
            EVENT_TIMEOUT_S,
        )


def _has_members(shop: Counter, name: str, names: set[str]) -> bool:
    return members(shop, name) == names


@contextmanager
def voting(directory: Path) -> Iterator[Counter]:
    """Run a small cluster whose instances may claim keys by votes, without the log."""
    with counter(directory, claim_votes=True) as shop:
        wait_members(shop, ENTRY_1, ENTRY_2)
        yield shop


def is_refused(answer: JsonAnswer) -> bool:
    """Return whether the answer is a refusal with a retry time."""
    reason = answer.body.get("reason")
    return is_not_run(answer) and reason == "claim_unavailable" and "retry-after" in answer.headers


def test_keys_run_once_in_an_outage_of_the_log(tmp_path: Path) -> None:
    # Guards against refused or repeated runs while the log hangs: the instances claim keys by
    # votes. After the outage the claims are in the log, also for an instance that starts then.
    with voting(tmp_path) as shop:
        shop.platform(outage=True, outage_mode="hang")
        keys = [f"k{number}" for number in range(10)]
        for number, key in enumerate(keys):
            names = (ENTRY_1, ENTRY_2) if number % 2 else (ENTRY_2, ENTRY_1)
            first, again = (shop.reserve(name, key) for name in names)
            assert (first.status, again.status) == (200, 200), (first.body, again.body)
            assert first.body == again.body
        assert not shop.claim_appends()

        shop.platform(outage=False)

        def claimed_count() -> int:
            return sum(
                len(record["claims"])
                for append in shop.claim_appends()
                for record in append["records"]
            )

        wait_until(
            lambda: claimed_count() >= len(keys), "the claims are in the log", EVENT_TIMEOUT_S
        )
        shop.cluster.add_instance(2)
        wait_members(shop, ENTRY_1, ENTRY_2, ENTRY_3)
        for key in keys:
            assert shop.reserve(ENTRY_3, key).status == 200
            assert shop.runs(key) == 1


def test_instance_killed_in_an_outage(tmp_path: Path) -> None:
    # Guards against a second run when an instance is killed during a call in an outage. New keys
    # are refused with a retry time, since the killed instance can't vote. After the outage a new
    # view replaces it; its record carries the old keys to an instance that starts later.
    with voting(tmp_path) as shop:
        shop.platform(outage=True, outage_mode="hang")
        assert shop.reserve(ENTRY_1, "before").status == 200
        shop.slow_down(100.0)
        broken = shop.begin(ENTRY_1, "cut")
        shop.wait_run("cut")
        shop.cluster.instances[ENTRY_1].process.kill()
        assert isinstance(broken.exception(EVENT_TIMEOUT_S), OSError)

        assert is_unknown(shop.reserve(ENTRY_2, "cut", deadline_ms=DEADLINE_MS))
        assert is_refused(shop.reserve(ENTRY_2, "new", deadline_ms=DEADLINE_MS))
        assert shop.runs("new") == 0

        shop.slow_down(1.0)
        shop.platform(outage=False)
        wait_members(shop, ENTRY_2)
        wait_until(
            lambda: shop.reserve(ENTRY_2, "new").status == 200,
            "new keys are claimed",
            EVENT_TIMEOUT_S,
        )
        shop.cluster.add_instance(2)
        wait_members(shop, ENTRY_2, ENTRY_3)
        for key in ("cut", "before"):
            assert is_unknown(shop.reserve(ENTRY_3, key))
            assert shop.runs(key) == 1
        assert shop.runs("new") == 1


def test_paused_member_resumes_after_a_newer_view(tmp_path: Path) -> None:
    # Guards against a second run of a claimed key whose instance was paused in an outage and was
    # removed from the view. Other instances answer `unknown`; the paused one completes the only run
    # after it resumes.
    with voting(tmp_path) as shop:
        shop.platform(outage=True, outage_mode="hang")
        shop.slow_down(100.0)
        first = shop.begin(ENTRY_1, "k1", deadline_ms=60_000)
        shop.wait_run("k1")
        shop.cluster.instances[ENTRY_1].process.pause()
        shop.platform(outage=False)
        wait_members(shop, ENTRY_2)
        shop.cluster.add_instance(2)
        wait_members(shop, ENTRY_2, ENTRY_3)
        for name in (ENTRY_2, ENTRY_3):
            assert is_unknown(shop.reserve(name, "k1", deadline_ms=2000))
        shop.cluster.instances[ENTRY_1].process.resume()
        assert first.result().status == 200
        current_members = partial(members, shop, ENTRY_1)
        wait_until(
            lambda: ENTRY_1 in current_members(),
            "the resumed instance is a member again",
            EVENT_TIMEOUT_S,
        )
        assert shop.reserve(ENTRY_3, "k1").body == first.result().body
        assert shop.runs("k1") == 1


def test_data_centre_cut_off_from_the_platform_claims_by_votes(tmp_path: Path) -> None:
    # Guards against refused or repeated runs when one data centre can't reach the log but reaches
    # the other data centre: claims by votes and claims in the log must not overlap.
    with voting(tmp_path) as shop:
        shop.platform(cut_from=[ENTRY_2])
        for number in range(6):
            names = (ENTRY_1, ENTRY_2) if number % 2 else (ENTRY_2, ENTRY_1)
            first, again = (shop.reserve(name, f"k{number}") for name in names)
            assert (first.status, again.status) == (200, 200), (first.body, again.body)
            assert first.body == again.body
            assert shop.runs(f"k{number}") == 1
