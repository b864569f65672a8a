"""A demo of the whole system: callers, entry instances, backend servers and the platform's log.

`make demo` starts a deployment with stand-ins, sends some requests with different outcomes, prints
the answers and the operators' view, and exits with 0 if all outcomes are as expected. With `--keep`
the processes run until Ctrl-C.
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
    """One request of the demo and its expected outcome."""

    title: str
    method: str
    path: str
    customer: str
    outcome: str
    body: Mapping[str, object] | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request."""

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
    """Send a call and read its complete answer."""
    host, _, port = address.rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    try:
        headers = {"Authorization": f"Bearer {token_of(call.customer)}", **call.headers}
        body = orjson.dumps(call.body) if call.body is not None else None
        conn.request(call.method, call.path, body, headers)
        response = conn.getresponse()
        text = response.read().decode()
        # A streamed answer has its outcome in the last event, since its head is sent earlier.
        outcome = _streamed_outcome(text) or response.getheader("Turmericweir-Outcome") or ""
        request_id = response.getheader("Turmericweir-Request-Id") or ""
        return Answer(response.status, outcome, request_id, text)
    finally:
        conn.close()


def _streamed_outcome(text: str) -> str:
    _, separator, rest = text.partition("event: turmericweir.outcome\ndata: ")
    return str(orjson.loads(rest.partition("\n")[0])["outcome"]) if separator else ""


def _show(call: Call, instance: Instance, answer: Answer) -> bool:
    is_expected = answer.outcome == call.outcome
    mark = "ok " if is_expected else "BAD"
    first = answer.text.replace("\n", " ")[:90]
    click.echo(f"{mark} {call.title} via {instance.name}")
    click.echo(f"    {call.method} {call.path} -> {answer.status} {answer.outcome}")
    click.echo(f"    {answer.request_id}  {first}")
    return is_expected


def _has_all_reports(cluster: Cluster, entry: Instance) -> bool:
    """Return whether an instance has the settings status of every data centre."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    answer = call_json(entry.admin_address, "GET", "/settings/inforce?offset=0", headers=headers)
    reporting_centres = {
        each["data_centre"] for each in answer.body["data_centres"] if _is_in_force(each)
    }
    return reporting_centres == set(cluster.deployment.data_centres)


def _is_in_force(centre: Mapping[str, object]) -> bool:
    return centre["reach"] == "in_force"


def _show_operators_view(cluster: Cluster) -> None:
    entry = next(iter(cluster.instances.values()))
    # The list of instances lags; right after the start the operators' view is incomplete.
    wait_until(lambda: _has_all_reports(cluster, entry), "all data centres report their settings")
    ctl = ["--admin", entry.admin_address, "--token", OPERATOR_TOKEN]
    for args in (["status"], ["classes"], ["servers"]):
        click.echo(f"\n$ turmericctl {' '.join(args)}")
        argv = [sys.executable, "-m", "turmericctl.main", *ctl, *args]
        subprocess.run(argv, check=True, timeout=CALL_TIMEOUT_S)


def _show_addresses(cluster: Cluster) -> None:
    click.echo("\naddresses")
    for instance in cluster.instances.values():
        click.echo(f"  {instance.name}: callers {instance.address}, admin {instance.admin_address}")
    click.echo(f"  platform: {cluster.platform.address}")
    click.echo(f"  customer token: {token_of('till-north')}, operator token: {OPERATOR_TOKEN}")


def run(cluster: Cluster) -> bool:
    """Send all calls through the instances in turn; return whether all outcomes are expected."""
    instances = list(cluster.instances.values())
    all_expected = True
    for number, call in enumerate(CALLS):
        instance = instances[number % len(instances)]
        all_expected &= _show(call, instance, send(instance.address, call))
    _show_operators_view(cluster)
    _show_addresses(cluster)
    return all_expected


@click.command()
@click.option("--keep", is_flag=True, help="Leave everything running until Ctrl-C.")
def main(keep: bool) -> None:
    """Start a small deployment, send requests through it and show every outcome."""
    # Prevents child processes that keep running when the demo gets SIGTERM.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix="turmericweir-demo-") as directory:
        click.echo(f"starting {DEMO.name}: {DEMO.instances} instances")
        with Cluster(DEMO, Path(directory)) as cluster:
            all_expected = run(cluster)
            if keep:
                click.echo("\nrunning; Ctrl-C ends it")
                with contextlib.suppress(KeyboardInterrupt):
                    signal.pause()
    sys.exit(0 if all_expected else 1)


if __name__ == "__main__":
    main()
