"""Replaces what a link names in one step, also where a real folder stands in the link's place.

On a file system without symbolic links the folder itself takes the place, in two steps.
"""

from __future__ import annotations

import ctypes
import errno
import os
import shutil
from pathlib import Path
from typing import Final

_AT_FDCWD: Final = -100
_RENAME_EXCHANGE: Final = 2
# The C library, the kernel or the file system cannot exchange two names. An overlay cannot rename
# the folders of its lower layers at all.
_NOT_POSSIBLE: Final = (errno.ENOSYS, errno.EINVAL, errno.EOPNOTSUPP, errno.EXDEV)
# The file system has no symbolic links.
_NO_LINKS: Final = (errno.EPERM, errno.ENOSYS, errno.EOPNOTSUPP)


def point_link(link: Path, folder: Path, spare: Path) -> None:
    """Let `link` name `folder`; `spare` is a free name in the folder of the link."""
    aside = spare.with_name(f"{spare.name}-aside")
    try:
        spare.symlink_to(os.path.relpath(folder, link.parent))
    except OSError as exc:
        if exc.errno not in _NO_LINKS:
            raise
        _replace_in_two_steps(folder, link, aside)
        return
    if link.is_symlink() or not link.exists():
        spare.replace(link)
        return
    try:
        _exchange(spare, link)
    except OSError as exc:
        if exc.errno not in _NOT_POSSIBLE:
            raise
        _replace_in_two_steps(spare, link, aside)
        return
    # The build is in use, whatever cannot be removed.
    shutil.rmtree(spare, ignore_errors=True)


def _replace_in_two_steps(new: Path, link: Path, aside: Path) -> None:
    if link.exists():
        _move_aside(link, aside)
    new.replace(link)
    if aside.exists():
        shutil.rmtree(aside, ignore_errors=True)


def _move_aside(folder: Path, aside: Path) -> None:
    try:
        folder.rename(aside)
    except OSError as exc:
        if exc.errno != errno.EXDEV:
            raise
        shutil.rmtree(folder)


def _exchange(one: Path, other: Path) -> None:
    libc = ctypes.CDLL(None, use_errno=True)
    try:
        renameat2 = libc.renameat2
    except AttributeError:
        raise OSError(errno.ENOSYS, "no renameat2") from None
    names = (os.fsencode(one), os.fsencode(other))
    if renameat2(_AT_FDCWD, names[0], _AT_FDCWD, names[1], ctypes.c_uint(_RENAME_EXCHANGE)):
        code = ctypes.get_errno()
        raise OSError(code, os.strerror(code))
