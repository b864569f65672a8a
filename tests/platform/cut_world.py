"""A platform world in which a test cuts the paths from single instances to servers.

Each instance reaches each server through a proxy of its own. A cut redirects new connections to an
address that refuses them or never answers, and holds, resets or keeps the open ones.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Self

from tests.platform.cut_instance import DELAYS_VARIABLE, REDIRECTS_VARIABLE
from tests.platform.platform_world import ROOT, PlatformWorld
from tests.platform.standin_http import LoopThread, reset_connection
from tests.platform.standin_server import Server
from turmericweir_standins.procs import Process, free_address

# Ways in which a path is cut.
HANG = "hang"
RESET = "reset"
REFUSE_NEW = "refuse_new"
# New connections get no answer, and the open ones go on.
HANG_NEW = "hang_new"
CUTS = (HANG, RESET, REFUSE_NEW)
_CHUNK_BYTES = 65_536


class PathProxy:
    """Passes the connections of one instance on to one server."""

    def __init__(self, target: str) -> None:
        self.address = free_address()
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_open = asyncio.Event()
        self._is_open.set()
        # Cleared while the ends of connections are held.
        self._passes_ends = asyncio.Event()
        self._passes_ends.set()

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop to listen and reset all connections."""
        if self._server is not None:
            self._server.close()
        await self.reset()

    async def hold(self) -> None:
        """Hold what connections carry; it arrives late, even if its sender has closed."""
        self._is_open.clear()

    async def hold_ends(self) -> None:
        """Hold the ends of connections that the server closes."""
        self._passes_ends.clear()

    async def release(self) -> None:
        """Deliver what was held."""
        self._is_open.set()
        self._passes_ends.set()

    async def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset_connection(writer)
            return
        pair = {writer, server_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, server_writer),
                self._pump(server_reader, writer, self._passes_ends),
            )
        finally:
            self._writers -= pair
            for each in pair:
                each.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passes_end: asyncio.Event | None = None,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await self._is_open.wait()
                writer.write(data)
                await writer.drain()
            await self._is_open.wait()
            if passes_end is not None:
                await passes_end.wait()
            with suppress(OSError):
                writer.write_eof()
        except OSError:
            await self._is_open.wait()
            reset_connection(writer)


class UnansweredAddress:
    """An address at which connections are never established, as its backlog is full."""

    def __init__(self) -> None:
        self._sockets = [socket.socket()]
        listener = self._sockets[0]
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((host, port))
            self._sockets.append(filler)

    def close(self) -> None:
        """Close the address."""
        for each in self._sockets:
            each.close()


