"""Deployments as data, and the cluster of processes that a deployment describes.

`STITCHLINE` and `LIME_LEAF` have the sizes of two real deployments; tests use smaller ones. A
`Cluster` starts the platform, the backend servers and the entry instances of a deployment,
publishes its settings and its list of instances, and stops all processes on exit.
"""

from __future__ import annotations

import contextlib
import hashlib
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import orjson

from turmericweir_standins.procs import Process, call_json, free_address, standin, wait_until

OPERATOR: Final = "root"
OPERATOR_TOKEN: Final = "operator-token"


def digest_of_token(token: str) -> str:
    """Return the hash of a bearer token that settings contain."""
    return hashlib.sha256(token.encode()).hexdigest()


def token_of(customer: str) -> str:
    """Return the bearer token of a deployment's customer."""
    return f"token-{customer}"


@dataclass(frozen=True, slots=True)
class BackendGroup:
    """The backend servers of one service; they are placed in the data centres in turn."""

    service: str
    # "model" or "plain"
    kind: str
    count: int
    slots: int
    models: tuple[str, ...] = ()
    # Additional command-line arguments of the stand-in.
    args: tuple[str, ...] = ()
    # Rules of a plain service, in the form of the settings.
    rules: tuple[Mapping[str, Any], ...] = ()
    checks_fence: bool = True
    # Versions of the servers' software, in turn; empty for one version.
    software_versions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Deployment:
    """The processes of a deployment, their data centres, and the settings."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    # Number of entry instances; they are placed in the data centres in turn.
    instances: int
    groups: tuple[BackendGroup, ...]
    # Values of /classes/* by class name.
    classes: Mapping[str, Mapping[str, Any]]
    # Classes by target, by customer name.
    customers: Mapping[str, Mapping[str, str]]
    policy: str = "credits"
    # Additional settings by path.
    settings: Mapping[str, Any] = field(default_factory=dict)

    def all_settings(self) -> dict[str, Any]:
        """Return all settings by path; each one refers only to earlier ones."""
        values: dict[str, Any] = {}
        for name, class_value in self.classes.items():
            values[f"/classes/{name}"] = dict(class_value)
        for group in self.groups:
            values[f"/services/{group.service}"] = _service_value(group)
        for name, classes in self.customers.items():
            token = digest_of_token(token_of(name))
            values[f"/customers/{name}"] = {"token_sha256": [token], "classes": dict(classes)}
        values["/policy"] = {"policy": self.policy}
        values.update(self.settings)
        return values


def _service_value(group: BackendGroup) -> dict[str, Any]:
    value: dict[str, Any] = {"kind": group.kind, "slots": group.slots}
    if group.kind == "model":
        value["models"] = list(group.models)
        value["checks_fence"] = group.checks_fence
    else:
        value["rules"] = [dict(rule) for rule in group.rules]
    return value


def settings_record(path: str, value: Any, change_id: str) -> dict[str, Any]:
    """Return the log record with which an operator sets a path for the first time."""
    return {
        "type": "change",
        "change_id": change_id,
        "path": path,
        "expected_version": 0,
        "value": value,
        "operator": OPERATOR,
        "authority": "bootstrap",
        "at": time.time(),
    }


@dataclass(frozen=True, slots=True)
class ListedProcess:
    """A process of the cluster with its fields of the platform's list."""

    name: str
    kind: str
    service: str
    data_centre: str
    address: str
    peer_address: str | None = None
    software_version: str = ""

    def entry(self, incarnation: str, state: str = "live") -> dict[str, Any]:
        """Return the entry of the list."""
        return {
            "name": self.name,
            "kind": self.kind,
            "service": self.service,
            "data_centre": self.data_centre,
            "address": self.address,
            "peer_address": self.peer_address,
            "incarnation": incarnation,
            "software_version": self.software_version,
            "state": state,
        }


