"""An instance that is paused for longer than the log or the cluster keeps its claims."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from itertools import count
from pathlib import Path
from typing import Final

from tests.failures.test_at_most_once import (
    ENTRY_1,
    ENTRY_2,
    EVENT_TIMEOUT_S,
    Counter,
    begin_and_freeze,
    counter,
    is_not_run,
    is_unknown,
)
from turmericweir_standins.procs import call_json, wait_until

KEY: Final = "k1"
RETENTION_RECORDS: Final = 60
ENTRY_3: Final = "entry-3"


def expire_log_record(shop: Counter, offset: int) -> None:
    """Send reservations through the other instance until the log has dropped an offset."""
    number = 0

    def has_left_log() -> bool:
        nonlocal number
        number += 1
        assert shop.reserve(ENTRY_2, f"more-{number}").status == 200
        page = call_json(shop.cluster.platform.address, "GET", "/log/claims?from=0")
        return page.status == 410 and bool(page.body["oldest"] > offset)

    wait_until(has_left_log, "the claim has left the log", EVENT_TIMEOUT_S)


def is_answered(shop: Counter, name: str) -> bool:
    """Return whether a call with the key is answered by an instance."""
    return shop.reserve(name, KEY).status == 200


def is_free(shop: Counter, numbers: Iterator[int]) -> bool:
    """Return whether the key runs again on another instance, after other keys have been claimed.

    The time of the claims is the second latest clock of all instances; only keys from two
    instances advance it.
    """
    for name in (ENTRY_2, ENTRY_3):
        assert shop.reserve(name, f"more-{next(numbers)}").status == 200
    return shop.reserve(ENTRY_2, KEY, deadline_ms=1000).status == 200


def test_paused_instance_whose_claim_record_has_left_the_log(tmp_path: Path) -> None:
    # Guards against a second run when an instance is paused right after its claim and the claim's
    # record leaves the log meanwhile. The resumed instance runs the call or refuses it; in both
    # cases the key runs once.
    platform_args = ("--retention", str(RETENTION_RECORDS))
    with counter(tmp_path, platform_args, claim_carry_records=20, claim_end_delay_s=0.01) as shop:
        first = begin_and_freeze(shop, KEY, deadline_ms=60_000)
        (claim_append,) = shop.claim_appends()
        expire_log_record(shop, claim_append["first"])
        assert is_unknown(shop.reserve(ENTRY_2, KEY, deadline_ms=2000))
        assert shop.runs(KEY) == 0

        shop.cluster.instances[ENTRY_1].process.resume()
        answer = first.result()
        assert answer.status == 200 or is_not_run(answer)
        assert shop.runs(KEY) == (1 if answer.status == 200 else 0)
        for name in (ENTRY_2, ENTRY_1):
            wait_until(partial(is_answered, shop, name), "the key is answered", EVENT_TIMEOUT_S)
        assert shop.runs(KEY) == 1


def test_paused_instance_whose_claim_has_expired(tmp_path: Path) -> None:
    # Guards against a second run when the pause outlasts the retention of the claim and the key has
    # run again elsewhere. The resumed instance must not run its call, though the caller's deadline
    # is not over.
    with counter(tmp_path, claim_retention_s=4.0) as shop:
        shop.cluster.add_instance(2)
        first = begin_and_freeze(shop, KEY, deadline_ms=60_000)
        wait_until(partial(is_free, shop, count(1)), "the key is free again", EVENT_TIMEOUT_S)
        assert shop.runs(KEY) == 1

        shop.cluster.instances[ENTRY_1].process.resume()
        assert is_not_run(first.result())
        assert shop.runs(KEY) == 1
