"""The commands that show the state of an instance, and the command that drains a server."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import click

from turmericctl import messages
from turmericctl.context import Session, pass_session
from turmericctl.exit_codes import CommandError, ExitCode
from turmericctl.output import table
from turmericctl.rollout import data_centre_line

_MS_PER_S = 1000.0


@click.command(help=messages.STATUS_HELP)
@pass_session
def status(session: Session) -> None:
    """Show the status of the instance and of the data centres."""
    with session.client() as client:
        readiness = client.call("GET", "/readyz").body
        state = client.get("/state")
        rollout = client.get("/settings/inforce")
    identity = state["me"]
    rows = [
        ("instance", identity["name"]),
        ("data centre", identity["data_centre"]),
        ("ready", readiness["ready"]),
        ("stopping", readiness["stopping"]),
        ("settings offset", state["config"]["offset"]),
        ("policy", state["config"]["policy"]),
        ("requests in hand", len(state["requests"])),
        ("servers", len(state["servers"]["by_name"])),
    ]
    value = {**dict(rows), "data_centres": rollout["data_centres"]}
    centre_lines = [f"  {data_centre_line(centre)}" for centre in rollout["data_centres"]]
    session.printer.show(value, [*table(("", ""), rows)[1:], "settings:", *centre_lines])


@click.command(help=messages.STATE_HELP)
@click.argument("part", default="")
@pass_session
def state(session: Session, part: str) -> None:
    """Print the state of the instance as JSON."""
    with session.client() as client:
        value = client.get("/state")
    for name in filter(None, part.split(".")):
        value = _member_of(value, name, part)
    # The state has no table format.
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))


def _member_of(value: Any, name: str, part: str) -> Any:
    if isinstance(value, dict) and name in value:
        return value[name]
    if isinstance(value, list) and name.isdecimal() and int(name) < len(value):
        return value[int(name)]
    parts = ", ".join(value) if isinstance(value, dict) else "none"
    message = messages.NO_SUCH_PART.format(part=part, parts=parts)
    raise CommandError(ExitCode.REFUSED, message)


@click.command(help=messages.CLASSES_HELP)
@pass_session
def classes(session: Session) -> None:
    """Show the service classes with their request counts."""
    with session.client() as client:
        dump = client.get("/state")
    counts = Counter((it["service_class"]["name"], it["phase"]) for it in dump["requests"].values())
    shown_classes = [
        {
            "name": it["name"],
            "priority": it["priority"],
            "target_ms": it["target_s"] * _MS_PER_S,
            "assured_share": it["assured_share"],
            "waiting": counts[it["name"], "waiting"],
            "running": counts[it["name"], "running"],
        }
        for it in dump["config"]["classes"].values()
    ]
    shown_classes.sort(key=lambda it: (it["priority"], it["name"]))
    titles = ("CLASS", "PRIORITY", "TARGET MS", "ASSURED", "WAITING", "RUNNING")
    session.printer.show(shown_classes, table(titles, [list(it.values()) for it in shown_classes]))


@click.command(help=messages.INSTANCES_HELP)
@click.option("--all", "show_all", is_flag=True, help=messages.ALL_INSTANCES_HELP)
@pass_session
def instances(session: Session, show_all: bool) -> None:
    """Show the settings version of each instance, or counts by data centre."""
    with session.client() as client:
        instance_list = client.get("/instances")["instances"]
    if show_all:
        titles = ("INSTANCE", "DATA CENTRE", "SETTINGS", "STATE", "LAST SEEN S AGO")
        rows = [
            [
                instance["name"],
                instance["data_centre"],
                _version_text(instance),
                instance["state"],
                _rounded_age(instance["age_s"]),
            ]
            for instance in instance_list
        ]
        session.printer.show(instance_list, table(titles, rows))
        return
    counts = Counter(
        (instance["data_centre"], _version_text(instance), instance["state"])
        for instance in instance_list
    )
    count_rows = [[*key, count] for key, count in sorted(counts.items())]
    lines = table(("DATA CENTRE", "SETTINGS", "STATE", "INSTANCES"), count_rows)
    session.printer.show(instance_list, lines)


@click.command(help=messages.CUSTOMERS_HELP)
@pass_session
def customers(session: Session) -> None:
    """Show the shares, waits and refusals of customers."""
    with session.client() as client:
        rows = client.get("/customers")["customers"]
    titles = ("CLASS", "CUSTOMER", "WEIGHT", "SHARE", "WAITING", "ELSEWHERE", "WAIT MS", "REFUSED")
    shown = [
        [
            f"{row['service_class']}{' *' if row['competing'] else ''}",
            row["customer"],
            row["weight"],
            row["served_share"],
            row["waiting"],
            row["waiting_elsewhere"],
            row["wait_ms"],
            row["refused"],
        ]
        for row in rows
    ]
    session.printer.show(rows, table(titles, shown))


@click.command(help=messages.DUTIES_HELP)
@pass_session
def duties(session: Session) -> None:
    """Show the holder of the duties, and the state of usage reports and server orders."""
    with session.client() as client:
        duty_report = client.get("/duties")["duties"]
    lines = [
        f"holder      {duty_report['holder'] or 'not known here'}"
        + (f", fencing number {duty_report['fence']}" if duty_report["fence"] is not None else ""),
        f"candidates  {', '.join(duty_report['candidates']) or 'none'}",
    ]
    if duty_report["windows"]:
        rows = [list(it.values()) for it in duty_report["windows"]]
        lines += ["", *table(("WINDOW", "STATE", "REQUESTS"), rows)]
    if duty_report["servers"]:
        titles = ("SERVICE", "DATA CENTRE", "KIND", "ORDERED", "PRESENT", "LEAVING", "ORDER")
        lines += ["", *table(titles, [_order_row(it) for it in duty_report["servers"]])]
    session.printer.show(duty_report, lines)


def _order_row(row: dict[str, Any]) -> list[Any]:
    age = _rounded_age(row["age_s"])
    order = "none" if age is None else f"{age} s ago, {'taken' if row['is_taken'] else 'not taken'}"
    kind = "spot" if row["spot"] else "lasting"
    counts = [row["ordered"], row["present"], row["leaving"]]
    return [row["service"], row["data_centre"], kind, *counts, order]


def _version_text(instance: dict[str, Any]) -> str:
    return f">={instance['version']}" if instance["at_least"] else str(instance["version"])


def _rounded_age(age_s: float | None) -> float | None:
    return None if age_s is None else round(age_s, 1)


@click.command(help=messages.SERVERS_HELP)
@pass_session
def servers(session: Session) -> None:
    """Show the backend servers."""
    with session.client() as client:
        dump = client.get("/state")
    shown_servers = [_server_fields(it) for it in dump["servers"]["by_name"].values()]
    shown_servers.sort(key=lambda it: (it["service"], it["name"]))
    titles = ("SERVER", "SERVICE", "DATA CENTRE", "ADDRESS", "STATE", "IN FLIGHT", "REPORTED")
    session.printer.show(shown_servers, table(titles, [list(it.values()) for it in shown_servers]))


def _server_fields(server: dict[str, Any]) -> dict[str, Any]:
    entry, report = server["entry"], server["report"]
    return {
        "name": entry["name"],
        "service": entry["service"],
        "data_centre": entry["data_centre"],
        "address": entry["address"],
        "state": _server_state(server),
        "in_flight": len(server["in_flight"]),
        "reported": f"{report['running']}/{report['slots']}" if report else None,
    }


def _server_state(server: dict[str, Any]) -> str:
    if server["leaving"]:
        return "leaving"
    if server["drained"]:
        return "drained"
    return "unreachable" if server["unreachable_until"] else "open"


@click.command(help=messages.REQUESTS_HELP)
@click.argument("request_id", required=False)
@click.option("--recent", type=click.IntRange(min=0), default=0, help=messages.RECENT_HELP)
@pass_session
def requests(session: Session, request_id: str | None, recent: int) -> None:
    """Show active requests and recently finished ones."""
    with session.client() as client:
        dump = client.get("/state")
    accounts = [account for _, account in dump["accounts"]["entries"].values()]
    if request_id is not None:
        _show_request(session, dump, accounts, request_id)
        return
    shown_requests = [_request_fields(it) for it in dump["requests"].values()]
    shown_requests += [_account_fields(it) for it in accounts[len(accounts) - recent :]]
    titles = ("REQUEST", "CUSTOMER", "CLASS", "PHASE", "SERVER", "ATTEMPTS", "TOKENS")
    session.printer.show(
        shown_requests, table(titles, [list(it.values()) for it in shown_requests])
    )


def _show_request(
    session: Session, dump: dict[str, Any], accounts: list[dict[str, Any]], request_id: str
) -> None:
    finished = [it for it in accounts if it["request_id"] == request_id]
    request = dump["requests"].get(request_id) or (finished[0] if finished else None)
    if request is None:
        message = messages.NO_SUCH_REQUEST.format(request_id=request_id)
        raise CommandError(ExitCode.REFUSED, message)
    session.printer.show(request, table(("", ""), list(request.items()))[1:])


def _request_fields(request: dict[str, Any]) -> dict[str, Any]:
    attempt = request["attempt"]
    return {
        "request_id": request["request_id"],
        "customer": request["customer"],
        "class": request["service_class"]["name"],
        "phase": request["phase"],
        "server": attempt["server"] if attempt else None,
        "attempts": request["attempts"],
        "tokens": request["delivered"],
    }


def _account_fields(account: dict[str, Any]) -> dict[str, Any]:
    return {
        "request_id": account["request_id"],
        "customer": account["customer"],
        "class": account["service_class"],
        "phase": account["outcome"],
        "server": account["server"],
        "attempts": account["attempts"],
        "tokens": account["tokens"],
    }


@click.command(help=messages.DRAIN_HELP)
@click.argument("server")
@pass_session
def drain(session: Session, server: str) -> None:
    """Drain a server."""
    with session.client() as client:
        answer = client.call("POST", f"/drain/{server}")
        if answer.code is not ExitCode.OK:
            raise client.error_of(answer)
    session.printer.show(answer.body, [messages.DRAINED.format(**answer.body)])
