"""Measure the cost of control traffic: `make measure-control`.

It starts 2 to 64 real daemons with a platform and a few engines and measures, without load, the
control traffic of each daemon (`turmericweir.traffic` in its state dump) and its processor time and
memory from /proc. Then it changes a setting several times and reads from the daemons' logs when the
change was in force: first while all instances reach the log, then while only one does and the
others get the change from their peers. For one number of instances it also measures the latency of
claims.

Each row of `build/control.json` has the figures of the worst instance. `bytes_s` is the sum of sent
and received bytes, with headers of HTTP but without those of IP, TCP and UDP; `split` has it by
kind, and `messages_s` the numbers of datagrams for adding these headers. With load, `core_share`
includes the work on callers' requests; only the idle rows show the cost of control. CI does not
run it.
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
# Time after the start until only steady traffic remains.
SETTLE_S: Final = 15.0
WINDOW_S: Final = 25.0
CHANGES: Final = 3
EVENT_TIMEOUT_S: Final = 60.0
LOAD_REQUESTS_PER_S: Final = 20.0
# The number of instances with which the latency of claims is measured.
CLAIM_INSTANCES: Final = 8
CLAIM_CALLS_S: Final = 5.0
CLAIM_WINDOW_S: Final = 20.0
_MIB_BYTES: Final = 1_048_576
_PAGE_BYTES: Final = 4096


@dataclass(frozen=True, slots=True)
class Usage:
    """The resources that one instance uses per second."""

    bytes_s: float
    core_share: float
    rss_mb: float
    split: dict[str, float]
    messages_s: dict[str, float]
    # Bytes and frames by the type of the message.
    by_message: dict[str, tuple[float, float]]


def deployment(instances: int, data_centres: int) -> Deployment:
    """Return a deployment with a few engines and plain servers."""
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
    """Measure a cluster without and with load; return one row for each."""
    with Cluster(deployment(instances, data_centres), directory) as cluster:
        _wait_all_live(cluster)
        time.sleep(SETTLE_S)
        rows = []
        for load in ("idle", "light"):
            usage = (
                _measure_idle_usage(cluster) if load == "idle" else _measure_loaded_usage(cluster)
            )
            log_delays_s = _measure_in_force_delays(cluster, load, outage=False)
            peer_delays_s = _measure_in_force_delays(cluster, load, outage=True)
            rows.append(_row(cluster, data_centres, load, usage, log_delays_s, peer_delays_s))
        if instances == CLAIM_INSTANCES:
            rows[-1]["claim_ms_p50"] = claim_ms_p50(cluster, CLAIM_CALLS_S, CLAIM_WINDOW_S)
        # All in parallel: each one delays its end for the load balancer.
        for instance in cluster.instances.values():
            instance.process.terminate()
        return rows


def _row(
    cluster: Cluster,
    data_centres: int,
    load: str,
    usage: tuple[list[Usage], float],
    log_delays_s: list[float],
    peer_delays_s: list[float],
) -> dict[str, Any]:
    usages, machine_share = usage
    worst = max(usages, key=lambda it: it.bytes_s)
    return {
        "instances": len(cluster.instances),
        "data_centres": data_centres,
        "load": load,
        "bytes_s": round(worst.bytes_s),
        "bytes_s_median": round(statistics.median(it.bytes_s for it in usages)),
        "core_share": round(max(it.core_share for it in usages), 4),
        "core_share_median": round(statistics.median(it.core_share for it in usages), 4),
        "rss_mb": round(max(it.rss_mb for it in usages), 1),
        "in_force_s_median": round(statistics.median(log_delays_s), 3),
        "in_force_s_worst": round(max(log_delays_s), 3),
        "in_force_by_peers_s_median": round(statistics.median(peer_delays_s), 3),
        "in_force_by_peers_s_worst": round(max(peer_delays_s), 3),
        # Set for one number of instances; `measure_claims` measures more cases.
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


def _wait_all_live(cluster: Cluster) -> None:
    names = set(cluster.instances)
    for instance in cluster.instances.values():
        wait_until(
            partial(_lists_all_live, instance, names),
            f"{instance.name} lists all as live",
            EVENT_TIMEOUT_S,
        )


def _lists_all_live(instance: Instance, names: set[str]) -> bool:
    return set(instance.state()["process"]["live_instances"]) == names


# --- bytes, processor time, memory ---------------------------------------------------------------


def _measure_idle_usage(cluster: Cluster) -> tuple[list[Usage], float]:
    return _measure_usage(cluster)


def _measure_loaded_usage(cluster: Cluster) -> tuple[list[Usage], float]:
    """Measure while callers send requests to all instances in turn."""
    with _callers(cluster) as callers:
        time.sleep(SETTLE_S / 5)
        usage = _measure_usage(cluster)
        callers.wait(EVENT_TIMEOUT_S)
    return usage


def _measure_usage(cluster: Cluster) -> tuple[list[Usage], float]:
    # The state dump costs processor time and is read outside of the measured interval.
    before = {name: _traffic(it.state()) for name, it in cluster.instances.items()}
    started_at = time.monotonic()
    cpu_before = {name: process_cpu_s(it.process.pid) for name, it in cluster.instances.items()}
    busy_before = machine_busy_s()
    time.sleep(WINDOW_S)
    seconds = time.monotonic() - started_at
    cpu_after = {name: process_cpu_s(it.process.pid) for name, it in cluster.instances.items()}
    busy = machine_busy_s() - busy_before
    usages = []
    for name, instance in cluster.instances.items():
        cpu_s = cpu_after[name] - cpu_before[name]
        usages.append(
            _usage_between(
                before[name], _traffic(instance.state()), cpu_s / seconds, instance.process
            )
        )
    return usages, busy / seconds


@dataclass(frozen=True, slots=True)
class TrafficCounters:
    """The traffic counters of an instance at one time."""

    counted_at: float
    size: dict[str, int]
    messages: dict[str, int]
    # Bytes and frames.
    by_message: dict[str, tuple[int, int]]


# Any: a state dump.
def _traffic(state: Any) -> TrafficCounters:
    kinds = dict(state["process"]["traffic"])
    by_message = {name: _both_ways(it) for name, it in kinds.pop("by_message").items()}
    counts = {name: _both_ways(it) for name, it in kinds.items()}
    size = {name: size for name, (size, _) in counts.items()}
    messages = {name: count for name, (_, count) in counts.items()}
    return TrafficCounters(time.monotonic(), size, messages, by_message)


def _both_ways(kind: Any) -> tuple[int, int]:
    sent, received = kind["sent"], kind["received"]
    return sent["bytes"] + received["bytes"], sent["messages"] + received["messages"]


def _usage_between(
    before: TrafficCounters, after: TrafficCounters, core_share: float, process: Process
) -> Usage:
    seconds = after.counted_at - before.counted_at
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
    return pages * _PAGE_BYTES / _MIB_BYTES


def _callers(cluster: Cluster) -> Process:
    workload = {
        "duration_s": SETTLE_S / 5 + WINDOW_S + 5.0,
        "traffic": [
            {
                "name": "fitting",
                "kind": "model",
                "rate": LOAD_REQUESTS_PER_S,
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


def _measure_in_force_delays(cluster: Cluster, load: str, *, outage: bool) -> list[float]:
    """Change a setting several times; return the delay of each change on each instance."""
    names = list(cluster.instances)
    unreachable_names = names[1:] if outage else []
    call_json(
        cluster.platform.address, "POST", "/_standin/behaviour", {"cut_from": unreachable_names}
    )
    delays: list[float] = []
    for number in range(CHANGES):
        change_id = f"measure-{load}-{int(outage)}-{number}"
        value = {"priority": 4, "first_token_target_ms": 20000}
        record = settings_record(f"/classes/{change_id}", value, change_id)
        call_json(cluster.platform.address, "POST", "/log/settings/append", {"records": [record]})
        appended_at = time.time()
        delays += [_in_force_at(cluster, name, change_id) - appended_at for name in names]
    call_json(cluster.platform.address, "POST", "/_standin/behaviour", {"cut_from": []})
    return [max(0.0, delay) for delay in delays]


def _in_force_at(cluster: Cluster, name: str, change_id: str) -> float:
    """Return when an instance logged that a change is in force."""
    process = cluster.instances[name].process
    wait_until(lambda: bool(_lines(process, change_id)), f"{name} has {change_id}", EVENT_TIMEOUT_S)
    log_fields = dict(
        word.split("=", 1) for word in _lines(process, change_id)[0].split() if "=" in word
    )
    return datetime.fromisoformat(log_fields["time"]).timestamp()


def _lines(process: Process, change_id: str) -> list[str]:
    text = process.stderr_text()
    return [line for line in text.splitlines() if f"change_id={change_id}" in line]


# --- the program ---------------------------------------------------------------------------------


def write_rows(rows: Sequence[dict[str, Any]], out: Path) -> None:
    """Write all rows to the file."""
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(list(rows), indent=1) + "\n", encoding="utf-8")


@click.command()
@click.option("--out", type=click.Path(path_type=Path), default=OUT, help="File for the rows.")
@click.option(
    "--run",
    "runs",
    type=(int, int),
    multiple=True,
    help="Instances and data centres; may be repeated.",
)
def main(out: Path, runs: tuple[tuple[int, int], ...]) -> None:
    """Measure the cost of control with several numbers of instances."""
    rows: list[dict[str, Any]] = []
    for instances, data_centres in runs or RUNS:
        with TemporaryDirectory(prefix="control-") as directory:
            rows += measure(instances, data_centres, Path(directory))
        for row in rows[-2:]:
            click.echo(json.dumps(row))
        write_rows(rows, out)


if __name__ == "__main__":
    main()
