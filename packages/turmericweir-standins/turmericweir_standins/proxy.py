"""A fault-injecting TCP and UDP proxy: one process, many routes, one control port.

Start it with `python -m turmericweir_standins.proxy`. A route listens on one address, which is its
name, and forwards to one target. A TCP and a UDP route may share an address; changes on the control
port then apply to both. `proxy_fault.RouteBehaviour` defines the faults; `proxy_tcp` and
`proxy_udp` forward the traffic.

The control port:
- `GET /_standin/routes` lists the routes, in the order in which they were added;
- `POST /_standin/routes` with `{"routes": [{"kind", "listen", "target"}]}` adds routes and
  lists all;
- `POST /_standin/behaviour` changes the faults of all routes, or with `?route=ip:port,ip:port`
  those of some routes; the change is in force when it answers;
- `GET /_standin/behaviour` shows the faults of each route.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Final, Literal

import anyio
import click
import orjson
from anyio.abc import TaskGroup
from pydantic import BaseModel, ValidationError

from turmericweir_standins.asgi import (
    ClientDisconnectedError,
    Receive,
    Request,
    Scope,
    Send,
    request_of,
    send_json,
)
from turmericweir_standins.behaviour import BEHAVIOUR_PATH
from turmericweir_standins.listener import Listener
from turmericweir_standins.proxy_tcp import TcpRoute
from turmericweir_standins.proxy_udp import UdpRoute
from turmericweir_standins.record import Recorder

READY_NAME: Final = "proxy"
ROUTES_PATH: Final = "/_standin/routes"

Route = TcpRoute | UdpRoute


class RouteSpec(BaseModel):
    """A requested route."""

    kind: Literal["tcp", "udp"] = "tcp"
    # `ip:port`; the port may be 0.
    listen: str
    target: str


class RoutesBody(BaseModel):
    """The body that adds routes."""

    routes: list[RouteSpec]


class UnknownRouteError(ValueError):
    """Report an unknown route name."""


class Proxy:
    """The routes of this process and the ASGI app of the control port."""

    # In the order in which they were added.
    _routes: list[Route]
    _tasks: TaskGroup
    _seed: int
    _recorder: Recorder

    def __init__(self, tasks: TaskGroup, seed: int, recorder: Recorder) -> None:
        self._routes = []
        self._tasks = tasks
        self._seed = seed
        self._recorder = recorder

    async def add(self, spec: RouteSpec) -> None:
        """Open another route."""
        # Each route has its own generator; the traffic of one route does not affect the others.
        seed = f"{self._seed}:{len(self._routes)}"
        listen = _split(spec.listen)
        target = _split(spec.target)
        route: Route
        if spec.kind == "tcp":
            route = TcpRoute(listen, target, self._tasks, seed, self._recorder)
        else:
            route = UdpRoute(listen, target, seed, self._recorder)
        await route.settle()
        self._routes.append(route)

    def close(self) -> None:
        """Close all routes."""
        for route in self._routes:
            route.close()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request on the control port."""
        request = request_of(scope, receive)
        try:
            await self._control(request, send)
        except ClientDisconnectedError:
            return
        except (ValidationError, ValueError) as exc:
            await send_json(send, 400, {"error": str(exc)})
        except OSError as exc:
            await send_json(send, 409, {"error": str(exc)})

    async def _control(self, request: Request, send: Send) -> None:
        match request.method, request.path:
            case "GET", path if path == ROUTES_PATH:
                await self._send_routes(send)
            case "POST", path if path == ROUTES_PATH:
                body = RoutesBody.model_validate_json(await request.body())
                for spec in body.routes:
                    await self.add(spec)
                await self._send_routes(send)
            case "GET", path if path == BEHAVIOUR_PATH:
                await self._send_behaviour(send)
            case "POST", path if path == BEHAVIOUR_PATH:
                await self._change_behaviour(request)
                await self._send_behaviour(send)
            case _:
                await send_json(send, 404, {"error": f"no call {request.method} {request.path}"})

    async def _change_behaviour(self, request: Request) -> None:
        changes = orjson.loads(await request.body())
        if not isinstance(changes, dict):
            raise ValueError("the body must be a JSON object")
        for route in self._routes_named(request.query.get("route")):
            route.controls.merge(changes)
            await route.settle()

    def _routes_named(self, names: str | None) -> list[Route]:
        if names is None:
            return list(self._routes)
        chosen: list[Route] = []
        for name in names.split(","):
            matches = [route for route in self._routes if _name(route) == name]
            if not matches:
                raise UnknownRouteError(f"no route listens on {name}")
            chosen.extend(matches)
        return chosen

    async def _send_routes(self, send: Send) -> None:
        await send_json(send, 200, {"routes": [_describe(route) for route in self._routes]})

    async def _send_behaviour(self, send: Send) -> None:
        routes = [
            {**_describe(route), "behaviour": route.controls.table.model_dump()}
            for route in self._routes
        ]
        await send_json(send, 200, {"routes": routes})


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not an ip:port: {address}")
    return host, int(port)


def _name(route: Route) -> str:
    return f"{route.listen[0]}:{route.listen[1]}"


def _describe(route: Route) -> dict[str, str]:
    kind = "tcp" if isinstance(route, TcpRoute) else "udp"
    target = f"{route.target[0]}:{route.target[1]}"
    return {"kind": kind, "listen": _name(route), "target": target}


async def serve(address: str, specs: Sequence[RouteSpec], seed: int, record: str | None) -> None:
    """Open the routes, then serve the control port until SIGTERM."""
    listener = Listener(READY_NAME, address)
    with Recorder(record) as recorder:
        async with anyio.create_task_group() as tasks:
            proxy = Proxy(tasks, seed, recorder)
            for spec in specs:
                await proxy.add(spec)
            await listener.run(proxy)
            proxy.close()
            tasks.cancel_scope.cancel()


class _SpecType(click.ParamType[RouteSpec]):
    """A route on the command line."""

    name = "listen=target"

    def __init__(self, kind: Literal["tcp", "udp"]) -> None:
        self._kind = kind

    # Any: click passes a value of any type.
    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> RouteSpec:
        """Parse `ip:port=ip:port`."""
        listen, _, target = str(value).partition("=")
        try:
            _split(listen)
            _split(target)
        except ValueError as exc:
            self.fail(str(exc), param, ctx)
        return RouteSpec(kind=self._kind, listen=listen, target=target)


@click.command()
@click.option("--address", default="127.0.0.1:0", help="ip:port of the control port.")
@click.option(
    "--route", "tcp", type=_SpecType("tcp"), multiple=True, help="A TCP route; may be repeated."
)
@click.option(
    "--udp-route", "udp", type=_SpecType("udp"), multiple=True, help="A UDP route; may be repeated."
)
@click.option("--seed", default=0, help="Seed of random choices.")
@click.option("--record", type=click.Path(), default=None, help="File for the observed events.")
def main(
    address: str,
    tcp: tuple[RouteSpec, ...],
    udp: tuple[RouteSpec, ...],
    seed: int,
    record: str | None,
) -> None:
    """Forward TCP connections and UDP datagrams, with faults on demand."""
    anyio.run(serve, address, (*tcp, *udp), seed, record)


if __name__ == "__main__":
    main()
