"""Tests of the settings file that the platform replaces while the process runs."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import pytest
from returns.pipeline import is_successful

from turmericweir.process.entry_settings import SettingsFile

SETTINGS: dict[str, Any] = {
    "name": "entry-1",
    "data_centre": "dc-1",
    "region": "home",
    "caller_address": "127.0.0.1:1",
    "readiness_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "store": {"address": "127.0.0.1:4"},
}
WRITTEN_AT = (1_000, 1_000)


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "settings.json"


def write(path: Path, text: str) -> None:
    """Write a file in place; all writes are within one step of the file system's clock."""
    path.write_text(text)
    os.utime(path, WRITTEN_AT)


def needs_read(file: SettingsFile) -> bool:
    return file.has_changed() or not file.is_confirmed()


def test_unchanged_file_is_read_twice_and_then_left_alone(path: Path) -> None:
    # Guards against reads of the settings for as long as the process runs.
    write(path, json.dumps(SETTINGS))
    file = SettingsFile(path)
    for _ in range(2):
        assert needs_read(file)
        assert is_successful(file.read())
    assert not needs_read(file)


def test_file_that_is_not_whole_is_read_again(path: Path) -> None:
    # Guards against a change that is never noticed, as its parts have one time of modification.
    text = json.dumps(SETTINGS)
    file = SettingsFile(path)
    write(path, text[:-9] + " " * 9)
    for _ in range(3):
        assert not is_successful(file.read())
        assert needs_read(file)
    write(path, text)
    assert needs_read(file)
    assert is_successful(file.read())


def test_second_write_within_one_step_of_the_clock_is_noticed(path: Path) -> None:
    # Guards against settings that stay out of force as they look like those before.
    file = SettingsFile(path)
    for name in ("entry-1", "entry-2"):
        write(path, json.dumps({**SETTINGS, "name": name}))
        assert needs_read(file)
        assert file.read().unwrap().name == name


def test_file_that_comes_back_is_noticed(path: Path) -> None:
    # Guards against a change that is missed as the file was absent between.
    file = SettingsFile(path)
    assert not is_successful(file.read())
    write(path, json.dumps(SETTINGS))
    assert file.has_changed()
