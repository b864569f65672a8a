"""Soak test in which signals come in series: during starts, beside stops and until the end.

Reloads, new settings and starts beside the earlier process overlap with them. Every process that
has begun to run must end by its stop and say so, whatever else it was sent.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import ClassVar, Final

from tests.platform.signal_series import signal_until_gone
from tests.platform.soak import Soak, Span
from turmericweir_standins.procs import Process

PAUSES_S: Final = (0.005, 0.05, 0.5)


@dataclass(slots=True)
class SignalSoak(Soak):
    """A soak whose faults are mostly signals."""

    has_unique_requests: ClassVar[bool] = True

    def faults(self) -> Sequence[Callable[[SignalSoak], None]]:
        """Return the faults of which one is drawn at a time."""
        return SIGNAL_FAULTS

    def inject_faults(self, seconds: float) -> None:
        """Start faults, and report processes that have ended without being asked."""
        super(SignalSoak, self).inject_faults(seconds)
        for name, instance in self.world.running.items():
            if not instance.process.is_running:
                exit_code = instance.process.wait()
                last = instance.process.lines[-1:]
                self.event_log.append(f"BROKEN {name} ended by itself: {exit_code}, {last}")
                self._restart_instance(name)

    def signal_instance(self) -> None:
        """Stop a process, and send it further signals until it is gone."""
        name = self._pick_instance()
        if name is not None:
            process = self._stop_by_signals(name)
            self._end_later(0.5, 2.0, lambda: self._start_next(name, process, None))

    def succeed_instance(self) -> None:
        """Stop a process in the same way, and start the next one beside it."""
        name = self._pick_instance()
        if name is not None:
            process = self._stop_by_signals(name)
            time.sleep(self.rng.uniform(0.0, 0.5))
            successor = self.world.launch_successor(name)
            self._log(f"{name} starts beside the earlier process")
            self._end_later(0.5, 2.0, lambda: self._start_next(name, process, successor))

    def _stop_by_signals(self, name: str) -> Process:
        process = self.world.running[name].process
        span = Span(name, time.monotonic())
        self.stopped.append(span)
        self.unavailable.add(name)
        self.stopping.add(name)
        first = self.rng.choice((signal.SIGTERM, signal.SIGINT))
        pause_max_s = self.rng.choice(PAUSES_S)
        os.kill(process.pid, first)
        series = (process, Random(self.rng.random()), pause_max_s)
        threading.Thread(target=signal_until_gone, args=series).start()
        threading.Thread(target=self._note_end, args=(span,)).start()
        self._log(f"{name} gets {first.name}, then signals each {pause_max_s} s")
        return process

    def _start_next(self, name: str, process: Process, successor: Process | None) -> None:
        self._check_end(name, process)
        if successor is None:
            self._restart_instance(name)
            return
        instance = self.world.running[name]
        instance.earlier_lines += process.lines
        instance.process = successor
        self.unavailable.discard(name)

    def _check_end(self, name: str, process: Process) -> None:
        exit_code = process.wait(20)
        lines = _log_lines(process)
        has_begun = any(each["event"] == "starting" for each in lines)
        last = lines[-1] if lines else {}
        is_stop = last.get("event") == "ended" and last.get("reason") == "stop_requested"
        if has_begun and (exit_code != 0 or not is_stop):
            self.event_log.append(f"BROKEN {name} ended with {exit_code}, its last line is {last}")

    def reload_instance(self) -> None:
        """Write the settings file of a process again, and tell it so in a series of signals."""
        name = self._pick_instance()
        # Before its first line SIGHUP ends a process, as nothing of it runs yet.
        if name is None or not self.world.running[name].process.lines:
            return
        path = self.world.directory / f"{name}.json"
        written = path.with_suffix(".written")
        written.write_text(path.read_text())
        written.rename(path)
        for _ in range(self.rng.randint(1, 4)):
            os.kill(self.world.running[name].process.pid, signal.SIGHUP)
            time.sleep(self.rng.uniform(0.0, 0.02))
        self._log(f"{name} reloads")


def _log_lines(process: Process) -> list[dict[str, str]]:
    lines = []
    for line in list(process.lines):
        with contextlib.suppress(ValueError):
            lines.append(json.loads(line))
    return lines


SIGNAL_FAULTS: Final[tuple[Callable[[SignalSoak], None], ...]] = (
    *[SignalSoak.signal_instance] * 4,
    *[SignalSoak.succeed_instance] * 3,
    *[SignalSoak.reload_instance] * 4,
    *[Soak.change_settings] * 2,
    Soak.drain_server,
    Soak.stop_instance,
    Soak.kill_instance,
)
