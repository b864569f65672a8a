"""Wait until a settings change is in force in every data centre, and report the exceptions.

The settings count as in force in a data centre only if a status message from it confirms them. An
unreachable data centre is reported with the age of its last status message.
"""

from __future__ import annotations

import time
from typing import Any, Final

import click

from turmericctl import messages
from turmericctl.client import Client

_POLL_INTERVAL_S: Final = 0.25
IN_FORCE: Final = "in_force"
BEHIND: Final = "behind"


def wait_in_force(client: Client, offset: int, wait_s: float, *, is_quiet: bool) -> dict[str, Any]:
    """Poll until all data centres have the settings before an offset, or until the timeout."""
    deadline = time.monotonic() + wait_s
    printed_states: dict[str, str] = {}
    while True:
        data_centres = client.get("/settings/inforce", {"offset": offset})["data_centres"]
        is_timed_out = time.monotonic() >= deadline
        for centre in data_centres:
            if not is_quiet and (is_timed_out or centre["reach"] == IN_FORCE):
                _print_if_changed(printed_states, centre)
        waiting_for = [it["data_centre"] for it in data_centres if it["reach"] != IN_FORCE]
        if is_timed_out or not waiting_for:
            return {
                "in_force_everywhere": not waiting_for,
                "left": waiting_for,
                "data_centres": data_centres,
            }
        time.sleep(min(_POLL_INTERVAL_S, max(0.0, deadline - time.monotonic())))


def _print_if_changed(printed_states: dict[str, str], centre: dict[str, Any]) -> None:
    name, reach = centre["data_centre"], centre["reach"]
    if printed_states.get(name) != reach:
        printed_states[name] = reach
        click.echo(data_centre_line(centre))


def data_centre_line(centre: dict[str, Any]) -> str:
    """Return a line about the settings of a data centre."""
    name = centre["data_centre"]
    if centre["reach"] == IN_FORCE:
        return messages.IN_FORCE.format(data_centre=name)
    if centre["reach"] == BEHIND:
        return messages.BEHIND.format(data_centre=name)
    return messages.UNREACHABLE_CENTRE.format(data_centre=name, detail=_last_update(centre))


def _last_update(centre: dict[str, Any]) -> str:
    if centre["silent"] and centre["live"]:
        instance_names = ", ".join(it["name"] for it in centre["silent"])
        return messages.MISSING_UPDATES.format(instance_names=instance_names)
    if centre["age_s"] is None:
        return messages.NO_UPDATE
    return messages.LAST_UPDATE.format(age=centre["age_s"])
