"""How long upper work waits for a slot that frees itself, before lower work makes way."""

from __future__ import annotations

from turmericweir_core.base.options import Options
from turmericweir_core.state.queue_state import ClassQueue


def displacement_wait(options: Options, target_s: float) -> float:
    """Give the time after which lower work makes way for a request with this target.

    Failure without the wait: each upper request stops an answer, and its prefill is lost, while
    others end by themselves all the time and would leave a slot well within the target.
    """
    return min(options.displace_wait_max_s, options.displace_wait_share * target_s)


def count_ripe(options: Options, now: float, queue: ClassQueue, most: int) -> int:
    """Count the requests, first come first, that have waited for so long, up to a number."""
    wait = displacement_wait(options, queue.service_class.target_s)
    ripe = 0
    for req in queue.waiting():
        if ripe >= most or now - req.arrived < wait:
            break
        ripe += 1
    return ripe
