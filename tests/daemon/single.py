"""One entry instance before a few backend servers, for the tests of the daemon itself."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import sys
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

from turmericweir_standins.deployment import (
    OPERATOR,
    OPERATOR_TOKEN,
    BackendGroup,
    Cluster,
    Deployment,
    Listed,
    digest,
    token_of,
)
from turmericweir_standins.procs import Process, call_json, free_address, wait_until
from turmericweir_standins.record import read_records

CUSTOMER: Final = "shop-1"
STRANGER: Final = "shop-2"
MODEL: Final = "lm"
SERVICE: Final = "shop"
# For sockets only; a test that reaches it has failed.
SAFETY_S: Final = 20.0

RULES: Final = (
    {"method": "POST", "path_prefix": "/reserve", "repeatable": False},
    {"method": "POST", "path_prefix": "/check", "repeatable": True},
)


def deployment(engines: int = 1, services: int = 1, policy: str = "counts") -> Deployment:
    """Describe backend servers in one data centre; the entry instance is started apart."""
    return Deployment(
        name="single",
        region="home",
        data_centres=("dc-1",),
        instances=0,
        groups=(
            BackendGroup(MODEL, "model", engines, 8, models=(MODEL,)),
            BackendGroup(SERVICE, "plain", services, 8, rules=RULES),
        ),
        classes={
            "quick": {"priority": 0, "first_token_target_ms": 590, "default_deadline_ms": 20000}
        },
        customers={CUSTOMER: {"*": "quick"}, STRANGER: {"*": "quick"}},
        policy=policy,
    )


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer to a caller."""

    status: int
    # Names in lower case.
    headers: dict[str, str]
    body: bytes

    # Any: what is in the JSON differs by path.
    def json(self) -> Any:
        """Decode the body."""
        return json.loads(self.body)


