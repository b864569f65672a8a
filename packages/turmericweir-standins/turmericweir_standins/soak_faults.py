"""The random faults of `make soak`: which kinds there are, and how each strikes and is mended.

A fault is drawn from a seeded generator, strikes, lasts its time and is mended again; one may begin
while another still lasts. An instance that is killed takes its callers' connections with it, and
one that is paused for long answers when they have hung up; so the times at which each entry address
was down are kept: a caller of such a process can be told nothing.
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

# How long a fault lasts, seconds.
SHORTEST_S: Final = 1.0
LONGEST_S: Final = 5.0
# A pause that outlasts a credit, which is good for 9 s, lasts so much longer.
LAPSED_S: Final = 9.0
# An outage for long lasts so many times as long.
LONG_FACTOR: Final = 8.0
# A fault that can't be taken back within this time ends the run.
MEND_S: Final = 30.0
# Through how many instances a request that crashes engines is sent.
CRASHING_SENDS: Final = 3


@dataclass(frozen=True, slots=True)
class Down:
    """A time in which no process answered at an entry address."""

    address: str
    start: float
    end: float


class SoakCluster(MeasuredCluster, PeerCluster):
    """A cluster with a fault proxy before the servers and another between the instances."""


class Faults:
    """Strikes the processes of a cluster at random."""

    # How many times each kind has struck, and how many times while another fault lasted.
    struck: Counter[str]
    overlapped: int
    # When entry addresses were down, by the monotonic clock.
    down: list[Down]
    crashing: CrashingCaller
    operators: Operators

    def __init__(self, cluster: SoakCluster, crashing: CrashingCaller, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self.struck = Counter()
        self.overlapped = 0
        self.down = []
        self.crashing = crashing
        self.operators = Operators(cluster)
        self._prompts = itertools.count(1)
        # Faults that last.
        self._lasting = 0
        # Processes that a fault has in hand; another one leaves them alone.
        self._taken: set[str] = set()
        self._lock = threading.Lock()
        self._kinds: Mapping[str, Callable[[float], None]] = {
            "instance_killed": self._kill_instance,
            "instance_paused": self._pause_instance,
            "instance_paused_long": lambda length: self._pause_instance(length + LAPSED_S),
            "instance_replaced": self._replace_instance,
            "engine_killed": lambda length: self._kill_server("engine", length),
            "service_killed": lambda length: self._kill_server("plain", length),
            "engine_frozen": lambda length: self._behave("engine", length, frozen=True),
            "engine_slow": lambda length: self._behave("engine", length, slow_factor=6.0),
            "engine_cuts": lambda length: self._behave("engine", length, cut_after_tokens=7),
            "engine_refuses": lambda length: self._behave("engine", length, refuse_start=True),
            "service_drops": lambda length: self._behave("plain", length, run_then_drop=True),
            "reports_late": lambda length: self._behave("engine", length, report_frozen=True),
            "request_crashes": lambda _: self._send_crashing(),
            "requests_cut": lambda length: self._cut_server(length, "forward"),
            "answers_cut": lambda length: self._cut_server(length, "backward"),
            "connections_silent": lambda _: self._silence(),
            "peers_silent": lambda _: self._cluster.silence_peers(),
            "instance_hears_nobody": lambda length: self._cut_instance(length, hears=False),
            "instance_not_heard": lambda length: self._cut_instance(length, hears=True),
            "data_centre_parted": self._part,
            "data_centre_alone": self._isolate,
            "operators_at_once": lambda _: self._change_settings(),
            "log_outage_long": lambda length: self._platform(length * LONG_FACTOR, outage=True),
            "log_outage": lambda length: self._platform(length, outage=True),
            "log_slow": lambda length: self._platform(length, slow_ms=400),
            "acknowledgements_lost": lambda _: self._lose_acknowledgements(),
            "list_down": lambda length: self._platform(length, list_down=True),
            "data_centre_cut_off": self._cut_off,
        }

    def run(self, seconds: float, every_s: float) -> None:
        """Strike until the time is over, then wait until everything is mended."""
        end = time.monotonic() + seconds
        threads: list[threading.Thread] = []
        while time.monotonic() < end:
            time.sleep(self._rng.uniform(0.5 * every_s, 1.5 * every_s))
            kind = self._rng.choice(sorted(self._kinds))
            length = self._rng.uniform(SHORTEST_S, LONGEST_S)
            thread = threading.Thread(target=self._strike, args=(kind, length))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _strike(self, kind: str, length: float) -> None:
        with self._lock:
            self.struck[kind] += 1
            self.overlapped += self._lasting > 0
            self._lasting += 1
        try:
            self._kinds[kind](length)
        finally:
            with self._lock:
                self._lasting -= 1

    # --- who is struck ---

    def _take(self, names: list[str]) -> str | None:
        with self._lock:
            free = [name for name in names if name not in self._taken]
            if not free:
                return None
            name = self._rng.choice(sorted(free))
            self._taken.add(name)
            return name

    def _give_back(self, name: str) -> None:
        with self._lock:
            self._taken.discard(name)

    def _take_instance(self) -> Instance | None:
        name = self._take(list(self._cluster.instances))
        return None if name is None else self._cluster.instances[name]

    def _take_server(self, kind: str) -> str | None:
        listed = self._cluster.listed.values()
        return self._take([each.name for each in listed if kind in (each.kind, "any")])

    # --- entry instances ---

    def _kill_instance(self, length: float) -> None:
        instance = self._take_instance()
        if instance is None:
            return
        start = time.monotonic()
        instance.process.kill()
        time.sleep(length)
        self._start_again(instance, start)

    def _replace_instance(self, _: float) -> None:
        instance = self._take_instance()
        if instance is None:
            return
        self._cluster.list_process(instance.listed, state="leaving")
        instance.process.terminate()
        instance.process.wait(60.0)
        self._start_again(instance, time.monotonic())

    def _start_again(self, instance: Instance, start: float) -> None:
        replaced = self._cluster.restart_instance(instance.name)
        wait_until(replaced.ready, f"{instance.name} is ready", 60.0)
        self._cluster.list_process(replaced.listed)
        self.down.append(Down(instance.address, start, time.monotonic()))
        self._give_back(instance.name)

    def _pause_instance(self, length: float) -> None:
        instance = self._take_instance()
        if instance is None:
            return
        start = time.monotonic()
        instance.process.pause()
        time.sleep(length)
        instance.process.resume()
        if length > LAPSED_S:
            self.down.append(Down(instance.address, start, time.monotonic()))
        self._give_back(instance.name)

    # --- who sends what crashes, and who changes settings ---

    def _some_instances(self, count: int) -> list[Instance]:
        with self._lock:
            return self._rng.sample(list(self._cluster.instances.values()), count)

    def _send_crashing(self) -> None:
        self.crashing.send(next(self._prompts), self._some_instances(CRASHING_SENDS))

    def _change_settings(self) -> None:
        self.operators.change_at_once(self._some_instances(2))

    # --- backend servers ---

    def _kill_server(self, kind: str, length: float) -> None:
        name = self._take_server(kind)
        if name is None:
            return
        self._cluster.servers[name].kill()
        time.sleep(length)
        self._cluster.restart_server(name)
        self._give_back(name)

    def _behave(self, kind: str, length: float, **changes: object) -> None:
        name = self._take_server(kind)
        if name is None:
            return
        address = self._cluster.servers[name].address
        before = set_behaviour(address)
        set_behaviour(address, **changes)
        time.sleep(length)
        self._mend(address, {field: before[field] for field in changes})
        self._give_back(name)

    def _mend(self, address: str, fields: dict[str, object]) -> None:
        """Take a fault back, however often the server drops the call because it crashes just then.

        Failure: the fault stays for the rest of the run, which is then judged as if it were over.
        """

        def mended() -> bool:
            try:
                set_behaviour(address, **fields)
            except (OSError, http.client.HTTPException):
                return False
            return True

        wait_until(mended, f"the server at {address} took its fault back", MEND_S)

    # --- the network ---

    def _silence(self) -> None:
        assert self._cluster.proxy_address is not None
        set_faults(self._cluster.proxy_address, None, silence_existing=True)

    def _cut_server(self, length: float, direction: str) -> None:
        name = self._take_server("any")
        if name is None:
            return
        assert self._cluster.proxy_address is not None
        route = [self._cluster.routes[name]]
        set_faults(self._cluster.proxy_address, route, cut=direction)
        time.sleep(length)
        set_faults(self._cluster.proxy_address, route, cut=None)
        self._give_back(name)

    def _cut_instance(self, length: float, *, hears: bool) -> None:
        # One at a time, as with the platform.
        if self._take(["peers"]) is None:
            return
        with self._lock:
            name = self._rng.choice(sorted(self._cluster.instances))
        cut = self._cluster.mute if hears else self._cluster.deafen
        cut(name)
        time.sleep(length)
        cut(name, on=False)
        self._give_back("peers")

    def _some_data_centre(self) -> str:
        with self._lock:
            return self._rng.choice(self._cluster.deployment.data_centres)

    def _part(self, length: float) -> None:
        self._part_one(self._some_data_centre(), length)

    def _part_one(self, data_centre: str, length: float) -> None:
        if self._take(["peers"]) is None:
            return
        self._cluster.part([data_centre])
        time.sleep(length)
        self._cluster.part([data_centre], on=False)
        self._give_back("peers")

    def _isolate(self, length: float) -> None:
        """Cut a data centre off from its siblings and from the platform, for longer."""
        data_centre = self._some_data_centre()
        length += LAPSED_S
        platform = threading.Thread(target=self._cut_off_one, args=(data_centre, length))
        platform.start()
        self._part_one(data_centre, length)
        platform.join()

    # --- the platform ---

    def _platform(self, length: float, **changes: object) -> None:
        # One at a time: two that overlap would each put back what the other had set.
        name = self._take(["platform"])
        if name is None:
            return
        address = self._cluster.platform.address
        before = set_behaviour(address)
        set_behaviour(address, **changes)
        time.sleep(length)
        set_behaviour(address, **{field: before[field] for field in changes})
        self._give_back(name)

    def _lose_acknowledgements(self) -> None:
        set_behaviour(self._cluster.platform.address, lose_acks=3)

    def _cut_off(self, length: float) -> None:
        self._cut_off_one(self._some_data_centre(), length)

    def _cut_off_one(self, data_centre: str, length: float) -> None:
        instances = self._cluster.instances.values()
        names = [each.name for each in instances if each.listed.data_centre == data_centre]
        self._platform(length, cut_from=names)
