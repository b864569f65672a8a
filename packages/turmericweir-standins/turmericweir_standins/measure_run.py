"""One run of one scenario under one policy: real processes, callers and faults.

The urgent traffic and all other traffic have separate caller processes. Prevents delays of urgent
calls by other callers or by this process. The result is an `Observation`, from which
`measure_figures` computes the figures.
"""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import http.client
import threading
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final, assert_never

import orjson

from turmericweir_standins.callers_workload import Kind, Traffic, Workload
from turmericweir_standins.deployment import Cluster, Deployment, ListedProcess, token_of
from turmericweir_standins.measure_scenarios import (
    CRASH_MARKER,
    REPORT_LAG_MS,
    SLOPE,
    STEP_MS,
    Fault,
    KillEngine,
    LogOutage,
    ResendCrashing,
    Scenario,
    SilenceConnections,
    SlowEngine,
)
from turmericweir_standins.proc_stat import machine_busy_s, process_cpu_s
from turmericweir_standins.procs import (
    Process,
    add_route,
    call_json,
    set_behaviour,
    set_faults,
    standin,
    wait_until,
)
from turmericweir_standins.record import read_records

# Callers make their plan before they print the READY line.
CALLERS_TIMEOUT_S: Final = 120.0
CRASHING_CUSTOMER: Final = "marking-a"
SAMPLE_INTERVAL_S: Final = 1.0
OK: Final = 200
_URGENT: Final = frozenset({"counter", "fitting", "homework", "booking"})

# Any: a line of a record; its fields depend on the event.
Record = dict[str, Any]


class MeasuredCluster(Cluster):
    """A cluster whose servers are listed with their address of the fault proxy, if there is one."""

    # Control address of the proxy; None without a proxy.
    proxy_address: str | None
    # The address of the route to each server, by server name.
    routes: dict[str, str]

    def __init__(
        self, deployment: Deployment, directory: Path, proxy_address: str | None = None
    ) -> None:
        super().__init__(deployment, directory)
        self.proxy_address = proxy_address
        self.routes = {}

    def list_process(
        self, listed: ListedProcess, state: str = "live", incarnation: str = "1"
    ) -> None:
        """Put a process into the list; a backend server gets the address of its route."""
        if self.proxy_address is not None and listed.kind != "entry":
            listed = dataclasses.replace(listed, address=self._route(self.proxy_address, listed))
        super().list_process(listed, state, incarnation)

    def _route(self, proxy: str, listed: ListedProcess) -> str:
        if listed.name not in self.routes:
            self.routes[listed.name] = add_route(proxy, listed.address)
        return self.routes[listed.name]


@dataclass(frozen=True, slots=True)
class CpuShares:
    """Processor use in the busiest second."""

    # Share of one core of the busiest process of each kind.
    by_kind: Mapping[str, float]
    # Cores used by all processes of the run, and by all processes of the machine.
    own: float
    machine: float


@dataclass(frozen=True, slots=True)
class Observation:
    """The data collected in one run."""

    scenario: Scenario
    policy: str
    seconds: float
    # One result for each call, as `callers_result.result_record` writes it.
    calls: list[Record]
    # Records of the engines and of the plain services since the start of the load.
    engine_records: list[Record]
    service_records: list[Record]
    # Status and body of each answer to a crashing request.
    crashing_answers: list[str]
    # State dump of each instance at the end, by name.
    states: Mapping[str, Any]
    cpu: CpuShares


def measured_deployment(deployment: Deployment, policy: str) -> Deployment:
    """Return the deployment with the measured step time, report lag and policy."""
    pace = (f"--step-ms={STEP_MS}", f"--slope={SLOPE}", f"--report-lag-ms={REPORT_LAG_MS}")
    groups = tuple(
        dataclasses.replace(group, args=(*group.args, *pace)) if group.kind == "model" else group
        for group in deployment.groups
    )
    return dataclasses.replace(deployment, groups=groups, policy=policy)


def run_scenario(
    scenario: Scenario, policy: str, seconds: float, seed: int, directory: Path
) -> Observation:
    """Run a scenario under a policy and return the collected data."""
    directory.mkdir(parents=True, exist_ok=True)
    with contextlib.ExitStack() as stack:
        proxy_address = None
        if scenario.proxied:
            proxy_address = stack.enter_context(standin("proxy", directory=directory)).address
        deployment = measured_deployment(scenario.deployment, policy)
        cluster = stack.enter_context(MeasuredCluster(deployment, directory, proxy_address))
        # Registered last and run first: kills the idle processes instead of stopping them
        # gracefully, which would take longer than the run.
        stack.callback(_kill_all, cluster)
        warm_up(cluster, scenario)
        return ScenarioRun(scenario, policy, seconds, seed, cluster).measure()


