"""Tests of the duties, with real processes and a stand-in for the platform's API."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from tests.platform.platform_world import PlatformWorld, document, until
from turmericctl.main import cli

# Short windows keep the tests fast.
DUTIES: dict[str, Any] = {"kinds": ["metering"], "lease_ms": 1000, "window_s": 2, "late_s": 4}


def send_and_count_served(world: PlatformWorld, count: int) -> int:
    """Send requests to the running instances in turn; return how many were served."""
    names = [name for name, instance in world.running.items() if instance.process.is_running]
    statuses = [world.send_safe(instance=names[n % len(names)]).status for n in range(count)]
    return statuses.count(200)


def test_usage_is_reported_once_by_one_holder(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, instances=3, duties=dict(DUTIES)) as world:
        served = send_and_count_served(world, 30)
        assert world.send().status == 200
        until(
            lambda: world.duty_standin.reported_requests() == served + 1,
            "all requests are reported",
        )
        assert len(world.duty_standin.holders()) == 1
        assert all(
            set(each) <= {"school"} for each in world.duty_standin.counts_by_window().values()
        )


def test_successor_of_a_killed_holder_reports_usage(tmp_path: Path) -> None:
    """Guards against usage that is never reported after the holder has died."""
    with PlatformWorld(tmp_path, instances=3, duties=dict(DUTIES)) as world:
        until(lambda: bool(world.duty_standin.holders()), "an instance holds the duties")
        holder = world.duty_standin.holders()[0]
        world.running[holder].process.kill()
        until(lambda: len(world.duty_standin.holders()) > 1, "another instance holds the duties")
        reported_before = world.duty_standin.reported_requests()
        served = send_and_count_served(world, 20)
        until(
            lambda: world.duty_standin.reported_requests() == reported_before + served,
            "the new requests are reported",
        )
        fences = [each.fence for each in world.duty_standin.accepted]
        assert fences == sorted(fences)


def test_stopping_holder_hands_over_the_duties(tmp_path: Path) -> None:
    """Guards against losing the counts of a stopping instance."""
    with PlatformWorld(tmp_path, instances=3, duties=dict(DUTIES)) as world:
        until(lambda: bool(world.duty_standin.holders()), "an instance holds the duties")
        served = send_and_count_served(world, 20)
        holder = world.duty_standin.holders()[0]
        world.running[holder].process.terminate()
        until(lambda: world.duty_standin.reported_requests() == served, "all requests are reported")
        until(
            lambda: world.duty_standin.holders()[-1] != holder, "another instance holds the duties"
        )


def test_reports_are_sent_after_a_platform_outage(tmp_path: Path) -> None:
    """Guards against losing windows while the platform does not answer."""
    with PlatformWorld(tmp_path, instances=2, duties=dict(DUTIES)) as world:
        until(lambda: bool(world.duty_standin.holders()), "an instance holds the duties")
        world.duty_standin.mode = "silent"
        served = send_and_count_served(world, 20)
        windows = len(world.duty_standin.counts_by_window())
        until(lambda: _count_settled_windows(world) >= windows + 2, "windows are settled meanwhile")
        world.duty_standin.mode = ""
        until(lambda: world.duty_standin.reported_requests() == served, "all requests are reported")


def _count_settled_windows(world: PlatformWorld) -> int:
    return sum(len(each.logged("usage_settled")) for each in world.running.values())


@pytest.mark.parametrize("mode", ["unanswered", "late"])
def test_usage_is_counted_once_though_its_report_is_made_again(tmp_path: Path, mode: str) -> None:
    # Guards against usage that is counted twice where a report is carried out and not answered.
    with PlatformWorld(tmp_path, instances=2, duties={**DUTIES, "window_s": 1}) as world:
        standin = world.duty_standin
        until(lambda: bool(standin.holders()), "an instance holds the duties")
        holder = world.running[standin.holders()[0]]
        served = [world.send_safe(instance=name) for name in world.running for _ in range(5)]
        assert {each.status for each in served} == {200}
        standin.mode = mode
        windows = len(holder.logged("usage_settled"))
        until(lambda: len(holder.logged("usage_settled")) >= windows + 2, "windows are settled")
        if mode == "late":
            # Its calls are carried out after those of the next holder have begun.
            holder.process.pause()
            until(lambda: _holds_duties(world, holder.name), "another instance holds the duties")
            holder.process.resume()
        standin.mode = ""
        until(lambda: standin.reported_requests() == len(served), "all usage is reported")
        until(lambda: len(standin.counts_by_window()) > windows + 2, "later windows are reported")
        assert standin.reported_requests() == len(served)


def _holds_duties(world: PlatformWorld, other_than: str) -> bool:
    names = [name for name in world.running if name != other_than]
    return any(world.running[name].logged("lease_held") for name in names)


def test_spot_servers_are_ordered_before_others_are_released(tmp_path: Path) -> None:
    duties = {**DUTIES, "kinds": ["autoscaling"]}
    with PlatformWorld(tmp_path, engines=8, duties=duties) as world:
        lm, shop = document(1)["services"]
        autoscale = {
            "min": 1,
            "max": 20,
            "boot-s": 0.1,
            "spot-price": 0.2,
            "zone-prices": {"dc-1": 1},
        }
        world.publish(services=[{**lm, "autoscale": autoscale}, shop])
        until(lambda: bool(world.duty_standin.orders()), "servers are ordered")
        first_order = world.duty_standin.orders()[0]
        assert first_order == {"service": "lm", "zone": "dc-1", "desired": 12, "spot": True}
        assert len(world.duty_standin.orders()) == 1
        for number in range(9, 21):
            world.add_server(f"lm-{number}", "lm")
            world.register(f"lm-{number}", spot=True)
        until(
            lambda: any("spot" not in each for each in world.duty_standin.orders()),
            "fewer lasting servers are ordered",
        )
        lasting_orders = [each for each in world.duty_standin.orders() if "spot" not in each]
        assert lasting_orders[0] == {"service": "lm", "zone": "dc-1", "desired": 1}


def test_command_line_shows_the_duty_holder(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, instances=1, duties=dict(DUTIES)) as world:
        until(lambda: bool(world.duty_standin.holders()), "an instance holds the duties")
        cfg = json.loads((tmp_path / "entry-1.json").read_text().split("\n", 1)[1])
        result = CliRunner().invoke(cli, ["--admin", cfg["admin_address"], "duties"])
        assert result.exit_code == 0
        assert "holder      entry-1, fencing number 0" in result.output
        assert "reported" in result.output


def test_command_line_reports_a_platform_without_duties(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        world.send_safe()
        cfg = json.loads((tmp_path / "entry-1.json").read_text().split("\n", 1)[1])
        result = CliRunner().invoke(cli, ["--admin", cfg["admin_address"], "duties"])
        assert result.exit_code != 0
        assert "no duties" in str(result.exception)
        assert world.store.answered["keyed.leases"] == 0


def test_invalid_duty_settings_prevent_the_start(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, instances=0, duties={**DUTIES, "window_s": 0}) as world:
        instance = world.add_instance("entry-1", wait=False)
        until(lambda: not instance.process.is_running, "the process ends")
        assert "duties.window_s" in instance.process.stderr_text()


def test_commands_of_operators_import_nothing_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against modules that a long-running process looks for when its build is gone.
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    with PlatformWorld(tmp_path, instances=1, duties=dict(DUTIES)) as world:
        until(lambda: bool(world.duty_standin.holders()), "an instance holds the duties")
        stderr = world.running["entry-1"].process.stderr_path
        at_start = len(stderr.read_text().splitlines())
        assert at_start
        cfg = json.loads((tmp_path / "entry-1.json").read_text().split("\n", 1)[1])
        for command in ("duties", "servers", "status", "state"):
            result = CliRunner().invoke(cli, ["--admin", cfg["admin_address"], command])
            assert result.exit_code == 0
        imported = stderr.read_text().splitlines()[at_start:]
    assert not [line for line in imported if "turmericweir" in line]
