"""The command `turmericweir`: read the process's settings file and run the daemon.

Mistakes of whoever starts it, such as a wrong setting or a port in use, end it with status 2 and
one line that says what and where.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Final, NoReturn

import anyio
import click
from returns.pipeline import is_successful

from turmericweir.daemon import run
from turmericweir.process.errors import DaemonError, ListenError
from turmericweir.process.process_settings import ProcessSettings, read_settings

WRONG_START: Final = 2
INTERRUPTED: Final = 130


@click.command()
@click.option(
    "--config",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="The settings file of this process, JSON with comments.",
)
@click.option("--check", is_flag=True, help="Check the settings file and exit.")
@click.version_option(package_name="turmericweir")
def main(path: Path, check: bool) -> None:
    """Route language-model and plain-service traffic."""
    cfg = _settings_or_exit(path)
    if check:
        click.echo(f"{path}: ok")
        return
    sys.exit(_run(cfg))


def _settings_or_exit(path: Path) -> ProcessSettings:
    result = read_settings(path)
    if not is_successful(result):
        _fail(result.failure())
    return result.unwrap()


def _run(cfg: ProcessSettings) -> int:
    try:
        return anyio.run(run, cfg)
    except ListenError as exc:
        _fail(exc)
    except KeyboardInterrupt:
        return INTERRUPTED


def _fail(error: DaemonError) -> NoReturn:
    click.echo(f"turmericweir: {error}", err=True)
    sys.exit(WRONG_START)


if __name__ == "__main__":
    main()
