"""Measure what control costs: `make measure-control`, or `python -m` this module.

It starts 2 to 64 real daemons with a platform and a few engines, leaves them alone for a while, and
takes from each daemon the bytes of its control traffic (`turmericweir.traffic`, in its state dump)
and from /proc its processor time and memory. Then it changes a setting a few times and takes from
the daemons' logs when each of them had the change in force; once with the log in reach of all, and
once with the log in reach of one only, so that the others have it from their peers. At one size it
also times calls of a plain service with and without an idempotency key.

Each row of `build/control.json` holds the figures of the worst instance. `bytes_s` counts what is
sent and received together, with the headers of HTTP but not those of IP, TCP and UDP; `split` has
it by kind, with the number of datagrams, so that those headers can be added. With load,
`core_share` holds the work on callers' requests as well, so only the idle rows say what control
costs. It is not a test, and not run in CI.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import datetime
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Final

import click

from turmericweir_standins.deployment import (
    STITCHLINE,
    BackendGroup,
    Cluster,
    Deployment,
    Instance,
    settings_record,
    token_of,
)
from turmericweir_standins.measure_claims import claim_ms_p50
from turmericweir_standins.proc_stat import machine_busy_s, process_cpu_s
from turmericweir_standins.procs import Process, call_json, wait_until

OUT: Final = Path("build/control.json")
# Instances and data centres of each run.
RUNS: Final = ((2, 1), (8, 1), (16, 1), (32, 1), (64, 1), (64, 4))
DATA_CENTRES: Final = STITCHLINE.data_centres
# What starting leaves behind has gone after so long.
SETTLE_S: Final = 15.0
WINDOW_S: Final = 25.0
CHANGES: Final = 3
SEEN_S: Final = 60.0
LOAD_PER_S: Final = 20.0
# The number of instances at which calls are timed with and without a key, after all else; half of
# the calls to each instance carry one.
CLAIMS_AT: Final = 8
CLAIM_CALLS_S: Final = 5.0
CLAIM_WINDOW_S: Final = 20.0
_MIB: Final = 1_048_576
_PAGE: Final = 4096


@dataclass(frozen=True, slots=True)
class Usage:
    """What one instance used in a second."""

    bytes_s: float
    core_share: float
    rss_mb: float
    split: dict[str, float]
    messages_s: dict[str, float]
    # Bytes and frames of the datagrams and streams, by the type of the message.
    by_message: dict[str, tuple[float, float]]


def deployment(instances: int, data_centres: int) -> Deployment:
    """Make a deployment of that size with a few engines and plain servers."""
    groups = (
        BackendGroup("tailor-lm", "model", 4, 16, models=("tailor-lm",)),
        BackendGroup(
            "counter-api",
            "plain",
            2,
            8,
            args=("--latency-ms=5", "--spread=0"),
            rules=STITCHLINE.groups[1].rules,
        ),
    )
    return replace(
        STITCHLINE,
        instances=instances,
        data_centres=DATA_CENTRES[:data_centres],
        groups=groups,
    )


# --- one run -------------------------------------------------------------------------------------


def measure(instances: int, data_centres: int, directory: Path) -> list[dict[str, Any]]:
    """Measure a cluster of one size, idle and with load."""
    with Cluster(deployment(instances, data_centres), directory) as cluster:
        _wait_met(cluster)
        time.sleep(SETTLE_S)
        rows = []
        for load in ("idle", "light"):
            usage = _usage_idle(cluster) if load == "idle" else _usage_loaded(cluster)
            reached = _in_force(cluster, load, outage=False)
            by_peers = _in_force(cluster, load, outage=True)
            rows.append(_row(cluster, data_centres, load, usage, reached, by_peers))
        if instances == CLAIMS_AT:
            rows[-1]["claim_ms_p50"] = claim_ms_p50(cluster, CLAIM_CALLS_S, CLAIM_WINDOW_S)
        # All at once: each waits for the balancer before it ends.
        for instance in cluster.instances.values():
            instance.process.terminate()
        return rows


def _row(
    cluster: Cluster,
    data_centres: int,
    load: str,
    usage: tuple[list[Usage], float],
    reached: list[float],
    by_peers: list[float],
) -> dict[str, Any]:
    used, machine_share = usage
    worst = max(used, key=lambda it: it.bytes_s)
    return {
        "instances": len(cluster.instances),
        "data_centres": data_centres,
        "load": load,
        "bytes_s": round(worst.bytes_s),
        "bytes_s_median": round(statistics.median(it.bytes_s for it in used)),
        "core_share": round(max(it.core_share for it in used), 4),
        "core_share_median": round(statistics.median(it.core_share for it in used), 4),
        "rss_mb": round(max(it.rss_mb for it in used), 1),
        "in_force_s_median": round(statistics.median(reached), 3),
        "in_force_s_worst": round(max(reached), 3),
        "in_force_by_peers_s_median": round(statistics.median(by_peers), 3),
        "in_force_by_peers_s_worst": round(max(by_peers), 3),
        # Filled in at one size; figures by load and by the delay of the log: `measure_claims`.
        "claim_ms_p50": None,
        "split": {name: round(value) for name, value in worst.split.items()},
        "messages_s": {name: round(value, 2) for name, value in worst.messages_s.items()},
        "by_message": {
            name: {"bytes_s": round(size), "frames_s": round(count, 2)}
            for name, (size, count) in worst.by_message.items()
            if count
        },
        "machine_share": round(machine_share, 3),
    }


def _wait_met(cluster: Cluster) -> None:
    names = set(cluster.instances)
    for instance in cluster.instances.values():
        wait_until(partial(_has_met, instance, names), f"{instance.name} has met all", SEEN_S)


def _has_met(instance: Instance, names: set[str]) -> bool:
    return set(instance.state()["process"]["live_instances"]) == names


# --- bytes, processor time, memory ---------------------------------------------------------------


def _usage_idle(cluster: Cluster) -> tuple[list[Usage], float]:
    return _usage(cluster)


def _usage_loaded(cluster: Cluster) -> tuple[list[Usage], float]:
    """Measure while callers send a few requests a second to all instances in turn."""
    with _callers(cluster) as callers:
        time.sleep(SETTLE_S / 5)
        usage = _usage(cluster)
        callers.wait(SEEN_S)
    return usage


def _usage(cluster: Cluster) -> tuple[list[Usage], float]:
    # The dump itself costs processor time, so it is taken outside of what that is measured over.
    before = {name: _traffic(it.state()) for name, it in cluster.instances.items()}
    begun_at = time.monotonic()
    cpu_before = {name: process_cpu_s(it.process.pid) for name, it in cluster.instances.items()}
    busy_before = machine_busy_s()
    time.sleep(WINDOW_S)
    seconds = time.monotonic() - begun_at
    cpu_after = {name: process_cpu_s(it.process.pid) for name, it in cluster.instances.items()}
    busy = machine_busy_s() - busy_before
    used = []
    for name, instance in cluster.instances.items():
        cpu_s = cpu_after[name] - cpu_before[name]
        used.append(
            _used(before[name], _traffic(instance.state()), cpu_s / seconds, instance.process)
        )
    return used, busy / seconds


@dataclass(frozen=True, slots=True)
class Counted:
    """The traffic of an instance up to some moment."""

    at: float
    size: dict[str, int]
    messages: dict[str, int]
    # Bytes and frames.
    by_message: dict[str, tuple[int, int]]


# Any: a state dump.
def _traffic(state: Any) -> Counted:
    kinds = dict(state["process"]["traffic"])
    by_message = {name: _both_ways(it) for name, it in kinds.pop("by_message").items()}
    counted = {name: _both_ways(it) for name, it in kinds.items()}
    size = {name: size for name, (size, _) in counted.items()}
    messages = {name: count for name, (_, count) in counted.items()}
    return Counted(time.monotonic(), size, messages, by_message)


def _both_ways(kind: Any) -> tuple[int, int]:
    sent, received = kind["sent"], kind["received"]
    return sent["bytes"] + received["bytes"], sent["messages"] + received["messages"]


def _used(before: Counted, after: Counted, core_share: float, process: Process) -> Usage:
    seconds = after.at - before.at
    split = {name: (after.size[name] - before.size[name]) / seconds for name in after.size}
    messages = {
        name: (after.messages[name] - before.messages[name]) / seconds for name in after.messages
    }
    control = sum(value for name, value in split.items() if name != "probes")
    by_message = {}
    for name, (size, count) in after.by_message.items():
        size_before, count_before = before.by_message.get(name, (0, 0))
        by_message[name] = ((size - size_before) / seconds, (count - count_before) / seconds)
    return Usage(control, core_share, _rss_mb(process.pid), split, messages, by_message)


def _rss_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return pages * _PAGE / _MIB


def _callers(cluster: Cluster) -> Process:
    workload = {
        "duration_s": SETTLE_S / 5 + WINDOW_S + 5.0,
        "traffic": [
            {
                "name": "fitting",
                "kind": "model",
                "rate": LOAD_PER_S,
                "tokens": [token_of("desk-a"), token_of("desk-b")],
                "model": "tailor-lm",
                "max_tokens": 16,
            }
        ],
    }
    path = cluster.directory / "workload.json"
    path.write_text(json.dumps(workload), encoding="utf-8")
    entries = [f"--entry={it.address}" for it in cluster.instances.values()]
    argv = [
        sys.executable,
        "-m",
        "turmericweir_standins.callers",
        f"--workload={path}",
        *entries,
    ]
    return Process(argv, name="callers", directory=cluster.directory)


# --- settings in force ---------------------------------------------------------------------------


def _in_force(cluster: Cluster, load: str, *, outage: bool) -> list[float]:
    """Change a setting a few times; return the delay on every instance and for every change."""
    names = list(cluster.instances)
    cut = names[1:] if outage else []
    call_json(cluster.platform.address, "POST", "/_standin/behaviour", {"cut_from": cut})
    delays: list[float] = []
    for number in range(CHANGES):
        change_id = f"measure-{load}-{int(outage)}-{number}"
        value = {"priority": 4, "first_token_target_ms": 20000}
        record = settings_record(f"/classes/{change_id}", value, change_id)
        call_json(cluster.platform.address, "POST", "/log/settings/append", {"records": [record]})
        appended_at = time.time()
        delays += [_seen_at(cluster, name, change_id) - appended_at for name in names]
    call_json(cluster.platform.address, "POST", "/_standin/behaviour", {"cut_from": []})
    return [max(0.0, delay) for delay in delays]


def _seen_at(cluster: Cluster, name: str, change_id: str) -> float:
    """Return when an instance logged that a change is in force."""
    process = cluster.instances[name].process
    wait_until(lambda: bool(_lines(process, change_id)), f"{name} has {change_id}", SEEN_S)
    words = dict(
        word.split("=", 1) for word in _lines(process, change_id)[0].split() if "=" in word
    )
    return datetime.fromisoformat(words["time"]).timestamp()


def _lines(process: Process, change_id: str) -> list[str]:
    text = process.stderr_text()
    return [line for line in text.splitlines() if f"change_id={change_id}" in line]


# --- the program ---------------------------------------------------------------------------------


def write_rows(rows: Sequence[dict[str, Any]], out: Path) -> None:
    """Write the rows that there are so far."""
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(list(rows), indent=1) + "\n", encoding="utf-8")


@click.command()
@click.option("--out", type=click.Path(path_type=Path), default=OUT, help="Where the rows go.")
@click.option(
    "--run", "runs", type=(int, int), multiple=True, help="Instances and data centres; repeatable."
)
def main(out: Path, runs: tuple[tuple[int, int], ...]) -> None:
    """Measure the cost of control at several sizes."""
    rows: list[dict[str, Any]] = []
    for instances, data_centres in runs or RUNS:
        with TemporaryDirectory(prefix="control-") as directory:
            rows += measure(instances, data_centres, Path(directory))
        for row in rows[-2:]:
            click.echo(json.dumps(row))
        write_rows(rows, out)


if __name__ == "__main__":
    main()
