"""Test the event loop that stays correct when its process is suspended."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time

import pytest

from turmericweir.process.boot_clock import BootClockLoop


@pytest.mark.parametrize("has_events", [False, True])
def test_data_that_arrived_during_a_suspension_is_read_before_due_timers(
    monkeypatch: pytest.MonkeyPatch, has_events: bool
) -> None:
    # Guards against connections that are closed as idle after a suspension, with an unread request.
    select = selectors.DefaultSelector.select
    order: list[str] = []
    with contextlib.ExitStack() as stack:
        near, far = socket.socketpair()
        stack.enter_context(near)
        stack.enter_context(far)

        def select_when_suspended(
            selector: selectors.DefaultSelector, timeout: float | None = None
        ) -> list[tuple[selectors.SelectorKey, int]]:
            if not timeout or order:
                return select(selector, timeout)
            # Suspended before the wait returns what it has found.
            events = select(selector, 0)
            far.send(b"request")
            time.sleep(timeout)
            return events

        loop = stack.enter_context(contextlib.closing(BootClockLoop()))
        monkeypatch.setattr(selectors.DefaultSelector, "select", select_when_suspended)

        def read() -> None:
            near.recv(99)
            order.append("data")

        loop.add_reader(near, read)
        if has_events:
            other = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            loop.add_writer(other, lambda: loop.remove_writer(other))
        loop.call_later(0.01, order.append, "timer")
        loop.call_later(0.02, loop.stop)
        loop.run_forever()
    assert order == ["data", "timer"]
