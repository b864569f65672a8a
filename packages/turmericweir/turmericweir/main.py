"""The command `turmericweir`: read the settings file of the process and run the daemon.

Errors at the start, such as an invalid setting or a port in use, end it with status 2 and an error
message of one line. They are detected before the daemon's modules are imported, which takes most of
the processor time of a start.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Final, NoReturn

import click
from returns.pipeline import is_successful

from turmericweir.process.errors import DaemonError, ListenError
from turmericweir.process.fatal_traces import enable_fatal_traces
from turmericweir.process.listening_socket import check_free
from turmericweir.process.process_settings import ProcessSettings, read_settings
from turmericweir.process.process_signals import ProcessSignals
from turmericweir.process.standard_streams import reserve_standard_streams

START_ERROR_STATUS: Final = 2


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
    reserve_standard_streams()
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
    enable_fatal_traces()
    with ProcessSignals(signal.SIGTERM, signal.SIGINT) as signals:
        return _run_with_signals(cfg, signals)


def _run_with_signals(cfg: ProcessSettings, signals: ProcessSignals) -> int:
    try:
        _check_addresses(cfg)
        # Imported late; see the module's doc string.
        import anyio

        from turmericweir.daemon import run
        from turmericweir.process.boot_clock import BootClockLoop

        options = {"loop_factory": BootClockLoop}
        return anyio.run(run, cfg, signals, backend_options=options)
    except ListenError as exc:
        _exit_with_error(exc)


def _check_addresses(cfg: ProcessSettings) -> None:
    check_free(cfg.caller_address, "listen for callers")
    check_free(cfg.admin_address, "listen for operators")
    check_free(cfg.peer_listen_address or cfg.peer_address, "listen for peers")


def _exit_with_error(error: DaemonError) -> NoReturn:
    click.echo(f"turmericweir: {error}", err=True)
    sys.exit(START_ERROR_STATUS)


if __name__ == "__main__":
    main()
