"""Tests of the build script: what it leaves under target/ starts, whatever was there before."""

from __future__ import annotations

import compileall
import errno
import json
import os
import py_compile
import shutil
import signal
import subprocess
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import Final

import pytest

from deploy import build, build_swap
from tests.platform.build_tree import FOREIGN_VERSION, LIBRARY, BuildTree, numbers_seen

BUILDS: Final = 6
FIRST: Final = ["1.0", "1", "1", "1", "1", "1"]
SECOND: Final = ["1.1", "2", "2", "2", "2", "2"]


@pytest.fixture
def tree(tmp_path: Path) -> BuildTree:
    """A tree that was built once."""
    built = BuildTree(tmp_path)
    result = built.build()
    assert result.returncode == 0, result.stderr
    assert built.run() == FIRST
    return built


def _is_of_another_architecture(tree: BuildTree) -> None:
    extension = tree.extension()
    names = {"x86_64": "aarch64", "aarch64": "x86_64"}
    name = extension.name
    for own, other in names.items():
        if own in name:
            extension.rename(extension.with_name(name.replace(own, other)))
            return
    raise AssertionError(f"{name} names no architecture")


def _is_of_another_python(tree: BuildTree) -> None:
    extension = tree.extension()
    extension.rename(extension.with_name(extension.name.replace("cpython-3", "cpython-4")))


def _is_emptied(tree: BuildTree) -> None:
    for entry in tree.deps.iterdir():
        shutil.rmtree(entry) if entry.is_dir() else entry.unlink()


def _has_lost_the_library(tree: BuildTree) -> None:
    shutil.rmtree(tree.deps / LIBRARY)


def _has_lost_a_module(tree: BuildTree) -> None:
    (tree.deps / LIBRARY / "__init__.py").unlink()


def _has_a_short_module(tree: BuildTree) -> None:
    file = tree.extension()
    file.write_bytes(file.read_bytes()[:100])


def _has_short_bytecode(tree: BuildTree) -> None:
    (file,) = (tree.deps / LIBRARY / "__pycache__").glob("__init__*.pyc")
    file.write_bytes(file.read_bytes()[:20])


def _is_of_another_version(tree: BuildTree) -> None:
    tree.require("1.1")
    assert tree.build().returncode == 0
    tree.require("1.0")
    os.utime(tree.root / "deploy" / "requirements.txt", (0, 0))


def _is_gone(tree: BuildTree) -> None:
    real = tree.deps.resolve()
    tree.deps.unlink() if tree.deps.is_symlink() else None
    shutil.rmtree(real)


@pytest.mark.parametrize(
    "spoil",
    [
        _is_of_another_architecture,
        _is_of_another_python,
        _is_emptied,
        _has_lost_the_library,
        _has_lost_a_module,
        _has_a_short_module,
        _has_short_bytecode,
        _is_of_another_version,
        _is_gone,
    ],
)
def test_what_was_built_is_not_trusted_without_its_content(
    tree: BuildTree, spoil: Callable[[BuildTree], None]
) -> None:
    # Guards against a build that succeeds on libraries with which no process starts.
    spoil(tree)
    result = tree.build()
    assert result.returncode == 0, result.stderr
    assert tree.run() == FIRST


def test_starts_beside_builds_see_one_build(tree: BuildTree) -> None:
    # Guards against processes that do not start, or mix two builds, while a build replaces files.
    results: list[subprocess.CompletedProcess[str]] = []

    def build() -> None:
        for number in range(2, BUILDS + 2):
            tree.number_sources(number)
            results.append(tree.build())

    seen = []
    with ThreadPoolExecutor(1) as executor:
        fut = executor.submit(build)
        while not fut.done():
            seen.append(tree.run())
        fut.result()
    assert [result.returncode for result in results] == [0] * BUILDS, results
    assert seen
    assert all(len(set(numbers)) == 1 for _, *numbers in seen), seen


