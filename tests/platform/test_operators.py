"""Tests of the operators' tools on the platform."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from tests.platform.platform_world import PlatformWorld, call, until
from turmericctl.main import cli


def test_command_line_shows_the_state_of_an_instance(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        world.send_safe()
        cfg = json.loads((tmp_path / "entry-1.json").read_text().split("\n", 1)[1])
        admin = ["--admin", cfg["admin_address"]]
        servers = CliRunner().invoke(cli, [*admin, "servers"])
        assert servers.exit_code == 0
        assert all(name in servers.output for name in world.servers)
        status = CliRunner().invoke(cli, [*admin, "status"])
        assert status.exit_code == 0
        assert "entry-1" in status.output
        beliefs = json.loads(CliRunner().invoke(cli, [*admin, "state", "beliefs"]).output)
        assert beliefs["settings_version"] == 1
        assert beliefs["store_readers"] == ["entry-1"]
        assert beliefs["key_proof_age_s"] >= 0
        state_dump = CliRunner().invoke(cli, [*admin, "state"]).output
        assert "key-1" not in state_dump


def test_command_line_shows_settings_versions_of_instances(tmp_path: Path) -> None:
    """Guards against hiding instances that still have old settings or do not report."""
    with PlatformWorld(tmp_path, instances=3, metrics=True) as world:
        cfg = json.loads((tmp_path / "entry-1.json").read_text().split("\n", 1)[1])
        admin = ["--admin", cfg["admin_address"]]

        def instances_output(*args: str) -> str:
            result = CliRunner().invoke(cli, [*admin, "instances", *args])
            assert result.exit_code == 0
            return result.output

        until(lambda: instances_output().split()[-1] == "3", "all three have the first version")
        world.running["entry-3"].process.kill()
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        version = world.version
        until(
            lambda: instances_output("--all").count(f" {version} ") == 2,
            "two have the second version",
        )
        until(lambda: "silent" in instances_output(), "the third is reported as silent")
        lines = instances_output("--all").splitlines()
        (silent_line,) = [line for line in lines if "silent" in line]
        assert silent_line.split()[0] == "entry-3"
        page = call(world.metrics_address, "GET", "/metrics").body.decode()
        assert f"turmericweir_settings_version {float(version)}" in page


def test_metrics_are_served_as_text(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, metrics=True) as world:
        assert world.send_safe().status == 200
        page = call(world.metrics_address, "GET", "/metrics").body.decode()
        assert "turmericweir_events_total" in page
        assert "turmericweir_seconds_bucket" in page


def test_changed_settings_file_is_reloaded(tmp_path: Path) -> None:
    # Guards against requiring a signal, and against applying a malformed file.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        path = tmp_path / "entry-1.json"
        valid_text = path.read_text()
        path.write_text("{ broken")
        until(lambda: bool(instance.logged("reload_failed")), "the malformed file is read")
        assert world.send_safe().status == 200
        path.write_text(valid_text)
        until(lambda: bool(instance.logged("reloaded")), "the valid file is read")
        assert world.send_safe().status == 200
