"""Keyed calls go on, at most once, while the platform's log is out of reach."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Final

from tests.failures.test_at_most_once import (
    ENTRY_1,
    ENTRY_2,
    SEEN_S,
    Counter,
    counter,
    is_not_run,
    is_unknown,
)
from turmericweir_standins.procs import JsonAnswer, wait_until

ENTRY_3: Final = "entry-3"
# Ends a call that would hang; no answer of these tests takes nearly as long.
DEADLINE_MS: Final = 10_000


def members(shop: Counter, name: str) -> set[str]:
    """List the instances that must agree to a claim without the log, as one of them knows them."""
    view = shop.cluster.instances[name].state()["claims"]["ledger"]["views"]["current"]
    return {each["instance"] for each in view["members"]}


def wait_members(shop: Counter, *names: str) -> None:
    """Wait until these instances, and no others, know each other as members."""
    for name in names:
        wait_until(partial(_knows, shop, name, set(names)), f"{name} knows the members", SEEN_S)


def _knows(shop: Counter, name: str, names: set[str]) -> bool:
    return members(shop, name) == names


@contextmanager
def voting(directory: Path) -> Iterator[Counter]:
    """Run a small cluster whose instances may agree on claims."""
    with counter(directory, claim_votes=True) as shop:
        wait_members(shop, ENTRY_1, ENTRY_2)
        yield shop


def is_refused(answer: JsonAnswer) -> bool:
    """Tell whether a caller was told when to send its key again."""
    reason = answer.body.get("reason")
    return is_not_run(answer) and reason == "claim_unavailable" and "retry-after" in answer.headers


def test_keys_run_once_in_an_outage(tmp_path: Path) -> None:
    # The log hangs and tills go on reserving. Each key is sent twice, the second time to the other
    # data centre, which gives the first answer without the log: it agreed to the first. After the
    # outage the claims are in the log, and an instance that starts then knows them from there.
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

        def claimed() -> int:
            return sum(len(r["claims"]) for each in shop.claim_appends() for r in each["records"])

        wait_until(lambda: claimed() >= len(keys), "the claims are in the log", SEEN_S)
        shop.cluster.add_instance(2)
        wait_members(shop, ENTRY_1, ENTRY_2, ENTRY_3)
        for key in keys:
            assert shop.reserve(ENTRY_3, key).status == 200
            assert shop.runs(key) == 1


def test_instance_killed_in_an_outage(tmp_path: Path) -> None:
    # In an outage an instance is killed while a service runs its call. The caller sends the key to
    # the other instance, which agreed to it: it may have run, so it does not run again. New keys
    # need the dead one's agreement and are refused, and callers are told when to come back. Once
    # the log is back the survivor replaces the view. New keys run, and the old one stays known,
    # also to an instance that starts later: the record that lets it in brings the key.
    with voting(tmp_path) as shop:
        shop.platform(outage=True, outage_mode="hang")
        assert shop.reserve(ENTRY_1, "before").status == 200
        shop.slow_down(100.0)
        broken = shop.begin(ENTRY_1, "cut")
        shop.wait_run("cut")
        shop.cluster.instances[ENTRY_1].process.kill()
        assert isinstance(broken.exception(SEEN_S), OSError)

        assert is_unknown(shop.reserve(ENTRY_2, "cut", deadline_ms=DEADLINE_MS))
        assert is_refused(shop.reserve(ENTRY_2, "new", deadline_ms=DEADLINE_MS))
        assert shop.runs("new") == 0

        shop.slow_down(1.0)
        shop.platform(outage=False)
        wait_members(shop, ENTRY_2)
        wait_until(
            lambda: shop.reserve(ENTRY_2, "new").status == 200, "new keys are claimed", SEEN_S
        )
        shop.cluster.add_instance(2)
        wait_members(shop, ENTRY_2, ENTRY_3)
        for key in ("cut", "before"):
            assert is_unknown(shop.reserve(ENTRY_3, key))
            assert shop.runs(key) == 1
        assert shop.runs("new") == 1


def test_paused_member_goes_on_after_a_newer_view(tmp_path: Path) -> None:
    # An instance is paused in an outage with a call that all agreed to, before the service has it.
    # The log comes back, the others replace the view without it, and the key is sent to them. The
    # record of the new view brings it: `unknown`, as the paused one may still run it. It does, when
    # it goes on, and that is the only run.
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
        back = partial(members, shop, ENTRY_1)
        wait_until(lambda: ENTRY_1 in back(), "it is a member again", SEEN_S)
        assert shop.reserve(ENTRY_3, "k1").body == first.result().body
        assert shop.runs("k1") == 1


def test_data_centre_cut_off_from_the_platform_goes_on(tmp_path: Path) -> None:
    # The second data centre can't reach the log, but the first can, and they can talk. Tills of
    # both go on. Each key is sent to both: what the first has claimed in the log, the second learns
    # when it asks the first to agree, and what both agreed to the first does not claim.
    with voting(tmp_path) as shop:
        shop.platform(cut_from=[ENTRY_2])
        for number in range(6):
            names = (ENTRY_1, ENTRY_2) if number % 2 else (ENTRY_2, ENTRY_1)
            first, again = (shop.reserve(name, f"k{number}") for name in names)
            assert (first.status, again.status) == (200, 200), (first.body, again.body)
            assert first.body == again.body
            assert shop.runs(f"k{number}") == 1
