"""Checks a built folder by importing from it alone: `python3 -S -I build_check.py FOLDER PINS`.

`build.py` runs it in an interpreter without site-packages, as processes run. It imports each
library, each extension module, and what the role's package imports, also inside functions. Ends
with a line that names what is wrong.
"""

from __future__ import annotations

import ast
import importlib
import importlib.machinery
import importlib.metadata
import pkgutil
import sys
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Final

_ROLE_PACKAGE: Final = "turmericweir_platform"
_OWN_PREFIX: Final = "turmericweir"
# Imported inside functions that the role does not call, and needs a library that it does without.
_OF_OTHER_PROGRAMS: Final = frozenset({"turmericweir_core.state.settings_sync"})


class CheckError(Exception):
    """What was built cannot be used."""


def main(folder: Path, requirements: Path) -> int:
    """Return 0 if processes can run from the folder."""
    sys.path.append(str(folder))
    try:
        check_versions(folder, requirements)
        for name in sorted({*library_modules(folder), *extension_modules(folder)}):
            _import(name)
        check_own_modules()
    except CheckError as exc:
        sys.stderr.write(f"{exc}\n")
        return 1
    return 0


def check_versions(folder: Path, requirements: Path) -> None:
    """Compare the installed versions with the pins."""
    installed = {
        _normal_name(each.name): each.version
        for each in importlib.metadata.distributions(path=[str(folder)])
    }
    for line in requirements.read_text(encoding="utf-8").splitlines():
        name, _, version = line.partition("#")[0].strip().partition("==")
        if name and installed.get(_normal_name(name)) != version:
            found = installed.get(_normal_name(name), "none")
            raise CheckError(f"{name}: version {version} is pinned, {found} is installed")


def _normal_name(name: str) -> str:
    return name.lower().replace("_", "-").replace(".", "-")


def library_modules(folder: Path) -> Iterator[str]:
    """Name the outermost modules of each installed library."""
    for library in importlib.metadata.distributions(path=[str(folder)]):
        paths = [Path(str(each)) for each in library.files or ()]
        packages = {each.parent for each in paths if each.name == "__init__.py"}
        for package in packages:
            if not packages & set(package.parents):
                yield ".".join(package.parts)
        yield from (each.stem for each in paths if len(each.parts) == 1 and each.suffix == ".py")


def extension_modules(folder: Path) -> Iterator[str]:
    """Name the extension modules; raise for those of another interpreter or architecture."""
    for file in sorted(folder.rglob("*.so")):
        path = file.relative_to(folder)
        stem, _, suffix = file.name.partition(".")
        if f".{suffix}" in importlib.machinery.EXTENSION_SUFFIXES:
            yield ".".join((*path.parent.parts, stem))
        elif ".cpython-" in file.name:
            raise CheckError(f"{path} is for another interpreter or architecture")


def check_own_modules() -> None:
    """Import the role's package, and all that our modules import anywhere."""
    package = _import(_ROLE_PACKAGE)
    inner = pkgutil.walk_packages(package.__path__, f"{_ROLE_PACKAGE}.")
    waiting = [_ROLE_PACKAGE, *(each.name for each in inner)]
    known = {*waiting, *_OF_OTHER_PROGRAMS}
    while waiting:
        module = _import(waiting.pop())
        if module.__name__.startswith(_OWN_PREFIX) and module.__file__:
            new = _imported_by(Path(module.__file__)) - known
            known |= new
            waiting += sorted(new)


def _imported_by(file: Path) -> set[str]:
    imports = _Imports()
    imports.visit(ast.parse(file.read_bytes()))
    return imports.names


class _Imports(ast.NodeVisitor):
    """Collects the modules that a source imports when it runs."""

    def __init__(self) -> None:
        self.names: set[str] = set()

    def visit_If(self, node: ast.If) -> None:
        """Leave out what is imported for types only."""
        if ast.unparse(node.test) != "TYPE_CHECKING":
            self.generic_visit(node)

    def visit_Import(self, node: ast.Import) -> None:
        """Collect whole modules."""
        self.names.update(alias.name for alias in node.names)

    def visit_ImportFrom(self, node: ast.ImportFrom) -> None:
        """Collect a module, and names of it that are submodules."""
        if not node.module or node.level or node.module in _OF_OTHER_PROGRAMS:
            return
        self.names.add(node.module)
        module = _import(node.module)
        for alias in node.names:
            if not hasattr(module, alias.name):
                self.names.add(f"{node.module}.{alias.name}")


def _import(name: str) -> ModuleType:
    try:
        return importlib.import_module(name)
    except Exception as exc:
        raise CheckError(f"cannot import {name}: {exc}") from exc


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]), Path(sys.argv[2])))
