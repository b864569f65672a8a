"""Measure what callers get while some instances are cut off from all servers.

`python -m tests.platform.measure_cuts --instances 3 --cut 1 --how hang` prints, for the first three
seconds of a cut and for the rest, how many first attempts were served at the cut instances and at
the others, by kind. It is a measurement, not a test.
"""

from __future__ import annotations

import argparse
import http.client
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from tests.platform.cut_world import CUTS, CutWorld
from tests.platform.platform_world import Answer, until

KINDS = ("look", "buy", "chat", "doc")
# Requests per second at each instance, by kind.
RATE_S = 4.0
DEADLINE_MS = "2000"
EARLY_S = 3.0


@dataclass(slots=True)
class Sent:
    """A request and whether it was served."""

    instance: str
    kind: str
    sent_at: float
    is_served: bool
    request_id: str
    took_s: float


def _send(world: CutWorld, instance: str, kind: str, results: list[Sent]) -> None:
    request_id = world.new_id()
    sent_at = time.monotonic()
    fields: dict[str, Any] = {
        "instance": instance,
        "request_id": request_id,
        "X_Deadline_Ms": DEADLINE_MS,
    }
    answer: Answer | None = None
    try:
        match kind:
            case "look":
                answer = world.send_safe(**fields)
            case "buy":
                answer = world.send_unsafe(**fields)
            case _:
                answer = world.send(f"/lm/{kind}/", **fields)
    except (OSError, http.client.HTTPException):
        pass
    is_served = answer is not None and answer.status == 200 and not answer.is_cut
    results.append(Sent(instance, kind, sent_at, is_served, request_id, time.monotonic() - sent_at))


def _load(
    world: CutWorld, instance: str, kind: str, results: list[Sent], stop: threading.Event
) -> None:
    while not stop.wait(1.0 / RATE_S):
        threading.Thread(target=_send, args=(world, instance, kind, results)).start()


def _summary(results: list[Sent], names: set[str], start: float, end: float) -> str:
    chosen = [each for each in results if each.instance in names and start <= each.sent_at < end]
    served = Counter(each.kind for each in chosen if each.is_served)
    sent = Counter(each.kind for each in chosen)
    kinds = ", ".join(f"{kind} {served[kind]}/{sent[kind]}" for kind in KINDS)
    times = sorted(each.took_s for each in chosen if each.is_served)
    median_ms = round(1000 * times[len(times) // 2]) if times else 0
    return f"{sum(served.values())} of {sum(sent.values())} ({kinds}; median {median_ms} ms)"


def measure(instances: int, cut: int, how: str, seconds: float) -> None:
    """Run one measurement and print its figures."""
    directory = Path(tempfile.mkdtemp(prefix="cuts-"))
    with CutWorld(
        directory,
        engines=3,
        plain_servers=3,
        instances=instances,
        data_centres=3,
        bounds={"revoke_ms": 60_000},
    ) as world:
        for server in world.servers.values():
            server.event_interval_s = 0.02
        names = sorted(world.running)
        until(
            partial(_all_know_each_other, world, names),
            "the instances know each other",
        )
        results: list[Sent] = []
        stop = threading.Event()
        loads = [
            threading.Thread(target=_load, args=(world, name, kind, results, stop))
            for name in names
            for kind in KINDS
        ]
        for each in loads:
            each.start()
        time.sleep(EARLY_S)
        cut_names = set(names[:cut])
        start = time.monotonic()
        for name in cut_names:
            world.cut(name, how)
        time.sleep(seconds)
        end = time.monotonic()
        for name in cut_names:
            world.heal(name)
        time.sleep(EARLY_S)
        stop.set()
        time.sleep(3.0)
        calm_names = set(names) - cut_names
        split = start + EARLY_S
        print(f"{instances} instances, {cut} cut off, {how}")
        for label, first, last in (("first 3 s", start, split), ("then", split, end)):
            print(f"  {label}: cut {_summary(results, cut_names, first, last)}")
            print(f"  {label}: calm {_summary(results, calm_names, first, last)}")
        print(f"  afterwards: {_summary(results, set(names), end, end + EARLY_S)}")
        runs = Counter(each.headers.get("x-attempt-id", "") for each in world.runs())
        unsafe_ids = {each.request_id for each in results if each.kind in ("buy", "doc")}
        print(f"  run twice: {sum(1 for each in unsafe_ids if runs[each] > 1)}")
        for name in names:
            opened = world.running[name].logged("carry_opened")
            if opened:
                most = max(line["carried"] for line in opened)
                print(f"  {name} carried {len(opened)} connections, at most {most} at a time")
        sys.stdout.flush()


def _all_know_each_other(world: CutWorld, names: list[str]) -> bool:
    return all(world.reported_state(name)["live_instances"] == names for name in names)


def main() -> None:
    """Run the measurements given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--cut", type=int, default=1)
    parser.add_argument("--how", choices=CUTS, default=CUTS[0])
    parser.add_argument("--seconds", type=float, default=9.0)
    args = parser.parse_args()
    measure(args.instances, args.cut, args.how, args.seconds)


if __name__ == "__main__":
    main()
