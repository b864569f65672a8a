"""Show the whole path: callers, entry instances, backend servers and the platform's log.

`make demo` starts one of today's deployments with small stand-ins, sends a handful of requests that
end in each of the ways a caller meets, prints what came back and what operators see, and exits 0 if
every request ended as it should. With `--keep` everything stays up until Ctrl-C.
"""

from __future__ import annotations

import contextlib
import dataclasses
import signal
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from http.client import HTTPConnection
from pathlib import Path
from typing import Final

import click
import orjson

from turmericweir_standins.deployment import (
    OPERATOR_TOKEN,
    STITCHLINE,
    Cluster,
    Instance,
    token_of,
)
from turmericweir_standins.procs import call_json, wait_until

DEMO: Final = dataclasses.replace(STITCHLINE, instances=4)
CALL_TIMEOUT_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class Call:
    """One request of the demo and how it is to end."""

    title: str
    method: str
    path: str
    customer: str
    outcome: str
    body: Mapping[str, object] | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Answer:
    """What came back."""

    status: int
    outcome: str
    request_id: str
    text: str


def _chat(text: str, *, stream: bool, model: str = "tailor-lm") -> dict[str, object]:
    messages = [{"role": "user", "content": text}]
    return {"model": model, "messages": messages, "stream": stream}


_KEY: Final = {"Idempotency-Key": "till-4-0017"}

CALLS: Final = (
    Call(
        "fitting question, streamed",
        "POST",
        "/v1/chat/completions",
        "till-north",
        "completed",
        _chat("Which blazer fits a chest of 82 cm? [len=24]", stream=True),
    ),
    Call(
        "bulk quote, whole",
        "POST",
        "/v1/chat/completions",
        "bursar-a",
        "completed",
        _chat("Quote 400 shirts and 380 ties. [len=60]", stream=False),
    ),
    Call("stock check", "GET", "/services/counter-api/stock/8", "till-north", "completed"),
    Call(
        "reservation with a key",
        "POST",
        "/services/counter-api/reserve",
        "till-north",
        "completed",
        {"size": 8},
        _KEY,
    ),
    Call(
        "the same reservation again, elsewhere",
        "POST",
        "/services/counter-api/reserve",
        "till-north",
        "completed",
        {"size": 8},
        _KEY,
    ),
    Call(
        "unknown model",
        "POST",
        "/v1/chat/completions",
        "till-north",
        "not_run",
        _chat("hello", stream=False, model="no-such-model"),
    ),
    Call("unknown customer", "GET", "/services/counter-api/stock/8", "nobody", "not_run"),
)


def send(address: str, call: Call) -> Answer:
    """Send a call and read its whole answer."""
    host, _, port = address.rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    try:
        headers = {"Authorization": f"Bearer {token_of(call.customer)}", **call.headers}
        body = orjson.dumps(call.body) if call.body is not None else None
        conn.request(call.method, call.path, body, headers)
        response = conn.getresponse()
        text = response.read().decode()
        # A streamed answer tells its outcome at its end, since its head is sent before.
        outcome = _streamed_outcome(text) or response.getheader("Turmericweir-Outcome") or ""
        request_id = response.getheader("Turmericweir-Request-Id") or ""
        return Answer(response.status, outcome, request_id, text)
    finally:
        conn.close()


def _streamed_outcome(text: str) -> str:
    _, found, rest = text.partition("event: turmericweir.outcome\ndata: ")
    return str(orjson.loads(rest.partition("\n")[0])["outcome"]) if found else ""


def _show(call: Call, instance: Instance, answer: Answer) -> bool:
    good = answer.outcome == call.outcome
    mark = "ok " if good else "BAD"
    first = answer.text.replace("\n", " ")[:90]
    click.echo(f"{mark} {call.title} via {instance.name}")
    click.echo(f"    {call.method} {call.path} -> {answer.status} {answer.outcome}")
    click.echo(f"    {answer.request_id}  {first}")
    return good


def _have_met(cluster: Cluster, entry: Instance) -> bool:
    """Tell whether an instance has heard from every data centre."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    answer = call_json(entry.admin_address, "GET", "/settings/inforce?offset=0", headers=headers)
    heard = {each["data_centre"] for each in answer.body["data_centres"] if _in_force(each)}
    return heard == set(cluster.deployment.data_centres)


def _in_force(centre: Mapping[str, object]) -> bool:
    return centre["reach"] == "in_force"


def _operators_view(cluster: Cluster) -> None:
    entry = next(iter(cluster.instances.values()))
    # The list of instances lags, so what operators see right after the start says little.
    wait_until(lambda: _have_met(cluster, entry), "the instances have met")
    ctl = ["--admin", entry.admin_address, "--token", OPERATOR_TOKEN]
    for words in (["status"], ["classes"], ["servers"]):
        click.echo(f"\n$ turmericctl {' '.join(words)}")
        argv = [sys.executable, "-m", "turmericctl.main", *ctl, *words]
        subprocess.run(argv, check=True, timeout=CALL_TIMEOUT_S)


def _addresses(cluster: Cluster) -> None:
    click.echo("\naddresses")
    for instance in cluster.instances.values():
        click.echo(f"  {instance.name}: callers {instance.address}, admin {instance.admin_address}")
    click.echo(f"  platform: {cluster.platform.address}")
    click.echo(f"  customer token: {token_of('till-north')}, operator token: {OPERATOR_TOKEN}")


def run(cluster: Cluster) -> bool:
    """Send every call through the instances in turn; tell whether all ended as they should."""
    instances = list(cluster.instances.values())
    good = True
    for number, call in enumerate(CALLS):
        instance = instances[number % len(instances)]
        good &= _show(call, instance, send(instance.address, call))
    _operators_view(cluster)
    _addresses(cluster)
    return good


@click.command()
@click.option("--keep", is_flag=True, help="Leave everything running until Ctrl-C.")
def main(keep: bool) -> None:
    """Start a small deployment, send requests through it and show every outcome."""
    # Without this, ending the demo by its process id would leave all that it started running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix="turmericweir-demo-") as directory:
        click.echo(f"starting {DEMO.name}: {DEMO.instances} instances")
        with Cluster(DEMO, Path(directory)) as cluster:
            good = run(cluster)
            if keep:
                click.echo("\nrunning; Ctrl-C ends it")
                with contextlib.suppress(KeyboardInterrupt):
                    signal.pause()
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
