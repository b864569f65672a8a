"""The command `turmericweir`: read the settings file of the process and run the daemon.

Errors at the start, such as an invalid setting or a port in use, end it with status 2 and an error
message of one line.
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

START_ERROR_STATUS: Final = 2
INTERRUPTED_STATUS: Final = 130


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
    cfg = _read_settings_or_exit(path)
    if check:
        click.echo(f"{path}: ok")
        return
    sys.exit(_run(cfg))


def _read_settings_or_exit(path: Path) -> ProcessSettings:
    result = read_settings(path)
    if not is_successful(result):
        _exit_with_error(result.failure())
    return result.unwrap()


def _run(cfg: ProcessSettings) -> int:
    try:
        return anyio.run(run, cfg)
    except ListenError as exc:
        _exit_with_error(exc)
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS


def _exit_with_error(error: DaemonError) -> NoReturn:
    click.echo(f"turmericweir: {error}", err=True)
    sys.exit(START_ERROR_STATUS)


if __name__ == "__main__":
    main()
