"""A small source tree that the real build script builds, without a package index.

Its packages have the names of the real ones and one line each; the library is a wheel made here,
with an extension module in it. Each module has the number of the sources it is of.
"""

from __future__ import annotations

import fnmatch
import os
import shutil
import subprocess
import sys
import zipfile
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Final

import xxhash

ROOT: Final = Path(__file__).resolve().parents[2]
LIBRARY: Final = "small_library"
# A version with an extension module for another interpreter, which it does without.
FOREIGN_VERSION: Final = "1.2"
# A start that hangs fails the test instead of stopping the run.
_LIMIT_S: Final = 120

_PACKAGES: Final = (
    "packages/turmericweir-core/turmericweir_core",
    "packages/turmericweir/turmericweir",
    "platform/turmericweir_platform",
)
_PROGRAM: Final = """
import sys
import small_library
import turmericweir
import turmericweir_core
from turmericweir_platform import numbered

def main():
    numbers = [turmericweir.NUMBER, turmericweir_core.NUMBER, numbered.NUMBER]
    print("started", flush=True)
    sys.stdin.readline()
    from turmericweir import late
    from turmericweir_platform import late_here
    print(small_library.VERSION, *numbers, late.NUMBER, late_here.NUMBER)

if __name__ == "__main__":
    main()
"""


class BuildTree:
    """The tree, what builds it and what starts from it."""

    def __init__(self, root: Path) -> None:
        self.root = root / "tree"
        self.target = self.root / "target"
        self.deps = self.target / "deps"
        # Where pip unpacks what it installs.
        self.temporary = root / "temporary"
        self.temporary.mkdir()
        self._wheels = root / "wheels"
        self._wheels.mkdir()
        for version in ("1.0", "1.1", FOREIGN_VERSION):
            _make_wheel(self._wheels, version)
        (self.root / "deploy").mkdir(parents=True)
        for file in (ROOT / "deploy").glob("*build*"):
            shutil.copy(file, self.root / "deploy")
        self.require("1.0")
        for package in _PACKAGES:
            (self.root / package).mkdir(parents=True)
        platform = self.root / _PACKAGES[2]
        shutil.copy(ROOT / _PACKAGES[2] / "__init__.py", platform)
        (platform / "__main__.py").write_text(_PROGRAM)
        self.number_sources(1)

    def require(self, version: str) -> None:
        """Pin the library."""
        (self.root / "deploy" / "requirements.txt").write_text(f"small-library=={version}\n")

    def number_sources(self, number: int) -> None:
        """Change every module."""
        for name in (
            f"{_PACKAGES[0]}/__init__.py",
            f"{_PACKAGES[1]}/__init__.py",
            f"{_PACKAGES[1]}/late.py",
            f"{_PACKAGES[2]}/numbered.py",
            f"{_PACKAGES[2]}/late_here.py",
        ):
            (self.root / name).write_text(f"NUMBER = {number}\n")

    def start_build(self, *, has_wheels: bool = True) -> subprocess.Popen[str]:
        """Start the build script in a process group of its own."""
        return subprocess.Popen(
            ["sh", "deploy/build.sh"],
            cwd=self.root,
            env=_environment()
            | {
                "TMPDIR": str(self.temporary),
                "PIP_CONFIG_FILE": os.devnull,
                "PIP_NO_INDEX": "1",
                "PIP_FIND_LINKS": str(self._wheels) if has_wheels else os.devnull,
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )

    def build(self, *, has_wheels: bool = True) -> subprocess.CompletedProcess[str]:
        """Run the build script to its end."""
        with self.start_build(has_wheels=has_wheels) as process:
            out, err = process.communicate(timeout=_LIMIT_S)
        return subprocess.CompletedProcess(process.args, process.returncode, out, err)

    def start(self) -> subprocess.Popen[str]:
        """Start a process of the role; it imports more after a line of input."""
        return subprocess.Popen(
            ["python3", "-S", "-m", "turmericweir_platform"],
            cwd=self.root,
            env=_environment() | {"PYTHONPATH": "target/deps", "PYTHONDONTWRITEBYTECODE": "1"},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run(self) -> list[str]:
        """Return the version of the library and the numbers that a new process sees."""
        with self.start() as process:
            return numbers_seen(process)

    def extension(self) -> Path:
        """The built library's extension module."""
        (file,) = (self.deps / LIBRARY).glob("*.so")
        return file

    def files(self, pattern: str) -> set[tuple[str, int]]:
        """The files under target/ whose name matches, each with its inode."""
        found = set()
        for folder, _, names in os.walk(self.target):
            for name in fnmatch.filter(names, pattern):
                path = f"{folder}/{name}"
                with suppress(FileNotFoundError):
                    found.add((path, os.stat(path).st_ino))
        return found

    def remains(self) -> Iterator[Path]:
        """Folders under target/ that no process is started from."""
        folders = [each for each in self.target.iterdir() if each.is_dir()]
        folders += [each for parent in folders for each in parent.iterdir() if each.is_dir()]
        return (each for each in folders if each.name.startswith("unfinished"))


def numbers_seen(process: subprocess.Popen[str]) -> list[str]:
    """Let the process import what it imports late, and return what it saw."""
    out, err = process.communicate("\n", timeout=_LIMIT_S)
    assert process.returncode == 0, err
    return out.splitlines()[-1].split()


def _environment() -> dict[str, str]:
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    return {"PATH": path, "HOME": os.environ.get("HOME", "/")}


def _make_wheel(folder: Path, version: str) -> None:
    extension = Path(xxhash._xxhash.__file__)  # type: ignore[attr-defined]
    name, needs = extension.name, f"from {LIBRARY} import _xxhash\n"
    if version == FOREIGN_VERSION:
        name, needs = name.replace("cpython-3", "cpython-4"), ""
    info = f"{LIBRARY}-{version}.dist-info"
    files: dict[str, bytes] = {
        f"{LIBRARY}/__init__.py": f"{needs}VERSION = {version!r}\n".encode(),
        f"{LIBRARY}/{name}": extension.read_bytes(),
        f"{info}/METADATA": (
            f"Metadata-Version: 2.1\nName: small-library\nVersion: {version}\n".encode()
        ),
        f"{info}/WHEEL": b"Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
    }
    record = "".join(f"{each},,\n" for each in [*files, f"{info}/RECORD"])
    with zipfile.ZipFile(folder / f"{LIBRARY}-{version}-py3-none-any.whl", "w") as wheel:
        for each, content in files.items():
            wheel.writestr(each, content)
        wheel.writestr(f"{info}/RECORD", record)
