"""Interpret the case files about load: each line is a step of a `LoadWorld`.

    world KEY=VALUE ...       sets up instances, servers, slots, policy, kind, and any option
    arrive CLASS NAME [at=N] [deadline=S] [prefix=A,B] [tokens=N]
    progress NAME TOKENS      the server sends tokens of the request's attempt
    end NAME                  the attempt completes
    refuse NAME               the server refuses the attempt before the start
    leave NAME                the caller leaves
    pass SECONDS              time passes, with ticks and load reports
    hold                      cancelled attempts do not end from here on
    let-go                    cancelled attempts end again
    cut N / heal N            the instance is disconnected from the others; and reconnected
    show                      prints the running and the waiting requests

The effects of a step are printed below it: started or cancelled attempts, and accounts.
"""

from __future__ import annotations

from typing import Any

from msgspec.structs import fields

from tests.core.load_world import LoadWorld
from turmericweir_core.base.config import PlacementPolicy, ServiceKind
from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.options import Options
from turmericweir_core.messages.events import CallerLeft, EndCancelled, EndRefused

_OPTIONS = {each.name: each.type for each in fields(Options)}


def run_script(lines: list[str]) -> list[str]:
    """Run the lines of a case and return the output."""
    world = make_world(lines[0])
    out: list[str] = []
    for line in lines[1:]:
        world.events.clear()
        shown = run_line(world, line)
        out.append(line)
        out += [f"    {each}" for each in [*world.events, *shown]]
    return out


def make_world(line: str) -> LoadWorld:
    """Return the world that a case begins with."""
    word, *pairs = line.split()
    assert word == "world", f"a case begins with its world, not with {line!r}"
    settings = dict(pair.split("=", 1) for pair in pairs)
    options: dict[str, Any] = {}
    for name in list(settings):
        if name in _OPTIONS:
            number = float(settings.pop(name))
            options[name] = int(number) if _OPTIONS[name] is int else number
    return LoadWorld(
        instances=int(settings.get("instances", 1)),
        servers=int(settings.get("servers", 1)),
        slots=int(settings.get("slots", 1)),
        policy=PlacementPolicy(settings.get("policy", "counts")),
        kind=ServiceKind(settings.get("kind", "model")),
        options=Options(**options),
    )


def run_line(world: LoadWorld, line: str) -> list[str]:
    """Take one step and return what it asks to be shown."""
    word, *rest = line.split()
    match word, rest:
        case "arrive", [class_name, name, *pairs]:
            _arrive(world, class_name, name, dict(pair.split("=", 1) for pair in pairs))
        case "progress", [name, tokens]:
            world.progress(world.run_of(name), int(tokens))
        case "end", [name]:
            world.end(world.run_of(name))
        case "refuse", [name]:
            world.end(world.run_of(name), EndRefused(429, leaving=False))
        case "leave", [name]:
            for instance, state in list(world.states.items()):
                if name in state.requests:
                    world.event(instance, CallerLeft(RequestId(name)))
        case "pass", [seconds]:
            world.advance(float(seconds))
        case "hold", []:
            world.hold_cancelled = True
        case "let-go", []:
            _let_go(world)
        case "cut", [number]:
            world.cut.add(InstanceName(f"entry-{number}"))
        case "heal", [number]:
            world.cut.discard(InstanceName(f"entry-{number}"))
        case "show", []:
            return _show(world)
        case _:
            raise AssertionError(f"no such step: {line!r}")
    return []


def _arrive(world: LoadWorld, class_name: str, name: str, settings: dict[str, str]) -> None:
    deadline = settings.get("deadline")
    tokens = settings.get("tokens")
    world.arrive(
        class_name,
        name=name,
        instance=int(settings.get("at", 0)),
        deadline_s=None if deadline is None else float(deadline),
        prefixes=tuple(filter(None, settings.get("prefix", "").split(","))),
        max_tokens=None if tokens is None else int(tokens),
    )


def _let_go(world: LoadWorld) -> None:
    world.hold_cancelled = False
    for name, _ in world.cancelled:
        for running in list(world.running.values()):
            if running.request_id == name:
                world.end(running, EndCancelled(0))


def _show(world: LoadWorld) -> list[str]:
    lines = [f"runs {' '.join(world.running_ids())}".rstrip()]
    for number in range(len(world.states)):
        waiting = world.waiting(number)
        if waiting:
            lines.append(f"waits at {number} {' '.join(waiting)}")
    return lines
