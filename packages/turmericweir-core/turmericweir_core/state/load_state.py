"""What was told to and heard from other instances about the load of servers."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericweir_core.base.ids import InstanceName


@dataclass(slots=True)
class NewsState:
    """The state of `load_news`."""

    # Own counter of news.
    seq: int = 0
    # The newest incarnation and counter heard of each peer.
    heard: dict[InstanceName, tuple[str, int]] = field(default_factory=dict)
    # No news go out before this time, and the same ones again after the other.
    send_due: float = float("-inf")
    renew_due: float = float("-inf")
    # The newest news named something, or that there is nothing is still to be told once more.
    told_load: bool = False
