"""The random faults of `make soak`: their kinds, injection and removal.

Faults are drawn from a seeded generator, last for some time and may overlap. The downtimes of each
entry address are recorded, since a caller of a killed or long-paused instance can't get an outcome.
"""

from __future__ import annotations

import http.client
import itertools
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from turmericweir_standins.deployment import Instance
from turmericweir_standins.measure_run import MeasuredCluster
from turmericweir_standins.peer_cluster import PeerCluster
from turmericweir_standins.procs import set_behaviour, set_faults, wait_until
from turmericweir_standins.soak_crashing import CrashingCaller
from turmericweir_standins.soak_operators import Operators

# Range of the duration of a fault.
FAULT_MIN_S: Final = 1.0
FAULT_MAX_S: Final = 5.0
# Additional duration of pauses that outlast a credit, which is valid for 9 s.
CREDIT_VALIDITY_S: Final = 9.0
# Multiplies the duration of long outages.
LONG_OUTAGE_FACTOR: Final = 8.0
# A fault that can't be removed within this time ends the run.
REMOVAL_TIMEOUT_S: Final = 30.0
# Number of instances through which a crashing prompt is sent.
CRASHING_SENDS: Final = 3


@dataclass(frozen=True, slots=True)
class Downtime:
    """A period in which no process answered at an entry address."""

    address: str
    started_at: float
    ended_at: float


class SoakCluster(MeasuredCluster, PeerCluster):
    """A cluster with one fault proxy before the servers and another between the instances."""


