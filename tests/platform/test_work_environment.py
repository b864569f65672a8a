"""Tests of when `make venv` sets up .venv anew; the commands are listed and not run."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import sysconfig
from collections.abc import Callable
from pathlib import Path
from typing import Final

import pytest

from tests.platform.build_tree import ROOT

_ABI: Final = str(sysconfig.get_config_var("SOABI"))


@pytest.fixture
def root(tmp_path: Path) -> Path:
    """A work tree whose environment was set up."""
    for name in ("Makefile", "pyproject.toml", "requirements-dev.txt", "platform/pyproject.toml"):
        (tmp_path / name).parent.mkdir(exist_ok=True)
        shutil.copy(ROOT / name, tmp_path / name)
    programs = tmp_path / ".venv" / "bin"
    programs.mkdir(parents=True)
    (programs / "python").symlink_to(sys.executable)
    libraries = tmp_path / ".venv" / "lib"
    libraries.mkdir()
    (libraries / f"fast.{_ABI}.so").touch()
    (libraries / "stable.abi3.so").touch()
    (tmp_path / ".venv" / ".stamp").touch()
    return tmp_path


def _listed_commands(root: Path) -> list[str]:
    environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
    command = ["make", "--dry-run", "--no-print-directory", "venv"]
    result = subprocess.run(
        command, cwd=root, env=environment, capture_output=True, text=True, check=True
    )
    return result.stdout.splitlines()


def test_environment_that_was_set_up_is_left_as_it_is(root: Path) -> None:
    # Guards against installing all tools at each run.
    assert not [line for line in _listed_commands(root) if "pip" in line]


def _is_of_another_architecture(root: Path) -> None:
    own = root / ".venv" / "lib" / f"fast.{_ABI}.so"
    other = "aarch64" if "x86_64" in _ABI else "x86_64"
    own.rename(own.with_name(f"fast.cpython-311-{other}-linux-gnu.so"))


def _is_of_another_python(root: Path) -> None:
    own = root / ".venv" / "lib" / f"fast.{_ABI}.so"
    own.rename(own.with_name(own.name.replace("cpython-3", "cpython-4")))


def _has_no_interpreter(root: Path) -> None:
    python = root / ".venv" / "bin" / "python"
    python.unlink()
    python.symlink_to("absent")


@pytest.mark.parametrize(
    "spoil", [_is_of_another_architecture, _is_of_another_python, _has_no_interpreter]
)
def test_environment_of_another_machine_is_set_up_anew(
    root: Path, spoil: Callable[[Path], None]
) -> None:
    # Guards against tools and libraries that do not start, since a stamp says that all is there.
    spoil(root)
    commands = _listed_commands(root)
    assert [line for line in commands if line.startswith("rm -rf .venv")]
    assert [line for line in commands if "-m venv" in line]
    assert [line for line in commands if "-m pip install" in line]
