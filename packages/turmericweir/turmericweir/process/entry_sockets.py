"""The sockets of an instance without which it serves nobody.

They are bound all together or not at all, before the daemon's modules are imported, and then held
until the process ends. Of two processes with the same settings, at most one has them: the callers'
port listens, the earlier process keeps the others for as long as it answers requests, and a process
that gets only some of them gives these up again.

Without the port for balancers no callers come. Without the ports for peers, an instance would not
know what the others use of the servers and of the customers' limits. The ports for operators and
metrics are not needed to serve; the daemon binds them.
"""

from __future__ import annotations

import socket
from contextlib import ExitStack
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

from returns.result import Failure, Result, Success

from turmericweir.process.entry_settings import EntrySettings
from turmericweir.process.errors import ListenError
from turmericweir.process.listening_socket import bind, bind_datagrams, listen
from turmericweir.process.socket_buffers import SocketBuffers

# Large enough for the connections that arrive during startup.
_CALLERS_BACKLOG: Final = 2_048
_CALLERS_STEP: Final = "listen for callers"


@dataclass(frozen=True, slots=True)
class EntrySockets:
    """The bound sockets, of which that for callers listens; closed on exit."""

    callers: socket.socket
    readiness: socket.socket
    peer_streams: socket.socket
    peer_datagrams: socket.socket

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for sock in (self.callers, self.readiness, self.peer_streams, self.peer_datagrams):
            sock.close()


def bind_entry_sockets(cfg: EntrySettings) -> Result[EntrySockets, ListenError]:
    """Bind all sockets and listen for callers, or leave no socket open."""
    with ExitStack() as stack:
        try:
            sockets = _bind_all(cfg, stack)
            _limit_buffers(cfg, sockets)
            listen(sockets.callers, _CALLERS_BACKLOG, _CALLERS_STEP)
        except ListenError as exc:
            return Failure(exc)
        stack.pop_all()
    return Success(sockets)


def _bind_all(cfg: EntrySettings, stack: ExitStack) -> EntrySockets:
    return EntrySockets(
        callers=stack.enter_context(bind(cfg.caller_address, _CALLERS_STEP)),
        readiness=stack.enter_context(bind(cfg.readiness_address, "listen for the balancer")),
        peer_streams=stack.enter_context(bind(cfg.peer_address, "listen for peers")),
        peer_datagrams=stack.enter_context(
            bind_datagrams(cfg.peer_address, "listen for datagrams")
        ),
    )


def _limit_buffers(cfg: EntrySettings, sockets: EntrySockets) -> None:
    memory_bytes = cfg.machine.socket_memory_bytes
    clients = SocketBuffers.for_clients(memory_bytes, cfg.machine.max_fds)
    for sock in (sockets.callers, sockets.readiness):
        clients.limit_accepted(sock)
    SocketBuffers.for_peers(memory_bytes).limit_accepted(sockets.peer_streams)