@dataclass(slots=True)
class CutWorld(PlatformWorld):
    """A platform world in which paths from instances to servers can be cut."""

    # By instance and server.
    _proxies: dict[tuple[str, str], PathProxy] = field(default_factory=dict)
    # The cut of each path that is cut, by instance and server.
    _cuts: dict[tuple[str, str], str] = field(default_factory=dict)
    # Seconds by which connections are established later, by instance and server.
    _connect_delays: dict[tuple[str, str], float] = field(default_factory=dict)
    _unanswered: UnansweredAddress = field(default_factory=UnansweredAddress)
    _proxy_loop: LoopThread = field(default_factory=LoopThread)

    def __enter__(self) -> Self:
        self._proxy_loop.__enter__()
        PlatformWorld.__enter__(self)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        PlatformWorld.__exit__(self, exc_type, exc, traceback)
        for proxy in self._proxies.values():
            self._proxy_loop.run(proxy.release())
            self._proxy_loop.run(proxy.stop())
        self._unanswered.close()
        self._proxy_loop.__exit__(exc_type, exc, traceback)

    def add_server(self, name: str, service: str, version: str = "") -> Server:
        """Start a server, with a path from each instance, and register it."""
        server = PlatformWorld.add_server(self, name, service, version)
        self._write_all_redirects()
        return server

    def crash_server(self, name: str) -> None:
        """Close the port of a server."""
        PlatformWorld.crash_server(self, name)
        self._write_all_redirects()

    async def _stop_listener(self, name: str) -> None:
        await PlatformWorld._stop_listener(self, name)
        self._write_all_redirects()

    def restart_unregistered(self, name: str, born: int, version: str = "") -> None:
        """Restart a crashed server, which does not reach the store; its old entry stays."""
        PlatformWorld.restart_unregistered(self, name, born, version)
        self._write_all_redirects()

    def _write_all_redirects(self) -> None:
        for instance in self.running:
            self._write_redirects(instance)

    def cut(self, instance: str, how: str, *servers: str) -> None:
        """Cut the paths of an instance to servers, by default to all."""
        names = servers or tuple(self.servers)
        for name in names:
            self._cuts[instance, name] = how
        self._write_redirects(instance)
        for name in names:
            proxy = self._proxies[instance, name]
            if how == HANG:
                self._proxy_loop.run(proxy.hold())
            elif how == RESET:
                self._proxy_loop.run(proxy.reset())

    def close_port(self, name: str) -> None:
        """Make a server refuse new connections; called on the loop of the servers."""
        PlatformWorld.close_port(self, name)
        self._write_all_redirects()

    def lose_host(self, name: str) -> None:
        """Leave new connections to a server without an answer, from all instances."""
        for instance in self.running:
            self._cuts.setdefault((instance, name), HANG_NEW)
            self._write_redirects(instance)

    def hold_ends(self, instance: str) -> None:
        """Let an instance learn later, if at all, that servers have closed its connections."""
        for name in self.servers:
            self._proxy_loop.run(self._proxies[instance, name].hold_ends())

    def heal(self, instance: str) -> None:
        """Restore all paths of an instance, and deliver what they held."""
        for name in self.servers:
            self._cuts.pop((instance, name), None)
            self._proxy_loop.run(self._proxies[instance, name].release())
        self._write_redirects(instance)

    def delay_connects(self, instance: str, delay_s: float, *servers: str) -> None:
        """Establish connections of an instance to servers, by default to all, later."""
        for name in servers or tuple(self.servers):
            self._connect_delays[instance, name] = delay_s
        self._write_delays(instance)

    def _write_delays(self, instance: str) -> None:
        delays = {
            self.servers[name].address: delay_s
            for (delayed, name), delay_s in self._connect_delays.items()
            if delayed == instance
        }
        _replace_file(self._delays_path(instance), json.dumps(delays))

    def _launch(self, name: str) -> Process:
        self._write_redirects(name)
        self._write_delays(name)
        env = {
            "TURMERICWEIR_CONFIG": str(self.directory / f"{name}.json"),
            REDIRECTS_VARIABLE: str(self._redirects_path(name)),
            DELAYS_VARIABLE: str(self._delays_path(name)),
            "PYTHONPATH": os.pathsep.join([str(ROOT), *sys.path]),
        }
        argv = [sys.executable, "-m", "tests.platform.cut_instance"]
        process = Process(argv, name=name, directory=self.directory, env=env)
        process.start()
        return process

    def _redirects_path(self, instance: str) -> Path:
        return self.directory / f"{instance}.redirects.json"

    def _delays_path(self, instance: str) -> Path:
        return self.directory / f"{instance}.delays.json"

    def _write_redirects(self, instance: str) -> None:
        redirects = {}
        for name, server in self.servers.items():
            if (instance, name) not in self._proxies:
                proxy = self._proxies[instance, name] = PathProxy(server.address)
                self._proxy_loop.run(proxy.start())
            redirects[server.address] = self._path_address(instance, name)
        _replace_file(self._redirects_path(instance), json.dumps(redirects))

    def _path_address(self, instance: str, server: str) -> str:
        match self._cuts.get((instance, server)):
            case None if server in self.crashed_servers or server in self.closed_ports:
                # A proxy would accept the connection.
                return self.servers[server].address
            case None:
                return self._proxies[instance, server].address
            case "hang" | "hang_new":
                return self._unanswered.address
            case _:
                # Nothing listens there.
                return "127.0.0.1:1"


def _replace_file(path: Path, text: str) -> None:
    new_path = path.with_suffix(".new")
    new_path.write_text(text)
    new_path.replace(path)
