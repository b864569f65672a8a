"""Builds what processes run from: the libraries and our packages, compiled, in target/deps.

`build.sh` runs this. Each build is a folder of its own under target/builds: it is made beside the
one in use, checked by `build_check.py`, and then `target/deps`, a link, is pointed to it in one
step. A process resolves the link when it starts, so earlier folders are kept for those that run.
A build that is cut off or fails leaves an unfinished folder at most, which the next one removes.
"""

from __future__ import annotations

import compileall
import fcntl
import py_compile
import secrets
import shutil
import subprocess
import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Final

from deploy.build_record import Conditions, Record, digests, without_bytecode
from deploy.build_swap import point_link

_REQUIREMENTS: Final = Path("deploy/requirements.txt")
_CHECK: Final = Path("deploy/build_check.py")
_PACKAGES: Final = (
    Path("packages/turmericweir-core/turmericweir_core"),
    Path("packages/turmericweir/turmericweir"),
    Path("platform/turmericweir_platform"),
)
_TARGET: Final = Path("target")
_LINK: Final = _TARGET / "deps"
_BUILDS: Final = _TARGET / "builds"
_LOCK: Final = _TARGET / ".build-lock"
_UNFINISHED: Final = "unfinished"
_KEPT_EARLIER_BUILDS: Final = 3


class BuildError(Exception):
    """A build cannot be made, or cannot be used."""


def main() -> int:
    """Build in the current folder, the root of the repository."""
    try:
        with _only_build():
            _build()
    except (BuildError, OSError) as exc:
        sys.stderr.write(f"build failed, {_LINK} is unchanged: {exc}\n")
        return 1
    return 0


@contextmanager
def _only_build() -> Iterator[None]:
    """Wait until no other build runs; remove what cut-off ones left."""
    _BUILDS.mkdir(parents=True, exist_ok=True)
    with _LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        _remove_unfinished()
        try:
            yield
        finally:
            _remove_unfinished()


def _build() -> None:
    conditions = Conditions.current(_REQUIREMENTS)
    record = Record.read(_LINK)
    present = digests(_LINK) if record else {}
    has_libraries = (
        record is not None
        and record.conditions == conditions
        and _libraries(record.files) == _libraries(present)
    )
    # A folder in place of the link cannot be replaced without mixing builds in processes that run.
    is_current = has_libraries and _LINK.is_symlink() and _is_source(present)
    if record and is_current and _has_bytecode(record.files, present):
        return
    # A name of its own: pip goes on in the folder of a build that was killed.
    folder = _BUILDS / f"{_UNFINISHED}-{secrets.token_hex(8)}"
    if has_libraries:
        shutil.copytree(_LINK, folder, ignore=_ignore_own)
    else:
        _install(folder)
    for package in _PACKAGES:
        shutil.copytree(package, folder / package.name, ignore=_ignore_bytecode)
    # Not by time: a copied folder's files have new times, and processes cannot write bytecode.
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    compileall.compile_dir(folder, quiet=1, invalidation_mode=mode)
    _check(folder)
    Record(conditions, digests(folder)).write(folder)
    finished = _BUILDS / _next_name()
    folder.rename(finished)
    point_link(_LINK, finished, _TARGET / _UNFINISHED)
    _remove_earlier(finished)


def _libraries(files: Mapping[str, str]) -> dict[str, str]:
    own = {package.name for package in _PACKAGES}
    sources = without_bytecode(files)
    return {path: digest for path, digest in sources.items() if path.split("/")[0] not in own}


def _is_source(files: Mapping[str, str]) -> bool:
    """Return whether our packages among the files are those of the work tree."""
    source = {
        f"{package.name}/{path}": digest
        for package in _PACKAGES
        for path, digest in without_bytecode(digests(package)).items()
    }
    return without_bytecode(files) == _libraries(files) | source


def _has_bytecode(recorded: Mapping[str, str], present: Mapping[str, str]) -> bool:
    """Return whether no bytecode is lost, and what others have written again can be imported."""
    if recorded.items() <= present.items():
        return True
    try:
        _check(_LINK)
    except BuildError:
        return False
    return recorded.keys() <= present.keys()


def _ignore_bytecode(_: str, names: list[str]) -> list[str]:
    return [name for name in names if name == "__pycache__"]


def _ignore_own(folder: str, names: list[str]) -> list[str]:
    own = {package.name for package in _PACKAGES} if Path(folder) == _LINK else set()
    return [name for name in names if name in own or name == "__pycache__"]


def _install(folder: Path) -> None:
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--disable-pip-version-check"]
    target = ["--no-compile", "--target", str(folder), "--requirement", str(_REQUIREMENTS)]
    if subprocess.run([*pip, *target], check=False).returncode:
        raise BuildError(f"cannot install the libraries of {_REQUIREMENTS}")


def _check(folder: Path) -> None:
    """Import from the folder alone, as processes do."""
    command = [sys.executable, "-S", "-I", "-B", str(_CHECK), str(folder), str(_REQUIREMENTS)]
    result = subprocess.run(command, check=False, stderr=subprocess.PIPE, text=True)
    if result.returncode:
        lines = result.stderr.splitlines() or [f"the check ended with {result.returncode}"]
        raise BuildError(lines[-1])


def _finished_numbers() -> list[int]:
    return sorted(int(each.name) for each in _BUILDS.iterdir() if each.name.isdecimal())


def _next_name() -> str:
    return str(max(_finished_numbers(), default=0) + 1)


def _remove_earlier(current: Path) -> None:
    earlier = [number for number in _finished_numbers() if str(number) != current.name]
    for number in earlier[:-_KEPT_EARLIER_BUILDS]:
        # The new build is in use, whatever cannot be removed.
        with suppress(OSError):
            # Renamed first, so that a removal that is cut off leaves no half folder that looks
            # whole.
            aside = (_BUILDS / str(number)).rename(_BUILDS / f"{_UNFINISHED}-{number}")
            shutil.rmtree(aside, ignore_errors=True)


def _remove_unfinished() -> None:
    for parent in (_BUILDS, _TARGET):
        for entry in parent.glob(f"{_UNFINISHED}*"):
            if entry.is_symlink():
                entry.unlink()
            else:
                # What pip still writes there is left for the next build.
                shutil.rmtree(entry, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
