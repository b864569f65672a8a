"""Entry point of the `turmericctl` command line: global options, commands and exit codes."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Final

import click
from click.shell_completion import get_completion_class

from turmericctl import messages
from turmericctl.check_command import check
from turmericctl.context import Session
from turmericctl.exit_codes import CommandError
from turmericctl.output import JSON, TABLE, Printer
from turmericctl.settings_commands import settings
from turmericctl.state_commands import (
    classes,
    customers,
    drain,
    duties,
    instances,
    requests,
    servers,
    state,
    status,
)

PROGRAM: Final = "turmericctl"
_COMPLETION_VARIABLE: Final = "_TURMERICCTL_COMPLETE"
_SHELLS: Final = ("bash", "zsh", "fish")


def _parse_admin_address(
    context: click.Context, parameter: click.Parameter, value: str | None
) -> str | None:
    if value is None:
        return None
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal():
        raise click.BadParameter(messages.BAD_ADDRESS)
    return value


@click.group(PROGRAM, help=messages.ROOT_HELP, context_settings={"max_content_width": 100})
@click.option(
    "--admin",
    envvar="TURMERICCTL_ADMIN",
    show_envvar=True,
    callback=_parse_admin_address,
    help=messages.ADMIN_HELP,
)
@click.option(
    "--token", envvar="TURMERICCTL_TOKEN", show_envvar=True, default="", help=messages.TOKEN_HELP
)
@click.option(
    "--output",
    type=click.Choice((TABLE, JSON)),
    default=TABLE,
    show_default=True,
    help=messages.OUTPUT_HELP,
)
@click.option(
    "--timeout",
    type=click.FloatRange(min=0.1),
    default=5.0,
    show_default=True,
    help=messages.TIMEOUT_HELP,
)
@click.pass_context
def cli(context: click.Context, admin: str | None, token: str, output: str, timeout: float) -> None:
    """Store the global options for the command."""
    context.obj = Session(admin, token, timeout, Printer(output))


@cli.command("completion", help=messages.COMPLETION_HELP)
@click.argument("shell", type=click.Choice(_SHELLS))
def completion(shell: str) -> None:
    """Print the completion script for a shell."""
    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(cli, {}, PROGRAM, _COMPLETION_VARIABLE).source())


settings.add_command(check)
for _command in (
    settings,
    status,
    instances,
    duties,
    customers,
    state,
    classes,
    servers,
    requests,
    drain,
):
    cli.add_command(_command)


def main(args: Sequence[str] | None = None) -> None:
    """Run the command line and exit with its status."""
    try:
        cli.main(args, prog_name=PROGRAM, complete_var=_COMPLETION_VARIABLE)
    except CommandError as exc:
        click.echo(f"{PROGRAM}: {exc}", err=True)
        sys.exit(exc.code)


if __name__ == "__main__":
    main()