def _kill_all(cluster: Cluster) -> None:
    instances = [each.process for each in cluster.instances.values()]
    for process in (*instances, *cluster.servers.values()):
        process.kill()


def warm_up(cluster: Cluster, scenario: Scenario) -> None:
    """Wait until each instance gets an answer from each service."""
    for traffic in scenario.traffic:
        for instance in cluster.instances.values():
            is_answering = functools.partial(_is_answering, instance.address, traffic)
            wait_until(is_answering, f"{instance.name} serves {traffic.name}")


def _is_answering(address: str, traffic: Traffic) -> bool:
    headers = {"Authorization": f"Bearer {traffic.tokens[0]}"}
    if traffic.kind is Kind.MODEL:
        messages = [{"role": "user", "content": "warm-up [len=2]"}]
        body = {"model": traffic.model, "messages": messages, "stream": False}
        return call_json(address, "POST", traffic.path, body, headers).status == OK
    service = traffic.path.split("/")[2]
    return call_json(address, "GET", f"/services/{service}/warm-up", None, headers).status == OK


class ScenarioRun:
    """The load, the faults and the collected data of one run."""

    _scenario: Scenario
    _policy: str
    _seconds: float
    _seed: int
    _cluster: MeasuredCluster
    # Number of lines in each record before the load.
    _lines_before: dict[str, int]
    _crashing_answers: list[str]

    def __init__(
        self,
        scenario: Scenario,
        policy: str,
        seconds: float,
        seed: int,
        cluster: MeasuredCluster,
    ) -> None:
        self._scenario = scenario
        self._policy = policy
        self._seconds = seconds
        self._seed = seed
        self._cluster = cluster
        self._crashing_answers = []
        self._lines_before = {name: len(self._records(name)) for name in cluster.servers}

    def measure(self) -> Observation:
        """Send the load, inject the faults, and return the collected data."""
        with self.callers() as callers:
            for process in callers:
                process.wait_ready()
            sampler = _Sampler(self._kinds(callers), self._seconds)
            sampler.start()
            faults = [
                threading.Thread(target=self._inject, args=(fault,), daemon=True)
                for fault in self._scenario.faults
            ]
            for thread in faults:
                thread.start()
            for process in callers:
                process.wait_line(lambda line: line.startswith("RESULT"), CALLERS_TIMEOUT_S)
            for thread in (*faults, sampler):
                thread.join()
            calls = [call for process in callers for call in self.calls_of(process)]
        return Observation(
            scenario=self._scenario,
            policy=self._policy,
            seconds=self._seconds,
            calls=calls,
            engine_records=self.new_records("model"),
            service_records=self.new_records("plain"),
            crashing_answers=self._crashing_answers,
            states={name: each.state() for name, each in self._cluster.instances.items()},
            cpu=sampler.shares(),
        )

    # Callers.

    @contextlib.contextmanager
    def callers(self) -> Iterator[list[Process]]:
        """Start the callers; they are ready when they begin to send."""
        workload = self._scenario.workload(self._seconds, self._seed)
        urgent_traffic = tuple(each for each in workload.traffic if _is_urgent(each))
        other_traffic = tuple(each for each in workload.traffic if not _is_urgent(each))
        with contextlib.ExitStack() as stack:
            processes = [
                self._make_callers(name, dataclasses.replace(workload, traffic=traffic))
                for name, traffic in (
                    ("callers-urgent", urgent_traffic),
                    ("callers-rest", other_traffic),
                )
            ]
            for process in processes:
                stack.callback(process.stop)
                process.start()
            yield processes

    def _make_callers(self, name: str, workload: Workload) -> Process:
        directory = self._cluster.directory
        path = directory / f"{name}.workload.json"
        path.write_bytes(orjson.dumps(dataclasses.asdict(workload)))
        entries = [f"--entry={each.address}" for each in self._cluster.instances.values()]
        out = f"--out={directory / name}.json"
        return standin(
            "callers", f"--workload={path}", out, *entries, directory=directory, name=name
        )

    def calls_of(self, process: Process) -> list[Record]:
        """Wait for the end of callers and return their results."""
        process.wait(CALLERS_TIMEOUT_S)
        path = self._cluster.directory / f"{process.name}.json"
        calls = orjson.loads(path.read_bytes())["calls"]
        assert isinstance(calls, list)
        return calls

    # Records.

    def _records(self, name: str) -> list[Record]:
        return read_records(self._cluster.record_path(name))

    def new_records(self, kind: str) -> list[Record]:
        """Return the records of the servers of a kind since the start of the load."""
        services = {
            group.service for group in self._cluster.deployment.groups if group.kind == kind
        }
        names = [name for name in self._cluster.servers if name.rpartition("-")[0] in services]
        return [
            record for name in names for record in self._records(name)[self._lines_before[name] :]
        ]

    def _kinds(self, callers: list[Process]) -> dict[str, list[Process]]:
        cluster = self._cluster
        servers = cluster.servers
        engines = [each for name, each in servers.items() if cluster.listed[name].kind == "engine"]
        plain = [each for name, each in servers.items() if cluster.listed[name].kind == "plain"]
        return {
            "daemon": [each.process for each in cluster.instances.values()],
            "callers": callers,
            "engine": engines,
            "plain service": plain,
            "platform": [cluster.platform],
        }

    # Faults.

    def _inject(self, fault: Fault) -> None:
        time.sleep(fault.at_s)
        match fault:
            case SlowEngine():
                address = self._engine(fault.number).address
                set_behaviour(address, slow_factor=fault.factor)
                time.sleep(fault.length_s)
                set_behaviour(address, slow_factor=1.0)
            case KillEngine():
                name = self._engine(fault.number).name
                self._cluster.servers[name].kill()
                time.sleep(fault.back_after_s)
                self._cluster.restart_server(name)
            case LogOutage():
                set_behaviour(self._cluster.platform.address, outage=True)
                time.sleep(fault.length_s)
                set_behaviour(self._cluster.platform.address, outage=False)
            case SilenceConnections():
                assert self._cluster.proxy_address is not None
                set_faults(self._cluster.proxy_address, None, silence_existing=True)
            case ResendCrashing():
                self._resend_crashing(fault)
            case unreachable:
                assert_never(unreachable)

    def _engine(self, number: int) -> Process:
        listed = self._cluster.listed.values()
        names = [each.name for each in listed if each.kind == "engine"]
        return self._cluster.servers[names[number]]

    def _resend_crashing(self, fault: ResendCrashing) -> None:
        instances = list(self._cluster.instances.values())
        model = next(each.model for each in self._scenario.traffic if each.model)
        messages = [{"role": "user", "content": f"Mark this essay. {CRASH_MARKER}"}]
        body = {"model": model, "messages": messages, "stream": False}
        headers = {"Authorization": f"Bearer {token_of(CRASHING_CUSTOMER)}"}
        for number in range(fault.count):
            address = instances[number % len(instances)].address
            # A caller without an answer also sends the request again.
            try:
                answer = call_json(address, "POST", "/v1/chat/completions", body, headers)
                result = f"{answer.status} {answer.body.get('outcome')} {answer.body.get('reason')}"
            except (OSError, http.client.HTTPException) as exc:
                result = type(exc).__name__
            self._crashing_answers.append(result)
            time.sleep(fault.every_s)