class Single:
    """A cluster's servers and one entry instance with settings of the test's own."""

    cluster: Cluster
    process: Process
    address: str
    admin_address: str

    def __init__(
        self,
        directory: Path,
        described: Deployment | None = None,
        *,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        self._directory = directory
        self._settings = dict(settings or {})
        self.cluster = Cluster(described or deployment(), directory)
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        with self._stack:
            self._stack.enter_context(self.cluster)
            self.address = free_address()
            self.admin_address = free_address()
            self.process = self._make_process()
            self._stack.enter_context(self.process)
            wait_until(self.ready, "the instance is ready")
            self._stack = self._stack.pop_all()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    def _make_process(self) -> Process:
        value = {
            "name": "entry-1",
            "data_centre": "dc-1",
            "region": "home",
            "caller_address": self.address,
            "admin_address": self.admin_address,
            "admin_tokens": [{"name": OPERATOR, "token_sha256": digest(OPERATOR_TOKEN)}],
            "peer_address": free_address(),
            "platform": {"address": self.cluster.platform.address},
            "stop_grace_s": 0.2,
            "seed": 1,
            **self._settings,
        }
        path = self._directory / "entry-1.json"
        path.write_text(json.dumps(value))
        return daemon(path, self._directory)

    def ready(self) -> bool:
        """Tell whether it says that it is ready."""
        return call_json(self.admin_address, "GET", "/readyz").status == 200

    def wait_server(self, name: str) -> None:
        """Wait until the instance knows a backend server."""
        wait_until(lambda: name in self.state()["servers"]["by_name"], f"{name} is known")

    # Any: the dump is whatever the state of the daemon is.
    def state(self) -> Any:
        """Fetch the state dump."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return call_json(self.admin_address, "GET", "/state", headers=headers).body

    def list_raw(self, name: str, kind: str, service: str, address: str) -> None:
        """Put a server of the test's own into the list and wait until the instance knows it."""
        self.cluster.list_process(Listed(name, kind, service, "dc-1", address))
        self.wait_server(name)

    def wait_report(self, name: str) -> None:
        """Wait until the instance has a load report of a backend server."""
        wait_until(
            lambda: self.state()["servers"]["by_name"][name]["report"] is not None,
            f"{name} has reported",
        )

    def records(self, name: str, event: str) -> list[dict[str, Any]]:
        """Read what a backend server noted of one kind."""
        records = read_records(self.cluster.record_path(name))
        return [each for each in records if each["event"] == event]

    # Calls.

    def open(
        self,
        method: str,
        path: str,
        body: bytes | str | None = None,
        *,
        customer: str | None = CUSTOMER,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        """Send a request and read the head of its answer."""
        conn = http.client.HTTPConnection(self.address, timeout=SAFETY_S)
        sent = dict(headers or {})
        if customer is not None:
            sent["Authorization"] = f"Bearer {token_of(customer)}"
        conn.request(method, path, body, sent)
        return conn, conn.getresponse()

    def call(
        self,
        method: str,
        path: str,
        body: bytes | str | None = None,
        *,
        customer: str | None = CUSTOMER,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Make a whole call."""
        conn, response = self.open(method, path, body, customer=customer, headers=headers)
        with contextlib.closing(conn):
            named = {name.lower(): value for name, value in response.getheaders()}
            return Reply(response.status, named, response.read())

    def complete(self, content: str, max_tokens: int, *, stream: bool) -> Reply:
        """Ask for a completion."""
        return self.call("POST", "/v1/chat/completions", completion(content, max_tokens, stream))


def completion(content: str, max_tokens: int, stream: bool) -> str:
    """Write the body of a completion request."""
    value = {
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return json.dumps(value)


def daemon(path: Path, directory: Path) -> Process:
    """Give the daemon's process, not yet started."""
    argv = [sys.executable, "-m", "turmericweir.main", "--config", str(path)]
    return Process(argv, name="entry-1", directory=directory)


# --- reading streams ---------------------------------------------------------------------------


def events_of(body: bytes) -> list[bytes]:
    """Split a stream into its events; what has no end at the end is no event."""
    return body.split(b"\n\n")[:-1]


def texts_of(body: bytes) -> list[str]:
    """Give the texts of the tokens of a stream."""
    texts = []
    for event in events_of(body):
        if event.startswith(b"data: {"):
            chunk = json.loads(event.removeprefix(b"data: "))
            texts.append(chunk["choices"][0]["delta"]["content"])
    return texts


# Any: the fields of the outcome event.
def outcome_of(body: bytes) -> Any:
    """Give the fields of the one outcome event of a stream."""
    prefix = b"event: turmericweir.outcome\ndata: "
    found = [each for each in events_of(body) if each.startswith(prefix)]
    assert len(found) == 1, body
    return json.loads(found[0].removeprefix(prefix))


# --- backend servers of a test's own -------------------------------------------------------------

LOAD: Final = {
    "name": "raw",
    "incarnation": "1",
    "seq": 1,
    "running": 0,
    "waiting": 0,
    "slots": 8,
    "limit": 8,
    "leaving": False,
}


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as it came over the wire."""

    line: str
    # Names in lower case.
    headers: dict[str, str]
    body: bytes


class RawServer:
    """Answers load probes, and anything else with whatever bytes the test gives; then it closes."""

    address: str
    # What came besides load probes.
    requests: list[RawRequest]

    def __init__(self, answer: Callable[[RawRequest], bytes], model: str = MODEL) -> None:
        self._answer = answer
        # What it says that it has loaded.
        self._model = model
        self.requests = []
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        # A close alone would leave the thread in its accept.
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        self._thread.join(SAFETY_S)

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._handle, args=(conn,), daemon=True).start()

    def _handle(self, conn: socket.socket) -> None:
        conn.settimeout(SAFETY_S)
        with conn, conn.makefile("rb") as file:
            line = file.readline().decode().strip()
            headers = {}
            while (each := file.readline().decode().strip()) != "":
                name, _, value = each.partition(":")
                headers[name.lower()] = value.strip()
            body = file.read(int(headers.get("content-length", "0")))
            conn.sendall(self._answer_to(RawRequest(line, headers, body)))

    def _answer_to(self, request: RawRequest) -> bytes:
        if request.line.startswith("GET /v1/load "):
            body = json.dumps({**LOAD, "models": [self._model]}).encode()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.requests.append(request)
        return self._answer(request)
