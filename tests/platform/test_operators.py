"""What operators see and change on the platform."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from tests.platform.platform_world import PlatformWorld, call, until
from turmericctl.main import cli


def test_the_command_line_shows_what_an_instance_believes(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        world.look()
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
        dumped = CliRunner().invoke(cli, [*admin, "state"]).output
        assert "key-1" not in dumped


def test_one_command_shows_which_version_runs_where(tmp_path: Path) -> None:
    """
    An operator changes the settings and has to know where they are in force: a call that is judged
    by the old ones goes to the wrong service. One instance is stopped meanwhile and says nothing.
    """
    with PlatformWorld(tmp_path, instances=3, metrics=True) as world:
        cfg = json.loads((tmp_path / "entry-1.json").read_text().split("\n", 1)[1])
        admin = ["--admin", cfg["admin_address"]]

        def shown(*args: str) -> str:
            result = CliRunner().invoke(cli, [*admin, "instances", *args])
            assert result.exit_code == 0
            return result.output

        until(lambda: shown().split()[-1] == "3", "all three run the first version")
        world.running["entry-3"].process.kill()
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        version = world.version
        until(lambda: shown("--all").count(f" {version} ") == 2, "two run the second version")
        until(lambda: "silent" in shown(), "the third is silent")
        lines = shown("--all").splitlines()
        (silent,) = [each for each in lines if "silent" in each]
        assert silent.split()[0] == "entry-3"
        page = call(world.metrics_address, "GET", "/metrics").body.decode()
        assert f"turmericweir_settings_version {float(version)}" in page


def test_counters_and_histograms_are_served_as_text(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, metrics=True) as world:
        assert world.look().status == 200
        page = call(world.metrics_address, "GET", "/metrics").body.decode()
        assert "turmericweir_events_total" in page
        assert "turmericweir_seconds_bucket" in page


def test_a_settings_file_that_changes_is_taken_again(tmp_path: Path) -> None:
    # Without a signal, and a broken one changes nothing.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        path = tmp_path / "entry-1.json"
        good = path.read_text()
        path.write_text("{ broken")
        until(lambda: bool(instance.logged("reload_failed")), "the broken one is read")
        assert world.look().status == 200
        path.write_text(good)
        until(lambda: bool(instance.logged("reloaded")), "the good one is read")
        assert world.look().status == 200