def test_late_imports_are_of_the_build_of_the_start(tree: BuildTree) -> None:
    # Guards against a running process that mixes modules of two builds.
    with tree.start() as process:
        assert process.stdout
        assert process.stdout.readline() == "started\n"
        tree.number_sources(2)
        tree.require("1.1")
        assert tree.build().returncode == 0
        assert tree.run() == SECOND
        assert numbers_seen(process) == FIRST


@pytest.mark.parametrize("written", ["METADATA", "late.py", "late_here.py", "late.cpython-*.pyc"])
def test_build_that_was_killed_leaves_one_that_starts(tree: BuildTree, written: str) -> None:
    # Guards against half-made folders that are started from, or trusted by the next build.
    before = tree.files(written)
    tree.number_sources(2)
    tree.require("1.1")
    with tree.start_build() as process:
        while process.poll() is None:
            if tree.files(written) - before:
                break
        with suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        process.communicate()
    assert tree.run() in (FIRST, SECOND)
    result = tree.build()
    assert result.returncode == 0, result.stderr
    assert tree.run() == SECOND
    assert not list(tree.remains())


def test_installation_that_outlives_its_build_does_not_reach_the_next(tree: BuildTree) -> None:
    # Guards against pip, left alone by a killed build, that installs into the next one's folder.
    tree.require("1.1")
    with tree.start_build() as killed:
        while not list(tree.temporary.glob("pip-target-*/**/METADATA")):
            assert killed.poll() is None
        pip = int(Path(f"/proc/{killed.pid}/task/{killed.pid}/children").read_text())
        os.kill(pip, signal.SIGSTOP)
        killed.kill()
        tree.require("1.0")
        shutil.rmtree(tree.deps / LIBRARY)
        with tree.start_build() as process:
            while len(list(tree.temporary.glob("pip-target-*"))) < 2 and process.poll() is None:
                pass
            os.kill(pip, signal.SIGCONT)
            _, err = process.communicate()
    assert process.returncode == 0, err
    assert tree.run() == FIRST


def test_build_whose_libraries_are_not_found_leaves_the_old_one(tree: BuildTree) -> None:
    # Guards against a failed build that takes away what processes start from.
    tree.require("9.9")
    result = tree.build()
    assert result.returncode != 0
    assert tree.run() == FIRST


def test_build_that_does_not_import_leaves_the_old_one(tree: BuildTree) -> None:
    # Guards against a build that succeeds with a module that no process can import.
    tree.number_sources(2)
    late = tree.root / "packages" / "turmericweir" / "turmericweir" / "late.py"
    late.write_text("import absent_library\n")
    result = tree.build()
    assert result.returncode != 0
    assert "absent_library" in result.stderr.splitlines()[-1]
    assert tree.run() == FIRST
    assert not list(tree.remains())


def test_two_builds_at_once_are_both_right(tree: BuildTree) -> None:
    # Guards against two builds that remove each other's files.
    for number in range(2, 4):
        tree.number_sources(number)
        shutil.rmtree(tree.deps / LIBRARY)
        with tree.start_build() as one, tree.start_build() as other:
            ends = [each.communicate()[1] for each in (one, other)]
        assert (one.returncode, other.returncode) == (0, 0), ends
        assert tree.run() == ["1.0", *[str(number)] * 5]


def test_unchanged_build_installs_nothing(tree: BuildTree) -> None:
    # Guards against builds that need the package index without a change.
    result = tree.build(has_wheels=False)
    assert result.returncode == 0, result.stderr
    tree.number_sources(2)
    result = tree.build(has_wheels=False)
    assert result.returncode == 0, result.stderr
    assert tree.run() == ["1.0", "2", "2", "2", "2", "2"]


