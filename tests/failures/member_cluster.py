"""A cluster whose instances reach each other through the fault proxy, and their membership views.

`CallLoop` keeps one instance under a steady load of requests.
"""

from __future__ import annotations

import json
import sys
import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

from tests.failures.cluster import SMALL
from turmericweir_standins.deployment import Instance, ListedProcess, token_of
from turmericweir_standins.peer_cluster import PeerCluster
from turmericweir_standins.procs import (
    JsonAnswer,
    Process,
    call_json,
    free_address,
    wait_until,
)
from turmericweir_standins.record import read_records

# Safety limit for a wait; no test depends on its length.
EVENT_TIMEOUT_S: Final = 20.0
MODEL: Final = "lm"
CUSTOMER: Final = "shop-1"


class MemberCluster(PeerCluster):
    """A cluster with a proxy between its instances."""

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

    def _process_settings(self, listed: ListedProcess, admin_address: str) -> dict[str, Any]:
        cfg = super()._process_settings(listed, admin_address)
        return {**cfg, "stop_grace_s": self._stop_grace_s}

    # --- faults ---

    def route_peer_messages(self, address: str, name: str) -> None:
        """Route peer messages to another address to an instance."""
        target = self.instances[name].listed.peer_address
        routes = [{"kind": kind, "listen": address, "target": target} for kind in ("tcp", "udp")]
        call_json(self.peer_proxy.address, "POST", "/_standin/routes", {"routes": routes})

    def block_all_incoming(self, *, on: bool = True) -> None:
        """Block the peer messages to every instance."""
        for name in self.instances:
            self.block_incoming(name, on=on)

    def set_server_behaviour(self, name: str, **changes: object) -> None:
        """Change the behaviour of a backend server."""
        call_json(self.servers[name].address, "POST", "/_standin/behaviour", changes)

    def set_platform_behaviour(self, **changes: object) -> None:
        """Change the behaviour of the platform."""
        call_json(self.platform.address, "POST", "/_standin/behaviour", changes)

    # --- views of the instances ---

    def live(self, name: str) -> set[str]:
        """Return the instances that one instance lists as live, itself included."""
        return set(self.instances[name].state()["process"]["live_instances"])

    def wait_live(self, name: str, expected: set[str]) -> None:
        """Wait until an instance lists exactly these as live."""
        what = f"{name} lists {sorted(expected)} as live"
        wait_until(lambda: self.live(name) == expected, what, EVENT_TIMEOUT_S)

    def wait_all_live(self) -> None:
        """Wait until all running instances list each other as live."""
        running = {it.name for it in self.instances.values() if it.process.is_running}
        for name in running:
            self.wait_live(name, running)

    def server_state_on(self, name: str, server: str) -> Any:
        """Return the state of a backend server on an instance."""
        return self.instances[name].state()["servers"]["by_name"].get(server)

    def member_on(self, name: str, member: str) -> Any:
        """Return what an instance knows of another one."""
        return self.instances[name].state()["members"]["by_name"].get(member)

    def wait_flagged(self, server: str, flag: str) -> None:
        """Wait until every running instance has flagged a server as leaving or as drained."""
        for instance in self.instances.values():
            if instance.process.is_running:
                what = f"{instance.name} has flagged {server} as {flag}"
                has_flag = partial(self._has_flag, instance.name, server, flag)
                wait_until(has_flag, what, EVENT_TIMEOUT_S)

    def _has_flag(self, name: str, server: str, flag: str) -> bool:
        server_state = self.server_state_on(name, server)
        return server_state is not None and bool(server_state[flag])

    # --- callers ---

    def ask(self, name: str, text: str = "hello", timeout_s: float = 30.0) -> JsonAnswer:
        """Send one model request through an instance."""
        return ask(self.instances[name], text, timeout_s)

    def request_count(self, server: str) -> int:
        """Return the number of requests that reached a backend server, refused ones included."""
        records = read_records(self.record_path(server))
        return sum(1 for record in records if record["event"] in ("started", "refused"))


@contextmanager
def earlier_process(directory: Path, name: str, seed: str) -> Iterator[Process]:
    """Run a process that has the name of an instance and addresses of its own."""
    cfg = {
        "name": name,
        "data_centre": "dc-1",
        "region": SMALL.region,
        "caller_address": free_address(),
        "admin_address": free_address(),
        "peer_address": free_address(),
        "platform": {"address": free_address()},
        "seeds": [seed],
    }
    path = directory / "earlier.json"
    path.write_text(json.dumps(cfg))
    argv = [sys.executable, "-m", "turmericweir.main", "--config", str(path)]
    with Process(argv, name="earlier", directory=directory) as process:
        yield process


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


class CallLoop:
    """A caller that sends requests to one instance, one after the other, until the block ends."""

    # The status of each answer, in order.
    statuses: list[int]

    def __init__(self, instance: Instance) -> None:
        self.statuses = []
        self._instance = instance
        self._stop_requested = threading.Event()
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
        self._stop_requested.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop_requested.is_set():
            answer = ask(self._instance, f"question {len(self.statuses)}")
            self.statuses.append(answer.status)

    def wait_more_answers(self, count: int) -> None:
        """Wait until this many more requests were answered."""
        target_count = len(self.statuses) + count
        wait_until(
            lambda: len(self.statuses) >= target_count, f"{count} more answers", EVENT_TIMEOUT_S
        )
