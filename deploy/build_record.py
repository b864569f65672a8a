"""The record of a build: for which interpreter, with which requirements, and each file's digest.

It lies in the folder that it describes, so that the two cannot be taken apart, and it is written
last: a folder without it is unfinished.
"""

from __future__ import annotations

import hashlib
import json
import os
import platform
import sysconfig
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final, Self

_NAME: Final = ".build.json"
_BYTECODE: Final = "__pycache__"


@dataclass(frozen=True, slots=True)
class Conditions:
    """What the libraries of a build depend on."""

    python: str
    # Python's names of the architecture and of the binary interface of extension modules.
    machine: str
    abi: str
    requirements: str

    @classmethod
    def current(cls, requirements: Path) -> Self:
        """Return those of this interpreter."""
        return cls(
            python=platform.python_version(),
            machine=sysconfig.get_platform(),
            abi=str(sysconfig.get_config_var("SOABI")),
            requirements=requirements.read_text(encoding="utf-8"),
        )


@dataclass(frozen=True, slots=True)
class Record:
    """What was built, or what lies in a folder now."""

    conditions: Conditions
    # Digests of files by their paths in the folder.
    files: Mapping[str, str]

    def write(self, folder: Path) -> None:
        """Mark a folder as finished."""
        (folder / _NAME).write_text(json.dumps(asdict(self)), encoding="utf-8")

    @classmethod
    def read(cls, folder: Path) -> Self | None:
        """Return the record of a finished folder."""
        try:
            fields = json.loads((folder / _NAME).read_bytes())
            return cls(Conditions(**fields["conditions"]), dict(fields["files"]))
        except (OSError, ValueError, KeyError, TypeError):
            return None


def digests(folder: Path) -> dict[str, str]:
    """Return the digest of each file in a folder but its record."""
    found = {}
    for parent, folders, names in os.walk(folder):
        folders.sort()
        for name in names:
            path = Path(parent, name)
            with path.open("rb") as file:
                digest = hashlib.file_digest(file, "sha256").hexdigest()
            found[path.relative_to(folder).as_posix()] = digest
    found.pop(_NAME, None)
    return found


def without_bytecode(files: Mapping[str, str]) -> dict[str, str]:
    """Leave out what interpreters and other programs may add or write again."""
    return {path: digest for path, digest in files.items() if _BYTECODE not in path.split("/")}