def test_bytecode_that_others_write_again_is_left_as_it_is(tree: BuildTree) -> None:
    # Guards against installing and compiling again after each program that compiles what it runs.
    built = tree.deps.resolve()
    for file in (tree.deps / LIBRARY / "__pycache__").iterdir():
        file.unlink()
    mode = py_compile.PycInvalidationMode.TIMESTAMP
    compileall.compile_dir(tree.deps, force=True, quiet=1, invalidation_mode=mode)
    result = tree.build(has_wheels=False)
    assert result.returncode == 0, result.stderr
    assert tree.deps.resolve() == built
    assert tree.run() == FIRST


def test_lost_bytecode_is_made_again(tree: BuildTree) -> None:
    # Guards against processes that compile at each start, since they cannot keep the result.
    folder = tree.deps / LIBRARY / "__pycache__"
    shutil.rmtree(folder)
    result = tree.build(has_wheels=False)
    assert result.returncode == 0, result.stderr
    assert list(folder.iterdir())
    assert tree.run() == FIRST


def test_module_that_was_removed_is_not_built(tree: BuildTree) -> None:
    # Guards against modules of an earlier build that stay importable.
    extra = tree.root / "packages" / "turmericweir" / "turmericweir" / "extra.py"
    extra.write_text("")
    assert tree.build().returncode == 0
    assert (tree.deps / "turmericweir" / "extra.py").exists()
    extra.unlink()
    assert tree.build().returncode == 0
    assert not (tree.deps / "turmericweir" / "extra.py").exists()


def test_build_replaces_a_real_folder(tree: BuildTree) -> None:
    # Guards against a build that cannot replace the folder that an earlier script made.
    real = tree.deps.resolve()
    if tree.deps.is_symlink():
        tree.deps.unlink()
    shutil.copytree(real, tree.target / "copy")
    if tree.deps.exists():
        shutil.rmtree(tree.deps)
    (tree.target / "copy").rename(tree.deps)
    (tree.target / ".deps-stamp").touch()
    tree.number_sources(2)
    tree.require("1.1")
    result = tree.build()
    assert result.returncode == 0, result.stderr
    assert tree.run() == SECOND


def test_link_replaces_a_real_folder_where_names_cannot_be_exchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a build that fails on file systems that cannot exchange two names.
    def refuse(one: Path, other: Path) -> None:
        raise OSError(errno.EINVAL, f"cannot exchange {one} and {other}")

    monkeypatch.setattr(build_swap, "_exchange", refuse)
    link, folder = tmp_path / "deps", tmp_path / "builds" / "1"
    for each in (link, folder):
        each.mkdir(parents=True)
    build_swap.point_link(link, folder, tmp_path / "spare")
    assert link.resolve() == folder
    assert sorted(each.name for each in tmp_path.iterdir()) == ["builds", "deps"]


def test_link_replaces_a_real_folder_that_cannot_be_renamed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a build that fails on a folder of a lower layer of an overlay file system.
    link, folder = tmp_path / "deps", tmp_path / "builds" / "1"
    for each in (link, folder):
        each.mkdir(parents=True)
    rename = Path.rename

    def refuse(*names: Path) -> None:
        raise OSError(errno.EXDEV, f"cannot rename {names}")

    def rename_other(one: Path, other: Path) -> Path:
        if one == link:
            refuse(one, other)
        return rename(one, other)

    monkeypatch.setattr(build_swap, "_exchange", refuse)
    monkeypatch.setattr(Path, "rename", rename_other)
    build_swap.point_link(link, folder, tmp_path / "spare")
    assert link.resolve() == folder
    assert sorted(each.name for each in tmp_path.iterdir()) == ["builds", "deps"]


@pytest.mark.parametrize("condition", ["python", "machine", "abi", "requirements"])
def test_libraries_for_other_conditions_are_installed_anew(tree: BuildTree, condition: str) -> None:
    # Guards against libraries of another Python or architecture that import here by chance.
    file = tree.deps / ".build.json"
    record = json.loads(file.read_text())
    record["conditions"][condition] = "other"
    file.write_text(json.dumps(record))
    assert tree.build(has_wheels=False).returncode != 0
    assert tree.run() == FIRST
    assert tree.build().returncode == 0
    assert json.loads(file.read_text())["conditions"][condition] != "other"
    assert tree.run() == FIRST