@dataclass(slots=True)
class Instance:
    """An entry instance of the cluster."""

    listed: ListedProcess
    admin_address: str
    process: Process

    @property
    def name(self) -> str:
        """The name in settings, list and logs."""
        return self.listed.name

    @property
    def address(self) -> str:
        """The address for callers."""
        return self.listed.address

    # Any: the state dump has no fixed type.
    def state(self) -> Any:
        """Return the state dump of the instance."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return call_json(self.admin_address, "GET", "/state", headers=headers).body

    def is_ready(self) -> bool:
        """Return whether the instance reports that it is ready."""
        try:
            return call_json(self.admin_address, "GET", "/readyz").status == 200
        except OSError:
            return False


class Cluster:
    """The running processes of a deployment; all of them are stopped on exit."""

    deployment: Deployment
    # Directory of records, logs and settings files.
    directory: Path
    platform: Process
    # Backend servers by name, with their entries in the list.
    servers: dict[str, Process]
    listed: dict[str, ListedProcess]
    instances: dict[str, Instance]

    def __init__(
        self,
        deployment: Deployment,
        directory: Path | str,
        *,
        options: Mapping[str, float] | None = None,
        platform_args: tuple[str, ...] = (),
        platform_address: str | None = None,
    ) -> None:
        self.deployment = deployment
        self.directory = Path(directory)
        self.servers = {}
        self.listed = {}
        self.instances = {}
        # Options of every instance, by name.
        self._options = dict(options or {})
        self._platform_args = platform_args
        # Address of a proxy before the platform; None for a direct connection.
        self._platform_address = platform_address
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop_all()

    def _stop_all(self) -> None:
        """Stop all processes in parallel: terminate each one before the first is awaited."""
        instances = [each.process for each in self.instances.values()]
        for process in (*instances, *self.servers.values()):
            if process.is_running:
                process.resume()
                process.terminate()
        self._stack.close()

    def _start(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        self.platform = self._enter_process(self._platform_process())
        self._start_servers()
        self.publish(self.deployment.all_settings())
        started = [self._make_instance(number) for number in range(self.deployment.instances)]
        for instance in started:
            self._stack.callback(instance.process.stop)
            instance.process.start()
        for instance in started:
            instance.process.wait_ready()
            self.instances[instance.name] = instance
            self.list_process(instance.listed)
        for instance in started:
            wait_until(instance.is_ready, f"{instance.name} is ready")

    def _enter_process(self, process: Process) -> Process:
        return self._stack.enter_context(process)

    # --- the platform ---

    def _platform_process(self) -> Process:
        record = str(self.record_path("platform"))
        args = ("--record", record, *self._platform_args)
        return standin("platform", *args, directory=self.directory)

    def record_path(self, name: str) -> Path:
        """Return the path of a stand-in's record."""
        return self.directory / f"{name}.record.jsonl"

    def publish(self, values: Mapping[str, Any]) -> None:
        """Append the first values of settings paths to the platform's log."""
        records = [settings_record(path, value, f"boot-{path}") for path, value in values.items()]
        call_json(self.platform.address, "POST", "/log/settings/append", {"records": records})

    def list_process(
        self, listed: ListedProcess, state: str = "live", incarnation: str = "1"
    ) -> None:
        """Put a process into the platform's list, or change its entry."""
        entry = listed.entry(incarnation, state)
        call_json(self.platform.address, "POST", "/_standin/instances", entry)

    # --- backend servers ---

    def _data_centre(self, number: int) -> str:
        return self.deployment.data_centres[number % len(self.deployment.data_centres)]

    def _start_servers(self) -> None:
        """Start all backend servers in parallel and put each into the list when it is ready."""
        groups = self.deployment.groups
        processes = [
            self._make_server(group, number) for group in groups for number in range(group.count)
        ]
        for process in processes:
            self._stack.callback(process.stop)
            process.start()
        for process in processes:
            process.wait_ready()
            self.list_process(self.listed[process.name])

    def add_server(self, group: BackendGroup, number: int) -> Process:
        """Start another backend server and put it into the list."""
        process = self._enter_process(self._make_server(group, number))
        self.list_process(self.listed[process.name])
        return process

    def _make_server(self, group: BackendGroup, number: int) -> Process:
        name = f"{group.service}-{number + 1}"
        module = "engine" if group.kind == "model" else "service"
        args = [f"--name={name}", f"--record={self.record_path(name)}", *group.args]
        address = free_address()
        args.append(f"--address={address}")
        if group.kind == "model":
            args += [f"--models={','.join(group.models)}", f"--slots={group.slots}"]
            args.append("--check-fence" if group.checks_fence else "--ignore-fence")
        process = standin(module, *args, directory=self.directory, name=name)
        self.servers[name] = process
        kind = "engine" if group.kind == "model" else "plain"
        data_centre = self._data_centre(number)
        versions = group.software_versions or ("",)
        self.listed[name] = ListedProcess(
            name,
            kind,
            group.service,
            data_centre,
            address,
            software_version=versions[number % len(versions)],
        )
        return process

    def restart_server(self, name: str) -> Process:
        """Start a backend server again on the same address after its process has ended."""
        stopped = self.servers[name]
        stopped.wait()
        process = self._enter_process(Process(stopped.argv, name=name, directory=self.directory))
        self.servers[name] = process
        return process

    # --- entry instances ---

    def add_instance(self, number: int) -> Instance:
        """Start another entry instance, put it into the list and wait until it is ready."""
        instance = self._make_instance(number)
        self._enter_process(instance.process)
        self.instances[instance.name] = instance
        self.list_process(instance.listed)
        wait_until(instance.is_ready, f"{instance.name} is ready")
        return instance

    def restart_instance(self, name: str) -> Instance:
        """Start an entry instance again on the same addresses after its process has ended."""
        stopped = self.instances[name]
        stopped.process.wait()
        process = self._enter_process(
            Process(stopped.process.argv, name=name, directory=self.directory)
        )
        self.instances[name] = Instance(stopped.listed, stopped.admin_address, process)
        return self.instances[name]

    def _make_instance(self, number: int) -> Instance:
        name = f"entry-{number + 1}"
        listed = ListedProcess(
            name, "entry", "", self._data_centre(number), free_address(), free_address()
        )
        admin_address = free_address()
        path = self.directory / f"{name}.json"
        path.write_bytes(orjson.dumps(self._process_settings(listed, admin_address)))
        argv = [sys.executable, "-m", "turmericweir.main", "--config", str(path)]
        process = Process(argv, name=name, directory=self.directory)
        return Instance(listed, admin_address, process)

    def _process_settings(self, listed: ListedProcess, admin_address: str) -> dict[str, Any]:
        seeds = [each.listed.peer_address for each in self.instances.values()]
        token = {"name": OPERATOR, "token_sha256": digest_of_token(OPERATOR_TOKEN), "paths": ["/"]}
        return {
            "name": listed.name,
            "data_centre": listed.data_centre,
            "region": self.deployment.region,
            "caller_address": listed.address,
            "admin_address": admin_address,
            "peer_address": listed.peer_address,
            "platform": {"address": self._platform_address or self.platform.address},
            "seeds": seeds,
            "admin_tokens": [token],
            "options": self._options,
            "seed": int(listed.name.rpartition("-")[2]),
        }


