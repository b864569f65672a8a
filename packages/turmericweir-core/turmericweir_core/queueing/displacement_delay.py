"""Return how long upper work waits for a free slot before lower work is displaced."""

from __future__ import annotations

from turmericweir_core.base.options import Options
from turmericweir_core.state.queue_state import ClassQueue


def displacement_wait_s(options: Options, target_s: float) -> float:
    """Return the time after which lower work may be displaced for a request with this target.

    Prevents displacing answers, and losing their prefills, where a slot becomes free in time
    anyway.
    """
    return min(options.displace_wait_max_s, options.displace_wait_share * target_s)


def count_ready_to_displace(options: Options, now: float, queue: ClassQueue, count_max: int) -> int:
    """Count the requests at the head of a queue that have waited that long, up to a maximum."""
    wait_s = displacement_wait_s(options, queue.service_class.target_s)
    ready_count = 0
    for req in queue.waiting():
        if ready_count >= count_max or now - req.arrived_at < wait_s:
            break
        ready_count += 1
    return ready_count