def test_extension_module_for_another_interpreter_fails_the_build(tree: BuildTree) -> None:
    # Guards against libraries that quietly do without an extension module that does not fit.
    tree.require(FOREIGN_VERSION)
    result = tree.build()
    assert result.returncode != 0
    assert "another interpreter or architecture" in result.stderr.splitlines()[-1]
    assert tree.run() == FIRST


def test_few_earlier_builds_are_kept(tree: BuildTree) -> None:
    # Guards against a disk that fills with builds, and against removing the one before.
    before = tree.deps.resolve()
    for number in range(2, BUILDS + 2):
        tree.number_sources(number)
        assert tree.build().returncode == 0
        assert before.exists()
        before = tree.deps.resolve()
    assert len(list(before.parent.iterdir())) < BUILDS


@pytest.mark.parametrize("refused", ["rename", "removal"])
def test_earlier_build_that_cannot_be_removed_does_not_fail_the_new_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, refused: str
) -> None:
    # Guards against a build that is in use and says that it failed, as files of others stay.
    builds = tmp_path / "target" / "builds"
    for number in range(1, BUILDS):
        (builds / str(number)).mkdir(parents=True)

    def refuse_rename(one: Path, other: Path) -> Path:
        raise OSError(errno.EXDEV, f"cannot rename {one} to {other}")

    def refuse_removal(folder: Path, *, ignore_errors: bool = False) -> None:
        if not ignore_errors:
            raise PermissionError(errno.EPERM, "not permitted", str(folder))

    monkeypatch.chdir(tmp_path)
    if refused == "rename":
        monkeypatch.setattr(Path, "rename", refuse_rename)
    else:
        monkeypatch.setattr(shutil, "rmtree", refuse_removal)
    build._remove_earlier(builds / str(BUILDS - 1))
    assert (builds / str(BUILDS - 1)).exists()


@pytest.mark.parametrize("code", [errno.EPERM, errno.EOPNOTSUPP, errno.ENOSYS])
@pytest.mark.parametrize("has_earlier", [False, True])
def test_build_takes_the_place_of_the_link_where_there_are_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int, has_earlier: bool
) -> None:
    # Guards against a build that fails on file systems without symbolic links.
    def refuse(link: Path, target: str) -> None:
        raise OSError(code, f"no link {link} to {target}")

    link, folder = tmp_path / "deps", tmp_path / "builds" / "1"
    folder.mkdir(parents=True)
    (folder / "new").touch()
    if has_earlier:
        link.mkdir()
        (link / "old").touch()
    monkeypatch.setattr(Path, "symlink_to", refuse)
    build_swap.point_link(link, folder, tmp_path / "spare")
    assert [each.name for each in link.iterdir()] == ["new"]
    assert sorted(each.name for each in tmp_path.iterdir()) == ["builds", "deps"]


@pytest.mark.parametrize("can_exchange", [False, True])
def test_replaced_folder_that_cannot_be_removed_does_not_fail_the_build(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, can_exchange: bool
) -> None:
    # Guards against a build that is in use and says that it failed, as files of others stay.
    def refuse(*names: Path) -> None:
        raise OSError(errno.EINVAL, f"cannot exchange {names}")

    def refuse_removal(folder: Path, *, ignore_errors: bool = False) -> None:
        if not ignore_errors:
            raise PermissionError(errno.EPERM, "not permitted", str(folder))

    link, folder = tmp_path / "deps", tmp_path / "builds" / "1"
    for each in (link, folder):
        each.mkdir(parents=True)
    monkeypatch.setattr(shutil, "rmtree", refuse_removal)
    if not can_exchange:
        monkeypatch.setattr(build_swap, "_exchange", refuse)
    build_swap.point_link(link, folder, tmp_path / "spare")
    assert link.resolve() == folder
