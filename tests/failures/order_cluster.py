"""A cluster with short leases whose instances order engines to load and unload models.

The orders that engines received are read from the engines' own records. Leases and received
reports are read from the instances' state dumps.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any, Final

from tests.failures.cluster import SMALL
from turmericweir_standins.deployment import (
    OPERATOR_TOKEN,
    BackendGroup,
    Cluster,
    Deployment,
    Instance,
)
from turmericweir_standins.procs import call_json, set_behaviour, wait_until
from turmericweir_standins.record import read_records

EVENT_TIMEOUT_S: Final = 30.0
SERVICE: Final = "lm"
SCOPE: Final = "lm/dc-1"
MODEL: Final = "lm"
# A second model that the engines may serve; it is not loaded at first.
OTHER_MODEL: Final = "aux"
OPTIONS: Final = {
    "lease_s": 3.0,
    "lease_margin_s": 0.5,
    "lease_renew_s": 0.5,
    "lease_read_s": 0.2,
    "order_timeout_s": 0.5,
    "order_longest_s": 1.0,
    "order_retry_s": 2.0,
    "model_sample_s": 0.2,
    "model_demand_s": 1.0,
    "model_round_s": 0.2,
    "model_probe_s": 0.2,
    "model_settle_s": 0.5,
    "model_server_gap_s": 0.0,
    "model_change_s": 0.0,
    "model_warm_s": 0.0,
    # A model without a required server is unloaded soon after its last request.
    "model_last_s": 0.5,
    # Longer than any load; only an outage or a pause ends a lease.
    "model_idle_s": 20.0,
}


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order that an engine received."""

    received_at: float
    engine: str
    kind: str
    label: str
    fence: int
    # `refused`, or the state that the order led to.
    state: str


def order_deployment(*, checks_fence: bool, load_s: float, **settings: Any) -> Deployment:
    """Describe two engines and two instances in one data centre."""
    engines = BackendGroup(
        SERVICE,
        "model",
        2,
        4,
        models=(MODEL,),
        args=(f"--load-s={load_s}",),
        checks_fence=checks_fence,
    )
    service = {
        "kind": "model",
        "slots": 4,
        "models": [MODEL, OTHER_MODEL],
        "checks_fence": checks_fence,
    }
    return replace(
        SMALL,
        data_centres=("dc-1",),
        groups=(engines,),
        policy="counts",
        settings={f"/services/{SERVICE}": service, **settings},
    )


class OrderCluster(Cluster):
    """A cluster whose instances decide which models its engines load."""

    def __init__(self, directory: Path, deployment: Deployment, *, weights_per_s: float) -> None:
        args = (f"--weights-per-s={weights_per_s}",)
        super().__init__(deployment, directory, options=OPTIONS, platform_args=args)

    # --- operators ---

    def set(self, instance: Instance, path: str, value: Any) -> None:
        """Change a setting through an instance."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        answer = call_json(
            instance.admin_address, "PUT", f"/settings{path}", {"value": value}, headers
        )
        assert answer.status == 200, answer.body

    def set_platform_behaviour(self, **changes: object) -> None:
        """Change the behaviour of the platform."""
        set_behaviour(self.platform.address, **changes)

    def can_grant_weights(self) -> bool:
        """Return whether the weight store grants a load; this load is not carried out."""
        body = {"model": OTHER_MODEL, "version": "none"}
        return call_json(self.platform.address, "POST", "/weights/grant", body).status == 200

    # --- orders and loaded models ---

    def received_orders(self) -> list[ReceivedOrder]:
        """Return all orders that engines received, by time."""
        orders = [
            ReceivedOrder(
                record["at"],
                name,
                record["order"]["kind"],
                _label(record["order"]),
                record["order"]["fence"],
                record["state"],
            )
            for name in self.servers
            for record in read_records(self.record_path(name))
            if record["event"] == "order"
        ]
        return sorted(orders, key=lambda order: order.received_at)

    def wait_orders(self, count: int) -> list[ReceivedOrder]:
        """Wait until engines have received this many orders."""
        wait_until(lambda: len(self.received_orders()) >= count, f"{count} orders", EVENT_TIMEOUT_S)
        return self.received_orders()

    def loaded_models(self) -> dict[str, list[str]]:
        """Return the loaded models of every engine."""
        return {
            name: sorted(call_json(process.address, "GET", "/v1/load").body["models"])
            for name, process in self.servers.items()
        }

    def wait_loaded_models(self, *labels: str) -> None:
        """Wait until every engine has loaded exactly these models."""
        expected = sorted(labels)
        wait_until(
            lambda: all(each == expected for each in self.loaded_models().values()),
            f"every engine has loaded {expected}",
            EVENT_TIMEOUT_S,
        )

    # --- views of the instances ---

    def wait_all_live(self) -> None:
        """Wait until all instances list each other as live."""
        for instance in self.instances.values():
            wait_until(
                partial(self._lists_all_live, instance),
                f"{instance.name} lists all as live",
                EVENT_TIMEOUT_S,
            )

    def _lists_all_live(self, instance: Instance) -> bool:
        return set(instance.state()["process"]["live_instances"]) == set(self.instances)

    def leases(self, instance: Instance) -> dict[str, Any]:
        """Return the leases that an instance holds, by scope."""
        leases: dict[str, Any] = instance.state()["leases"]["held_leases"]
        return leases

    def lease_holder(self) -> Instance:
        """Return the instance that holds the lease."""
        return next(each for each in self.instances.values() if SCOPE in self.leases(each))

    def newest_report_seq(self, instance: Instance) -> int:
        """Return the sequence number of the first engine's newest report on an instance."""
        model_record = instance.state()["models"]["direct_reports"].get(f"{SERVICE}-1")
        return 0 if model_record is None else int(model_record["report"]["seq"])

    def wait_newer_reports(self, instance: Instance, count: int) -> None:
        """Wait until an instance has received and processed this many newer reports."""
        for _ in range(count):
            before = self.newest_report_seq(instance)
            newer = partial(self._has_newer_report, instance, before)
            wait_until(newer, f"{instance.name} receives a newer report", EVENT_TIMEOUT_S)

    def _has_newer_report(self, instance: Instance, seq: int) -> bool:
        return self.newest_report_seq(instance) > seq


@contextmanager
def paused(instance: Instance) -> Iterator[None]:
    """Pause an instance's process and resume it at the end of the block."""
    instance.process.pause()
    try:
        yield
    finally:
        instance.process.resume()


def _label(order: dict[str, Any]) -> str:
    version = f"@{order['version']}" if order["version"] else ""
    return f"{order['model']}{version}"
