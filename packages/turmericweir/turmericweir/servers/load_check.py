"""Make the status check of a server of the own interface, whose load report names its start."""

from __future__ import annotations

from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.servers.backend_attempt import LOAD_PATH
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.server_life import StatusCheck
from turmericweir_core.base.ids import ServerName
from turmericweir_core.state.server_table import reported_incarnation
from turmericweir_core.state.state import State


def make_load_check(state: State, name: ServerName) -> StatusCheck:
    """Return the status check of a server as it is known now."""
    server = state.servers.by_name.get(name)
    incarnation = "" if server is None else reported_incarnation(server)
    return StatusCheck(
        LOAD_PATH.encode(),
        names_other=lambda answer: _read_incarnation(answer) not in ("", incarnation),
        names_start=lambda answer: _read_incarnation(answer) == incarnation != "",
    )


def _read_incarnation(answer: Answer) -> str:
    """Return the incarnation in a load report; empty if it has none."""
    try:
        report = answer.json()
    except DECODE_ERRORS:
        return ""
    value = report.get("incarnation") if isinstance(report, dict) else None
    return value if isinstance(value, str) else ""
