"""Follow a change until it is in force in every data centre, and say where it is not.

A data centre counts only by its own word. One that is out of reach is reported as that, with the
age of its last word, and never as in force.
"""

from __future__ import annotations

import time
from typing import Any, Final

import click

from turmericctl import messages
from turmericctl.client import Client

POLL_S: Final = 0.25
IN_FORCE: Final = "in_force"
BEHIND: Final = "behind"


def wait_in_force(client: Client, offset: int, wait_s: float, *, silent: bool) -> dict[str, Any]:
    """Ask until all data centres have the settings before an offset, or the time is over."""
    deadline = time.monotonic() + wait_s
    told: dict[str, str] = {}
    while True:
        centres = client.get("/settings/inforce", {"offset": offset})["data_centres"]
        over = time.monotonic() >= deadline
        for centre in centres:
            if not silent and (over or centre["reach"] == IN_FORCE):
                _tell(told, centre)
        left = [it["data_centre"] for it in centres if it["reach"] != IN_FORCE]
        if over or not left:
            return {"in_force_everywhere": not left, "left": left, "data_centres": centres}
        time.sleep(min(POLL_S, max(0.0, deadline - time.monotonic())))


def _tell(told: dict[str, str], centre: dict[str, Any]) -> None:
    name, reach = centre["data_centre"], centre["reach"]
    if told.get(name) != reach:
        told[name] = reach
        click.echo(reach_line(centre))


def reach_line(centre: dict[str, Any]) -> str:
    """Say where one data centre stands."""
    name = centre["data_centre"]
    if centre["reach"] == IN_FORCE:
        return messages.IN_FORCE.format(data_centre=name)
    if centre["reach"] == BEHIND:
        return messages.BEHIND.format(data_centre=name)
    return messages.OUT_OF_REACH.format(data_centre=name, word=_last_word(centre))


def _last_word(centre: dict[str, Any]) -> str:
    if centre["silent"] and centre["live"]:
        names = ", ".join(it["name"] for it in centre["silent"])
        return messages.SILENT.format(names=names)
    if centre["age_s"] is None:
        return messages.NEVER_HEARD
    return messages.LAST_WORD.format(age=centre["age_s"])
