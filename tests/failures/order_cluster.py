"""A cluster whose entry instances give orders to engines, with short leases.

What the engines were told is read from their own records; who holds a lease, and what an instance
has seen, from the instances' state dumps.
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

SEEN_S: Final = 30.0
SERVICE: Final = "lm"
SCOPE: Final = "lm/dc-1"
MODEL: Final = "lm"
# A second model that the engines may serve and do not have at first.
OTHER: Final = "aux"
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
    # A model that no server needs to have goes as soon as nothing asks for it.
    "model_last_s": 0.5,
    # Longer than any load, so that only an outage or a pause ends a lease.
    "model_idle_s": 20.0,
}


@dataclass(frozen=True, slots=True)
class Told:
    """An order that an engine was given."""

    at: float
    engine: str
    kind: str
    label: str
    fence: int
    # `refused`, or what the order came to.
    state: str


def deployment(*, checks_fence: bool, load_s: float, **settings: Any) -> Deployment:
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
        "models": [MODEL, OTHER],
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
    """Engines that are told which models to have."""

    def __init__(self, directory: Path, described: Deployment, *, weights_per_s: float) -> None:
        args = (f"--weights-per-s={weights_per_s}",)
        super().__init__(described, directory, options=OPTIONS, platform_args=args)

    # --- operators ---

    def set(self, instance: Instance, path: str, value: Any) -> None:
        """Change a setting by way of an instance."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        answer = call_json(
            instance.admin_address, "PUT", f"/settings{path}", {"value": value}, headers
        )
        assert answer.status == 200, answer.body

    def platform_behave(self, **changes: object) -> None:
        """Change the behaviour of the platform."""
        set_behaviour(self.platform.address, **changes)

    def gets_weights(self) -> bool:
        """Ask the weight store for a load that nobody makes; tell whether it would grant one."""
        body = {"model": OTHER, "version": "none"}
        return call_json(self.platform.address, "POST", "/weights/grant", body).status == 200

    # --- what happened ---

    def told(self) -> list[Told]:
        """List all orders that engines were given, in time."""
        found = [
            Told(
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
        return sorted(found, key=lambda told: told.at)

    def wait_told(self, count: int) -> list[Told]:
        """Wait until engines were given so many orders."""
        wait_until(lambda: len(self.told()) >= count, f"{count} orders", SEEN_S)
        return self.told()

    def models(self) -> dict[str, list[str]]:
        """Give what every engine has loaded."""
        return {
            name: sorted(call_json(process.address, "GET", "/v1/load").body["models"])
            for name, process in self.servers.items()
        }

    def wait_models(self, *labels: str) -> None:
        """Wait until every engine has exactly these."""
        wanted = sorted(labels)
        wait_until(
            lambda: all(each == wanted for each in self.models().values()),
            f"every engine has {wanted}",
            SEEN_S,
        )

    # --- what instances believe ---

    def wait_met(self) -> None:
        """Wait until all instances take each other for live."""
        for each in self.instances.values():
            wait_until(partial(self._has_met, each), f"{each.name} has met all", SEEN_S)

    def _has_met(self, instance: Instance) -> bool:
        return set(instance.state()["process"]["live_instances"]) == set(self.instances)

    def leases(self, instance: Instance) -> dict[str, Any]:
        """Give the leases that an instance holds, by scope."""
        held: dict[str, Any] = instance.state()["leases"]["held"]
        return held

    def holder(self) -> Instance:
        """Find the instance that holds the lease."""
        return next(each for each in self.instances.values() if SCOPE in self.leases(each))

    def reports_seen(self, instance: Instance) -> int:
        """Count the reports that an instance has had from the first engine itself."""
        seen = instance.state()["models"]["seen"].get(f"{SERVICE}-1")
        return 0 if seen is None else int(seen["report"]["seq"])

    def wait_rounds(self, instance: Instance, count: int) -> None:
        """Wait until an instance has compared reports with what is wanted so many more times."""
        for _ in range(count):
            before = self.reports_seen(instance)
            newer = partial(self._has_newer, instance, before)
            wait_until(newer, f"{instance.name} sees another report", SEEN_S)

    def _has_newer(self, instance: Instance, seq: int) -> bool:
        return self.reports_seen(instance) > seq


@contextmanager
def paused(instance: Instance) -> Iterator[None]:
    """Stop a process and let it go on at the end."""
    instance.process.pause()
    try:
        yield
    finally:
        instance.process.resume()


def _label(order: dict[str, Any]) -> str:
    version = f"@{order['version']}" if order["version"] else ""
    return f"{order['model']}{version}"
