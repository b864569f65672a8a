"""Context that every command receives: the instance to connect to and the output format."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import update_wrapper
from typing import Any, Concatenate, ParamSpec

import click

from turmericctl import messages
from turmericctl.client import Client
from turmericctl.output import Printer

Params = ParamSpec("Params")


@dataclass(frozen=True, slots=True)
class Session:
    """The global options of the command line."""

    admin: str | None
    token: str
    timeout_s: float
    printer: Printer

    def client(self) -> Client:
        """Return a client for the instance."""
        if self.admin is None:
            raise click.UsageError(messages.NO_ADMIN)
        return Client(self.admin, self.token, self.timeout_s)


def pass_session(
    function: Callable[Concatenate[Session, Params], None],
) -> Callable[Params, None]:
    """Pass the session to a command as its first argument."""

    # Any: click's decorators accept any callable.
    def with_session(*args: Any, **kwargs: Any) -> None:
        session = click.get_current_context().find_object(Session)
        assert session is not None
        function(session, *args, **kwargs)

    return update_wrapper(with_session, function)