class FaultInjector:
    """Inject random faults into the processes of a cluster."""

    # Number of faults of each kind, and of faults that overlapped with another one.
    injected: Counter[str]
    overlapped: int
    # Downtimes of entry addresses, by the monotonic clock.
    downtimes: list[Downtime]
    crashing: CrashingCaller
    operators: Operators

    def __init__(self, cluster: SoakCluster, crashing: CrashingCaller, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self.injected = Counter()
        self.overlapped = 0
        self.downtimes = []
        self.crashing = crashing
        self.operators = Operators(cluster)
        self._prompts = itertools.count(1)
        # Number of active faults.
        self._active_count = 0
        # Processes with an active fault; other faults do not use them.
        self._reserved: set[str] = set()
        self._lock = threading.Lock()
        self._kinds: Mapping[str, Callable[[float], None]] = {
            "instance_killed": self._kill_instance,
            "instance_paused": self._pause_instance,
            "instance_paused_long": lambda duration_s: self._pause_instance(
                duration_s + CREDIT_VALIDITY_S
            ),
            "instance_replaced": self._replace_instance,
            "engine_killed": lambda duration_s: self._kill_server("engine", duration_s),
            "service_killed": lambda duration_s: self._kill_server("plain", duration_s),
            "engine_frozen": lambda duration_s: self._change_behaviour(
                "engine", duration_s, frozen=True
            ),
            "engine_slow": lambda duration_s: self._change_behaviour(
                "engine", duration_s, slow_factor=6.0
            ),
            "engine_cuts": lambda duration_s: self._change_behaviour(
                "engine", duration_s, cut_after_tokens=7
            ),
            "engine_refuses": lambda duration_s: self._change_behaviour(
                "engine", duration_s, refuse_start=True
            ),
            "service_drops": lambda duration_s: self._change_behaviour(
                "plain", duration_s, run_then_drop=True
            ),
            "reports_late": lambda duration_s: self._change_behaviour(
                "engine", duration_s, report_frozen=True
            ),
            "request_crashes": lambda _: self._send_crashing(),
            "requests_cut": lambda duration_s: self._cut_server(duration_s, "forward"),
            "answers_cut": lambda duration_s: self._cut_server(duration_s, "backward"),
            "connections_silent": lambda _: self._silence_connections(),
            "peers_silent": lambda _: self._cluster.silence_peer_connections(),
            "instance_hears_nobody": lambda duration_s: self._cut_instance(
                duration_s, is_receiving=False
            ),
            "instance_not_heard": lambda duration_s: self._cut_instance(
                duration_s, is_receiving=True
            ),
            "data_centre_parted": self._partition_random,
            "data_centre_alone": self._isolate,
            "operators_at_once": lambda _: self._change_settings(),
            "log_outage_long": lambda duration_s: self._change_platform(
                duration_s * LONG_OUTAGE_FACTOR, outage=True
            ),
            "log_outage": lambda duration_s: self._change_platform(duration_s, outage=True),
            "log_slow": lambda duration_s: self._change_platform(duration_s, slow_ms=400),
            "acknowledgements_lost": lambda _: self._lose_acknowledgements(),
            "list_down": lambda duration_s: self._change_platform(duration_s, list_down=True),
            "data_centre_cut_off": self._disconnect_random,
        }

    def run(self, seconds: float, every_s: float) -> None:
        """Inject faults for some time, then wait until all are removed."""
        end_at = time.monotonic() + seconds
        threads: list[threading.Thread] = []
        while time.monotonic() < end_at:
            time.sleep(self._rng.uniform(0.5 * every_s, 1.5 * every_s))
            kind = self._rng.choice(sorted(self._kinds))
            duration_s = self._rng.uniform(FAULT_MIN_S, FAULT_MAX_S)
            thread = threading.Thread(target=self._inject, args=(kind, duration_s))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _inject(self, kind: str, duration_s: float) -> None:
        with self._lock:
            self.injected[kind] += 1
            self.overlapped += self._active_count > 0
            self._active_count += 1
        try:
            self._kinds[kind](duration_s)
        finally:
            with self._lock:
                self._active_count -= 1

    # --- processes to use ---

    def _reserve(self, names: list[str]) -> str | None:
        with self._lock:
            free = [name for name in names if name not in self._reserved]
            if not free:
                return None
            name = self._rng.choice(sorted(free))
            self._reserved.add(name)
            return name

    def _release(self, name: str) -> None:
        with self._lock:
            self._reserved.discard(name)

    def _reserve_instance(self) -> Instance | None:
        name = self._reserve(list(self._cluster.instances))
        return None if name is None else self._cluster.instances[name]

    def _reserve_server(self, kind: str) -> str | None:
        listed = self._cluster.listed.values()
        return self._reserve([each.name for each in listed if kind in (each.kind, "any")])

    # --- entry instances ---

    def _kill_instance(self, duration_s: float) -> None:
        instance = self._reserve_instance()
        if instance is None:
            return
        started_at = time.monotonic()
        instance.process.kill()
        time.sleep(duration_s)
        self._restart_instance(instance, started_at)

    def _replace_instance(self, _: float) -> None:
        instance = self._reserve_instance()
        if instance is None:
            return
        self._cluster.list_process(instance.listed, state="leaving")
        instance.process.terminate()
        instance.process.wait(60.0)
        self._restart_instance(instance, time.monotonic())

    def _restart_instance(self, instance: Instance, started_at: float) -> None:
        replacement = self._cluster.restart_instance(instance.name)
        wait_until(replacement.is_ready, f"{instance.name} is ready", 60.0)
        self._cluster.list_process(replacement.listed)
        self.downtimes.append(Downtime(instance.address, started_at, time.monotonic()))
        self._release(instance.name)

    def _pause_instance(self, duration_s: float) -> None:
        instance = self._reserve_instance()
        if instance is None:
            return
        started_at = time.monotonic()
        instance.process.pause()
        time.sleep(duration_s)
        instance.process.resume()
        if duration_s > CREDIT_VALIDITY_S:
            self.downtimes.append(Downtime(instance.address, started_at, time.monotonic()))
        self._release(instance.name)

    # --- crashing requests and changes of settings ---

    def _random_instances(self, count: int) -> list[Instance]:
        with self._lock:
            return self._rng.sample(list(self._cluster.instances.values()), count)

    def _send_crashing(self) -> None:
        self.crashing.send(next(self._prompts), self._random_instances(CRASHING_SENDS))

    def _change_settings(self) -> None:
        self.operators.change_concurrently(self._random_instances(2))

    # --- backend servers ---

    def _kill_server(self, kind: str, duration_s: float) -> None:
        name = self._reserve_server(kind)
        if name is None:
            return
        self._cluster.servers[name].kill()
        time.sleep(duration_s)
        self._cluster.restart_server(name)
        self._release(name)

    def _change_behaviour(self, kind: str, duration_s: float, **changes: object) -> None:
        name = self._reserve_server(kind)
        if name is None:
            return
        address = self._cluster.servers[name].address
        before = set_behaviour(address)
        set_behaviour(address, **changes)
        time.sleep(duration_s)
        self._remove_fault(address, {field: before[field] for field in changes})
        self._release(name)

    def _remove_fault(self, address: str, fields: dict[str, object]) -> None:
        """Remove a fault, with retries while the server crashes.

        Prevents a fault that stays for the rest of the run.
        """

        def is_removed() -> bool:
            try:
                set_behaviour(address, **fields)
            except (OSError, http.client.HTTPException):
                return False
            return True

        wait_until(
            is_removed, f"the fault of the server at {address} is removed", REMOVAL_TIMEOUT_S
        )

    # --- the network ---

    def _silence_connections(self) -> None:
        assert self._cluster.proxy_address is not None
        set_faults(self._cluster.proxy_address, None, silence_existing=True)

    def _cut_server(self, duration_s: float, direction: str) -> None:
        name = self._reserve_server("any")
        if name is None:
            return
        assert self._cluster.proxy_address is not None
        route = [self._cluster.routes[name]]
        set_faults(self._cluster.proxy_address, route, cut=direction)
        time.sleep(duration_s)
        set_faults(self._cluster.proxy_address, route, cut=None)
        self._release(name)

    def _cut_instance(self, duration_s: float, *, is_receiving: bool) -> None:
        # One fault at a time, as with the platform.
        if self._reserve(["peers"]) is None:
            return
        with self._lock:
            name = self._rng.choice(sorted(self._cluster.instances))
        block = self._cluster.block_outgoing if is_receiving else self._cluster.block_incoming
        block(name)
        time.sleep(duration_s)
        block(name, on=False)
        self._release("peers")

    def _random_data_centre(self) -> str:
        with self._lock:
            return self._rng.choice(self._cluster.deployment.data_centres)

    def _partition_random(self, duration_s: float) -> None:
        self._partition(self._random_data_centre(), duration_s)

    def _partition(self, data_centre: str, duration_s: float) -> None:
        if self._reserve(["peers"]) is None:
            return
        self._cluster.partition([data_centre])
        time.sleep(duration_s)
        self._cluster.partition([data_centre], on=False)
        self._release("peers")

    def _isolate(self, duration_s: float) -> None:
        """Partition a data centre from all others and from the platform, for a longer time."""
        data_centre = self._random_data_centre()
        duration_s += CREDIT_VALIDITY_S
        platform = threading.Thread(
            target=self._disconnect_from_platform, args=(data_centre, duration_s)
        )
        platform.start()
        self._partition(data_centre, duration_s)
        platform.join()

    # --- the platform ---

    def _change_platform(self, duration_s: float, **changes: object) -> None:
        # One fault at a time: overlapping ones would restore each other's changes.
        name = self._reserve(["platform"])
        if name is None:
            return
        address = self._cluster.platform.address
        before = set_behaviour(address)
        set_behaviour(address, **changes)
        time.sleep(duration_s)
        set_behaviour(address, **{field: before[field] for field in changes})
        self._release(name)

    def _lose_acknowledgements(self) -> None:
        set_behaviour(self._cluster.platform.address, lose_acks=3)

    def _disconnect_random(self, duration_s: float) -> None:
        self._disconnect_from_platform(self._random_data_centre(), duration_s)

    def _disconnect_from_platform(self, data_centre: str, duration_s: float) -> None:
        instances = self._cluster.instances.values()
        names = [each.name for each in instances if each.listed.data_centre == data_centre]
        self._change_platform(duration_s, cut_from=names)
