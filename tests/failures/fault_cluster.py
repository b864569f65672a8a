"""A cluster whose backend servers are behind the fault proxy, and callers that read streams.

All instances reach a server through its own proxy route, so a test can disturb the connections of
one server. `ChatCallers` sends chat requests in the background and collects the answers. The work
of the engines is read from their own records.
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
from turmericweir_standins.deployment import Cluster, Deployment, ListedProcess, token_of
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
# Safety limit for a call that hangs; no test waits for it.
CALL_TIMEOUT_S: Final = 60.0
EVENT_TIMEOUT_S: Final = 20.0
OUTCOME_EVENT: Final = "event: turmericweir.outcome"
DATA: Final = "data: "
DONE: Final = "[DONE]"


def small(*, engines: int = 2, instances: int = 2, **changes: Any) -> Deployment:
    """Return the small deployment with another number of engines or instances."""
    groups = (replace(SMALL.groups[0], count=engines), *SMALL.groups[1:])
    return replace(SMALL, groups=groups, instances=instances, **changes)


class FaultCluster(Cluster):
    """A cluster whose backend servers are behind a proxy."""

    proxy: Process
    # Address of the route to each server, by server name.
    routes: dict[str, str]

    def __init__(self, deployment: Deployment, directory: Path, **options: float) -> None:
        super().__init__(deployment, directory, options=options)
        self.routes = {}

    def _start(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        record = str(self.record_path("proxy"))
        self.proxy = self._enter_process(
            standin("proxy", "--record", record, directory=self.directory)
        )
        super()._start()

    def list_process(
        self, listed: ListedProcess, state: str = "live", incarnation: str = "1"
    ) -> None:
        """Put a process into the platform's list; a server gets the address of its route."""
        if listed.kind != "entry":
            listed = replace(listed, address=self._route_address(listed))
        super().list_process(listed, state, incarnation)

    def _route_address(self, listed: ListedProcess) -> str:
        address = self.routes.get(listed.name)
        if address is None:
            address = self.routes[listed.name] = free_address()
            route = {"kind": "tcp", "listen": address, "target": listed.address}
            call_json(self.proxy.address, "POST", "/_standin/routes", {"routes": [route]})
        return address

    def wait_all_live(self) -> None:
        """Wait until every instance lists all instances as live."""
        names = set(self.instances)

        def are_all_live() -> bool:
            live = [each.state()["process"]["live_instances"] for each in self.instances.values()]
            return all(set(each) == names for each in live)

        wait_until(are_all_live, "all instances list each other as live", EVENT_TIMEOUT_S)

    def set_route_faults(self, server: str, **changes: object) -> None:
        """Change the faults on the route to a server."""
        path = f"/_standin/behaviour?route={self.routes[server]}"
        answer = call_json(self.proxy.address, "POST", path, changes)
        assert answer.status == 200, answer.body

    def set_server_behaviour(self, server: str, **changes: object) -> None:
        """Change the behaviour of a backend server."""
        set_behaviour(self.servers[server].address, **changes)

    def records(self, event: str, service: str = MODEL) -> list[dict[str, Any]]:
        """Return a service's records of one event, with the server's name as `server`."""
        return [
            {**record, "server": name}
            for name in self.servers
            if name.startswith(f"{service}-")
            for record in read_records(self.record_path(name))
            if record["event"] == event
        ]

    def wait_records(self, event: str, count: int, service: str = MODEL) -> None:
        """Wait until the servers of a service have recorded an event this many times."""
        wait_until(
            lambda: len(self.records(event, service)) >= count,
            f"{count} records of {event} at {service}",
            EVENT_TIMEOUT_S,
        )


@dataclass(slots=True)
class Chat:
    """The answer to one chat request, as its caller received it."""

    prompt: str
    status: int
    text: str
    # From the outcome event, or from the problem document.
    outcome: str
    reason: str
    # The stream ended with [DONE].
    done: bool

    def is_complete(self) -> bool:
        """Return whether it is the complete answer to its own prompt, each token once."""
        expected = answer_of(MODEL, [ChatMessage(role="user", content=self.prompt)])
        return self.done and self.outcome == "completed" and self.text == expected.text()


class ChatCallers:
    """Callers that send chat requests and read the streamed answers."""

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
        """Send a request and wait until its answer has ended."""
        return self.send(prompt, instance=instance, customer=customer).result(CALL_TIMEOUT_S)


def _stream(address: str, prompt: str, customer: str, headers: Mapping[str, str]) -> Chat:
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    body = {"model": MODEL, "messages": [{"role": "user", "content": prompt}], "stream": True}
    all_headers = {
        "Authorization": f"Bearer {token_of(customer)}",
        "Content-Type": "application/json",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    try:
        conn.request("POST", "/v1/chat/completions", orjson.dumps(body), all_headers)
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
            _add_data(chat, line[len(DATA) :], is_outcome)
        is_outcome = line == OUTCOME_EVENT
    return chat


def _add_data(chat: Chat, data: str, is_outcome: bool) -> None:
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
    """Return the number of records of each request."""
    return Counter(record["request_id"] for record in records)


@contextmanager
def chat_callers(
    deployment: Deployment, directory: Path, **options: float
) -> Iterator[ChatCallers]:
    """Run a cluster whose servers are behind the proxy, with callers."""
    cluster = FaultCluster(deployment, directory, **options)
    with ThreadPoolExecutor(64) as pool, cluster:
        cluster.wait_all_live()
        yield ChatCallers(cluster, pool)
