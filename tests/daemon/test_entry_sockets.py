"""Tests of the sockets that an instance needs, and of two processes that want the same ones."""

from __future__ import annotations

import errno
import socket

import pytest
from returns.pipeline import is_successful

from turmericweir.process.entry_settings import EntrySettings, StoreSettings
from turmericweir.process.entry_sockets import bind_entry_sockets
from turmericweir.process.errors import AddressUnavailableError, ListenError
from turmericweir.process.listening_socket import bind, bind_datagrams, listen
from turmericweir_standins.procs import free_address

BACKLOG = 8


def make_settings() -> EntrySettings:
    return EntrySettings(
        name="entry-1",
        data_centre="dc-1",
        region="home",
        caller_address=free_address(),
        readiness_address=free_address(),
        peer_address=free_address(),
        store=StoreSettings(address=free_address()),
    )


def test_second_process_gets_no_socket_until_the_first_one_has_closed_all() -> None:
    # Guards against two processes that serve the same addresses.
    cfg = make_settings()
    with bind_entry_sockets(cfg).unwrap() as sockets:
        for sock in (sockets.callers, sockets.readiness, sockets.peer_streams):
            sock.listen()
        for name in ("callers", "readiness", "peer_streams", "peer_datagrams"):
            result = bind_entry_sockets(cfg)
            assert isinstance(result.failure(), AddressUnavailableError), name
            getattr(sockets, name).close()
    with bind_entry_sockets(cfg).unwrap():
        pass


def test_two_processes_that_start_at_once_do_not_both_get_the_sockets() -> None:
    # Guards against two processes that both hold bound sockets, of which none listens yet.
    cfg = make_settings()
    with bind_entry_sockets(cfg).unwrap():
        assert not is_successful(bind_entry_sockets(cfg))


def test_failed_start_holds_no_address() -> None:
    # Guards against processes that wait for each other's addresses.
    cfg = make_settings()
    with bind_datagrams(cfg.peer_address, "test"):
        assert not is_successful(bind_entry_sockets(cfg))
        for address in (cfg.caller_address, cfg.readiness_address, cfg.peer_address):
            with bind(address, "test") as sock:
                listen(sock, BACKLOG, "test")


def test_datagram_address_cannot_be_shared() -> None:
    # Guards against two processes that each receive a part of the datagrams.
    address = free_address()
    host, _, port = address.rpartition(":")
    with bind_datagrams(address, "test"), socket.socket(type=socket.SOCK_DGRAM) as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with pytest.raises(OSError, match="Address already in use"):
            other.bind((host, int(port)))


def test_address_that_is_refused_for_good_is_no_unavailable_one() -> None:
    # Guards against waiting for an address that cannot become available.
    with pytest.raises(ListenError) as failure:
        bind("no host:80", "test")
    assert not isinstance(failure.value, AddressUnavailableError)


@pytest.mark.parametrize("code", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_want_of_the_system_is_waited_for(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a start that ends because the machine has no socket to give for a moment.
    cfg = make_settings()

    def refuse(*args: int) -> socket.socket:
        raise OSError(code, "the machine has none left")

    monkeypatch.setattr("socket.socket", refuse)
    result = bind_entry_sockets(cfg)
    assert isinstance(result.failure(), AddressUnavailableError)


def test_want_of_descriptors_is_an_error_of_the_step(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a start that ends with a traceback, and without the step that failed.
    def refuse(*args: int) -> socket.socket:
        raise OSError(errno.EMFILE, "no descriptor left")

    cfg = make_settings()
    monkeypatch.setattr("socket.socket", refuse)
    error = bind_entry_sockets(cfg).failure()
    assert (error.step, error.peer) == ("listen for callers", cfg.caller_address)
    assert not isinstance(error, AddressUnavailableError)