def _is_urgent(traffic: Traffic) -> bool:
    return traffic.name.partition(":")[0] in _URGENT


class _Sampler(threading.Thread):
    """Sample the processor time of all processes once a second during the load."""

    _kinds: Mapping[str, list[Process]]
    _seconds: float
    # Highest share by kind so far.
    _highest: dict[str, float]
    _own: float
    _machine: float

    def __init__(self, kinds: Mapping[str, list[Process]], seconds: float) -> None:
        super().__init__(daemon=True)
        self._kinds = kinds
        self._seconds = seconds
        self._highest = dict.fromkeys(kinds, 0.0)
        self._own = 0.0
        self._machine = 0.0

    def run(self) -> None:
        """Sample until the planned end of the load."""
        end = time.monotonic() + self._seconds
        last_sample = self._read()
        while time.monotonic() < end:
            time.sleep(SAMPLE_INTERVAL_S)
            present_sample = self._read()
            self._update_highest(last_sample, present_sample)
            last_sample = present_sample

    def _read(self) -> _Sample:
        cpu = {
            kind: [process_cpu_s(each.pid) for each in processes]
            for kind, processes in self._kinds.items()
        }
        return _Sample(time.monotonic(), cpu, machine_busy_s())

    def _update_highest(self, last_sample: _Sample, present_sample: _Sample) -> None:
        elapsed_s = present_sample.sampled_at - last_sample.sampled_at
        own = 0.0
        for kind, values in present_sample.cpu.items():
            pairs = zip(last_sample.cpu[kind], values, strict=True)
            # A process that was killed in this second restarts from 0.
            shares = [max(0.0, (new - old) / elapsed_s) for old, new in pairs]
            self._highest[kind] = max(self._highest[kind], *shares)
            own += sum(shares)
        self._own = max(self._own, own)
        self._machine = max(
            self._machine, (present_sample.machine - last_sample.machine) / elapsed_s
        )

    def shares(self) -> CpuShares:
        """Return the highest shares."""
        return CpuShares(self._highest, self._own, self._machine)


@dataclass(frozen=True, slots=True)
class _Sample:
    """The processor times at one time."""

    sampled_at: float
    # One value for each process, by kind.
    cpu: Mapping[str, list[float]] = field(default_factory=dict)
    machine: float = 0.0
