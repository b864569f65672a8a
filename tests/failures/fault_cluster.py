"""A cluster whose backend servers stand behind the fault proxy, and callers that read streams.

Each server has a route of its own, by which all instances reach it, so one server's connections can
be silenced or closed. `Chats` sends chat requests in the background and keeps what came back; what
the engines did is read from their own records.
"""

from __future__ import annotations

import http.client
from collections import Counter
from collections.abc import Iterator, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Final

import orjson

from tests.failures.cluster import SMALL
from turmericweir_standins.deployment import Cluster, Deployment, Listed, token_of
from turmericweir_standins.engine_answer import ChatMessage, answer_of
from turmericweir_standins.procs import (
    Process,
    call_json,
    free_address,
    set_behaviour,
    standin,
    wait_until,
)
from turmericweir_standins.record import read_records

MODEL: Final = "lm"
CUSTOMER: Final = "shop-1"
# Ends a call that would hang the test; no test waits for it.
CALL_S: Final = 60.0
SEEN_S: Final = 20.0
OUTCOME_EVENT: Final = "event: turmericweir.outcome"
DATA: Final = "data: "
DONE: Final = "[DONE]"


def small(*, engines: int = 2, instances: int = 2, **changes: Any) -> Deployment:
    """Give the small deployment with another number of engines or instances."""
    groups = (replace(SMALL.groups[0], count=engines), *SMALL.groups[1:])
    return replace(SMALL, groups=groups, instances=instances, **changes)


class FaultCluster(Cluster):
    """Backend servers behind a proxy."""

    proxy: Process
    # Where instances reach each server.
    routes: dict[str, str]

    def __init__(self, deployment: Deployment, directory: Path, **options: float) -> None:
        super().__init__(deployment, directory, options=options)
        self.routes = {}

    def _start(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        record = str(self.record_path("proxy"))
        self.proxy = self._enter(standin("proxy", "--record", record, directory=self.directory))
        super()._start()

    def list_process(self, listed: Listed, state: str = "live", incarnation: str = "1") -> None:
        """Put a process into the platform's list, a server by the address of its route."""
        if listed.kind != "entry":
            listed = replace(listed, address=self._route(listed))
        super().list_process(listed, state, incarnation)

    def _route(self, listed: Listed) -> str:
        address = self.routes.get(listed.name)
        if address is None:
            address = self.routes[listed.name] = free_address()
            route = {"kind": "tcp", "listen": address, "target": listed.address}
            call_json(self.proxy.address, "POST", "/_standin/routes", {"routes": [route]})
        return address

    def wait_met(self) -> None:
        """Wait until every instance takes all of them for live."""
        names = set(self.instances)

        def met() -> bool:
            live = [each.state()["process"]["live_instances"] for each in self.instances.values()]
            return all(set(each) == names for each in live)

        wait_until(met, "the instances have met", SEEN_S)

    def fault(self, server: str, **changes: object) -> None:
        """Change the faults of the route to a server."""
        path = f"/_standin/behaviour?route={self.routes[server]}"
        answer = call_json(self.proxy.address, "POST", path, changes)
        assert answer.status == 200, answer.body

    def behave(self, server: str, **changes: object) -> None:
        """Change the behaviour of a backend server."""
        set_behaviour(self.servers[server].address, **changes)

    def records(self, event: str, service: str = MODEL) -> list[dict[str, Any]]:
        """List what a service's servers noted of one event, with the server's name as `server`."""
        return [
            {**record, "server": name}
            for name in self.servers
            if name.startswith(f"{service}-")
            for record in read_records(self.record_path(name))
            if record["event"] == event
        ]

    def wait_records(self, event: str, count: int, service: str = MODEL) -> None:
        """Wait until the servers of a service have noted an event so often."""
        wait_until(
            lambda: len(self.records(event, service)) >= count,
            f"{count} times {event} at {service}",
            SEEN_S,
        )


@dataclass(slots=True)
class Chat:
    """What a caller saw of one chat request."""

    prompt: str
    status: int
    text: str
    # As the outcome event, or the problem, says.
    outcome: str
    reason: str
    # The stream ended with [DONE].
    done: bool

    def is_whole(self) -> bool:
        """Tell whether it is the whole answer to its own prompt, each token once."""
        truth = answer_of(MODEL, [ChatMessage(role="user", content=self.prompt)])
        return self.done and self.outcome == "completed" and self.text == truth.text()


class Chats:
    """Callers that stream."""

    cluster: FaultCluster

    def __init__(self, cluster: FaultCluster, pool: ThreadPoolExecutor) -> None:
        self.cluster = cluster
        self._pool = pool

    def send(
        self, prompt: str, *, instance: int = 1, customer: str = CUSTOMER, **headers: str
    ) -> Future[Chat]:
        """Send a request through an instance in the background."""
        address = self.cluster.instances[f"entry-{instance}"].address
        return self._pool.submit(_stream, address, prompt, customer, headers)

    def ask(self, prompt: str, *, instance: int = 1, customer: str = CUSTOMER) -> Chat:
        """Send a request and wait for its end."""
        return self.send(prompt, instance=instance, customer=customer).result(CALL_S)


def _stream(address: str, prompt: str, customer: str, headers: Mapping[str, str]) -> Chat:
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=CALL_S)
    body = {"model": MODEL, "messages": [{"role": "user", "content": prompt}], "stream": True}
    named = {
        "Authorization": f"Bearer {token_of(customer)}",
        "Content-Type": "application/json",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    try:
        conn.request("POST", "/v1/chat/completions", orjson.dumps(body), named)
        response = conn.getresponse()
        if response.status != 200:
            problem = orjson.loads(response.read())
            outcome = problem.get("outcome", "")
            return Chat(prompt, response.status, "", outcome, problem.get("reason", ""), False)
        return _read_events(prompt, response)
    finally:
        conn.close()


def _read_events(prompt: str, response: http.client.HTTPResponse) -> Chat:
    chat = Chat(prompt, response.status, "", "", "", False)
    is_outcome = False
    for raw in response:
        line = raw.decode().rstrip("\r\n")
        if line.startswith(DATA):
            _take_data(chat, line[len(DATA) :], is_outcome)
        is_outcome = line == OUTCOME_EVENT
    return chat


def _take_data(chat: Chat, data: str, is_outcome: bool) -> None:
    if data == DONE:
        chat.done = True
        return
    value = orjson.loads(data)
    if is_outcome:
        chat.outcome = value["outcome"]
        chat.reason = value["reason"]
    else:
        chat.text += value["choices"][0]["delta"]["content"]


def runs_by_request(records: list[dict[str, Any]]) -> Counter[str]:
    """Count records by request."""
    return Counter(record["request_id"] for record in records)


@contextmanager
def chats(deployment: Deployment, directory: Path, **options: float) -> Iterator[Chats]:
    """Run a cluster behind the proxy, with callers."""
    cluster = FaultCluster(deployment, directory, **options)
    with ThreadPoolExecutor(64) as pool, cluster:
        cluster.wait_met()
        yield Chats(cluster, pool)
