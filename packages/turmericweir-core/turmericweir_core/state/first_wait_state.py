"""Recent times to the first event of an answer, used to detect unresponsive servers."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName


class FirstWaitState(Struct):
    """Recent times to the first event of an answer."""

    # The longest wait by server, reduced by newer and shorter waits.
    longest_first_wait_s: dict[ServerName, float] = field(default_factory=dict)
    # Number of attempts that were suspected, for the state dump.
    suspected_count: int = 0
