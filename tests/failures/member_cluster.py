"""A cluster whose instances speak to each other through the fault proxy, and what they believe.

`Calls` keeps sending requests to one instance, as its callers would.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

from tests.failures.cluster import SMALL
from turmericweir_standins.deployment import Instance, Listed, token_of
from turmericweir_standins.peer_cluster import PeerCluster
from turmericweir_standins.procs import JsonAnswer, call_json, wait_until
from turmericweir_standins.record import read_records

# Left out, or back in, at the latest after so long; the test waits for the event itself.
SEEN_S: Final = 20.0
MODEL: Final = "lm"
CUSTOMER: Final = "shop-1"


class MemberCluster(PeerCluster):
    """Instances with a proxy between them."""

    def __init__(
        self,
        directory: Path,
        instances: int,
        data_centres: tuple[str, ...] = ("dc-1",),
        *,
        stop_grace_s: float = 0.2,
    ) -> None:
        deployment = replace(SMALL, data_centres=data_centres, instances=instances, policy="counts")
        super().__init__(deployment, directory)
        self._stop_grace_s = stop_grace_s

    def _process_settings(self, listed: Listed, admin_address: str) -> dict[str, Any]:
        cfg = super()._process_settings(listed, admin_address)
        return {**cfg, "stop_grace_s": self._stop_grace_s}

    # --- faults ---

    def part_all(self, *, on: bool = True) -> None:
        """Part every instance from every other."""
        for name in self.instances:
            self.deafen(name, on=on)

    def behave(self, name: str, **changes: object) -> None:
        """Change the behaviour of a backend server."""
        call_json(self.servers[name].address, "POST", "/_standin/behaviour", changes)

    def platform_behave(self, **changes: object) -> None:
        """Change the behaviour of the platform."""
        call_json(self.platform.address, "POST", "/_standin/behaviour", changes)

    # --- what instances believe ---

    def live(self, name: str) -> set[str]:
        """Name the instances that one takes for live, itself included."""
        return set(self.instances[name].state()["process"]["live_instances"])

    def wait_live(self, name: str, expected: set[str]) -> None:
        """Wait until an instance takes exactly those for live."""
        what = f"{name} takes {sorted(expected)} for live"
        wait_until(lambda: self.live(name) == expected, what, SEEN_S)

    def wait_all_live(self) -> None:
        """Wait until all running instances have met."""
        running = {it.name for it in self.instances.values() if it.process.running}
        for name in running:
            self.wait_live(name, running)

    def server_at(self, name: str, server: str) -> Any:
        """Give what an instance holds of a backend server."""
        return self.instances[name].state()["servers"]["by_name"].get(server)

    def wait_marked(self, server: str, flag: str) -> None:
        """Wait until every running instance holds a server as leaving or as drained."""
        for each in self.instances.values():
            if each.process.running:
                what = f"{each.name} holds {server} as {flag}"
                holds = partial(self._has_flag, each.name, server, flag)
                wait_until(holds, what, SEEN_S)

    def _has_flag(self, name: str, server: str, flag: str) -> bool:
        held = self.server_at(name, server)
        return held is not None and bool(held[flag])

    # --- callers ---

    def ask(self, name: str, text: str = "hello", timeout_s: float = 30.0) -> JsonAnswer:
        """Send one model request by way of an instance."""
        return ask(self.instances[name], text, timeout_s)

    def attempts_at(self, server: str) -> int:
        """Count the requests that a backend server has seen, whatever it did with them."""
        records = read_records(self.record_path(server))
        return sum(1 for record in records if record["event"] in ("started", "refused"))


def ask(instance: Instance, text: str, timeout_s: float = 30.0) -> JsonAnswer:
    """Send one model request to an instance."""
    headers = {"Authorization": f"Bearer {token_of(CUSTOMER)}"}
    body: Mapping[str, Any] = {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 4,
    }
    return call_json(
        instance.address, "POST", "/v1/chat/completions", body, headers, timeout_s=timeout_s
    )


class Calls:
    """Requests sent to an instance one after the other until it is left."""

    # The status of each answer, in order.
    statuses: list[int]

    def __init__(self, instance: Instance) -> None:
        self.statuses = []
        self._instance = instance
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ended.is_set():
            answer = ask(self._instance, f"question {len(self.statuses)}")
            self.statuses.append(answer.status)

    def wait_more(self, count: int) -> None:
        """Wait until so many more requests were answered."""
        wanted = len(self.statuses) + count
        wait_until(lambda: len(self.statuses) >= wanted, f"{count} more answers", SEEN_S)
