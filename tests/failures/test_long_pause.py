"""An instance that is frozen for longer than the log keeps the records that it still needs."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from itertools import count
from pathlib import Path
from typing import Final

from tests.failures.test_at_most_once import (
    ENTRY_1,
    ENTRY_2,
    SEEN_S,
    Counter,
    begin_and_freeze,
    counter,
    is_not_run,
    is_unknown,
)
from turmericweir_standins.procs import call_json, wait_until

KEY: Final = "k1"
RETENTION: Final = 60
ENTRY_3: Final = "entry-3"


def make_log_let_go(shop: Counter, offset: int) -> None:
    """Reserve by way of the other instance until the log has dropped the record at an offset."""
    number = 0

    def is_let_go() -> bool:
        nonlocal number
        number += 1
        assert shop.reserve(ENTRY_2, f"more-{number}").status == 200
        page = call_json(shop.cluster.platform.address, "GET", "/log/claims?from=0")
        return page.status == 410 and bool(page.body["oldest"] > offset)

    wait_until(is_let_go, "the log lets go of the claim", SEEN_S)


def is_answered(shop: Counter, name: str) -> bool:
    """Tell whether a call under the key gets its whole answer by way of an instance."""
    return shop.reserve(name, KEY).status == 200


def is_free(shop: Counter, numbers: Iterator[int]) -> bool:
    """Tell whether the key runs by way of another instance, after other keys have moved the clock.

    The time of the claims is the second latest clock of all instances, so it takes keys from two.
    """
    for name in (ENTRY_2, ENTRY_3):
        assert shop.reserve(name, f"more-{next(numbers)}").status == 200
    return shop.reserve(ENTRY_2, KEY, deadline_ms=1000).status == 200


def test_frozen_holder_of_a_key_whose_record_is_gone(tmp_path: Path) -> None:
    # An instance is frozen right after its claim of a key has landed. The other one goes on for so
    # long that the log lets go of that record, and the caller sends the key again there: it is told
    # that the call may have run, since the claim was carried forward. When the frozen one goes on,
    # all that it missed is gone from the log. It may run its call or refuse it, and says which; the
    # key runs once, also when both are asked for it again.
    kept = ("--retention", str(RETENTION))
    with counter(tmp_path, kept, claim_carry_records=20, claim_end_delay_s=0.01) as shop:
        first = begin_and_freeze(shop, KEY, deadline_ms=60_000)
        (claimed,) = shop.claim_appends()
        make_log_let_go(shop, claimed["first"])
        assert is_unknown(shop.reserve(ENTRY_2, KEY, deadline_ms=2000))
        assert shop.runs(KEY) == 0

        shop.cluster.instances[ENTRY_1].process.resume()
        told = first.result()
        assert told.status == 200 or is_not_run(told)
        assert shop.runs(KEY) == (1 if told.status == 200 else 0)
        for name in (ENTRY_2, ENTRY_1):
            wait_until(partial(is_answered, shop, name), "the key is answered", SEEN_S)
        assert shop.runs(KEY) == 1


def test_frozen_holder_of_a_key_that_is_no_longer_held(tmp_path: Path) -> None:
    # As above, but the pause outlasts the time for which keys are held, here some seconds: the key
    # is free again, and the caller has it run by way of the other instance. The frozen one still
    # has its claim in hand when it goes on, and its caller's deadline is not over. It must not run
    # now; a call that was let in under a claim ends before the claim can.
    with counter(tmp_path, claim_retention_s=4.0) as shop:
        shop.cluster.add_instance(2)
        first = begin_and_freeze(shop, KEY, deadline_ms=60_000)
        wait_until(partial(is_free, shop, count(1)), "the key is free again", SEEN_S)
        assert shop.runs(KEY) == 1

        shop.cluster.instances[ENTRY_1].process.resume()
        assert is_not_run(first.result())
        assert shop.runs(KEY) == 1