# --- deployments of real sizes -------------------------------------------------------------

_COUNTER_RULES: Final = (
    {"method": "POST", "path_prefix": "/reserve", "repeatable": False},
    {"method": "GET", "path_prefix": "/", "repeatable": True},
)
_BOOKING_RULES: Final = (
    {"method": "POST", "path_prefix": "/book", "repeatable": False},
    {"method": "POST", "path_prefix": "/payout", "repeatable": False},
    {"method": "GET", "path_prefix": "/", "repeatable": True},
)

STITCHLINE: Final = Deployment(
    name="stitchline",
    region="khomas",
    data_centres=("klein-a", "klein-b", "olympia", "eros"),
    instances=8,
    groups=(
        BackendGroup("tailor-lm", "model", 5, 16, models=("tailor-lm",)),
        BackendGroup("counter-api", "plain", 4, 8, rules=_COUNTER_RULES),
    ),
    classes={
        "counter": {"priority": 0, "latency_target_ms": 300, "default_deadline_ms": 3000},
        "fitting": {
            "priority": 1,
            "first_token_target_ms": 590,
            "token_gap_target_ms": 65,
            "default_deadline_ms": 5000,
        },
        "confirmation": {
            "priority": 2,
            "first_token_target_ms": 2000,
            "default_deadline_ms": 20000,
        },
        "quote": {"priority": 3, "first_token_target_ms": 10000, "default_deadline_ms": 60000},
    },
    customers={
        "till-north": {"counter-api": "counter", "*": "fitting"},
        "till-south": {"counter-api": "counter", "*": "fitting"},
        "till-coast": {"counter-api": "counter", "*": "fitting"},
        "desk-a": {"counter-api": "counter", "*": "fitting"},
        "desk-b": {"counter-api": "counter", "*": "fitting"},
        "orders-a": {"*": "confirmation"},
        "orders-b": {"*": "confirmation"},
        "bursar-a": {"*": "quote"},
        "bursar-b": {"*": "quote"},
        "bursar-large": {"*": "quote"},
    },
)

LIME_LEAF: Final = Deployment(
    name="lime_leaf",
    region="tt-north",
    data_centres=("pos-hall", "chaguanas-hall", "arima-hall"),
    instances=6,
    groups=(
        BackendGroup("tutor-llm", "model", 6, 16, models=("tutor-llm",)),
        BackendGroup("bookings-app", "plain", 3, 8, rules=_BOOKING_RULES),
    ),
    classes={
        "homework": {
            "priority": 0,
            "first_token_target_ms": 590,
            "token_gap_target_ms": 65,
            "default_deadline_ms": 5000,
        },
        "booking": {"priority": 0, "latency_target_ms": 500, "default_deadline_ms": 5000},
        "plan": {"priority": 2, "first_token_target_ms": 3000, "default_deadline_ms": 20000},
        "essay": {"priority": 3, "first_token_target_ms": 10000, "default_deadline_ms": 60000},
    },
    customers={
        "students-a": {"bookings-app": "booking", "*": "homework"},
        "students-b": {"bookings-app": "booking", "*": "homework"},
        "students-c": {"bookings-app": "booking", "*": "homework"},
        "parents-a": {"bookings-app": "booking", "*": "homework"},
        "parents-b": {"bookings-app": "booking", "*": "homework"},
        "tutors-a": {"bookings-app": "booking", "*": "plan"},
        "tutors-b": {"bookings-app": "booking", "*": "plan"},
        "marking-a": {"*": "essay"},
        "marking-b": {"*": "essay"},
        "marking-large": {"*": "essay"},
    },
)
