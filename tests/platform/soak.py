"""Soak test: injects random faults around real processes and checks the system's guarantees.

`python -m tests.platform.soak --seeds 1-20 --seconds 12` runs one world for each seed. Faults in
instances, servers, the store and the settings overlap at random while callers send requests over
open connections, which they use until the process of an instance is gone. The checks use what
callers received and what servers ran, not the state that instances report.
"""

from __future__ import annotations

import argparse
import http.client
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import ClassVar, Final, Self

from tests.platform.platform_world import KEY, Answer, PlatformWorld, until
from tests.platform.soak_callers import CallerConnections
from tests.promises import promises_not_run

SECOND_KEY: Final = "key-2"
REVOKE_S: Final = 2.6
DRAIN_S: Final = 2.0
# Allowance for delays between callers, instances and servers on a busy machine.
SLACK_S: Final = 0.8
CALLERS: Final = 5
# Callers that leave their connections idle between two requests, and before the first one. A
# connection without a request is closed after the settings' limit for headers.
IDLE_CALLERS: Final = 24
IDLE_MAX_S: Final = 6.0
FIRST_IDLE_MAX_S: Final = 2.0
SERVER_MODES: Final = (
    "lost",
    "error",
    "shed",
    "false_promise",
    "foreign",
    "unsigned",
    "extra",
    "stale",
    "cut",
    "short",
    "misdirected",
)
STREAMS: Final = frozenset({"chat", "doc"})
# Correct answers: a complete stream, and the first answer of a server in the mode "extra".
COMPLETE_STREAM: Final = [f"piece {number}" for number in range(6)]
EXTRA_MODE_BODY: Final = b"mine"
STORE_MODES: Final = ("busy", "reset", "silent")


@dataclass(slots=True)
class SentRequest:
    """A request of a caller and its result."""

    request_id: str
    kind: str
    instance: str
    key: str
    # When its connection was opened, and when it was sent.
    connected_at: float
    sent_at: float
    answer: Answer | None = None
    # The exception, if there is no answer.
    error: str = ""


@dataclass(slots=True)
class Span:
    """A period of time during which something applies."""

    subject: str
    start: float
    end: float = float("inf")

    def covers(self, start: float, end: float) -> bool:
        """Return whether this period contains another."""
        return self.start <= start and end <= self.end

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether this period overlaps another."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class Soak:
    """A world with its callers and faults."""

    # The kind of world that a run makes.
    world_class: ClassVar[type[PlatformWorld]] = PlatformWorld
    engines: ClassVar[int] = 3
    versions: ClassVar[tuple[str, ...]] = ()
    # Whether no two requests are alike, so that none is held against another at crashes.
    has_unique_requests: ClassVar[bool] = False
    # When the servers started, as their entries say; None if they say nothing of it at first.
    born: ClassVar[int | None] = None
    # Time after which a key that was taken away is used no more.
    revoke_s: ClassVar[float] = REVOKE_S

    world: PlatformWorld
    rng: Random
    sent: list[SentRequest] = field(default_factory=list)
    # Revoked keys, leaving servers, and faults of the store or of frozen processes during which
    # leaving servers are not checked.
    revoked: list[Span] = field(default_factory=list)
    leaving: list[Span] = field(default_factory=list)
    unchecked: list[Span] = field(default_factory=list)
    # Instances that were stopped by a signal, and that were killed.
    # A stop ends when the process is gone.
    stopped: list[Span] = field(default_factory=list)
    killed: list[Span] = field(default_factory=list)
    # Instances to which callers open no connections, and those among them that still serve the
    # connections that are open.
    unavailable: set[str] = field(default_factory=set)
    stopping: set[str] = field(default_factory=set)
    stop_event: threading.Event = field(default_factory=threading.Event)
    # Pending ends of faults: the time and the action.
    fault_ends: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    event_log: list[str] = field(default_factory=list)

    # --- callers ---

    def more_callers(self) -> list[Callable[[], None]]:
        """Return callers of other kinds, each until the soak is over."""
        return []

    def call_until_over(self, number: int, max_pause_s: float = 0.04) -> None:
        """Send requests one after the other until the soak is over."""
        rng = Random(number)
        with CallerConnections(self.world) as connections:
            while not self.stop_event.is_set():
                reachable = [
                    name
                    for name in self.world.running
                    if name not in self.unavailable
                    or (name in self.stopping and connections.is_open(name))
                ]
                if reachable:
                    request_id = f"{number}-{len(self.sent)}-{rng.random():.9f}"
                    self._call(rng, request_id, rng.choice(reachable), connections, max_pause_s)
                self.stop_event.wait(rng.uniform(0.0, max_pause_s))

    def _call(
        self,
        rng: Random,
        request_id: str,
        instance: str,
        connections: CallerConnections,
        max_pause_s: float,
    ) -> None:
        kind = rng.choice(("look", "buy", "chat", "doc"))
        path = {"look": "/shop/look/", "buy": "/shop/buy/"}.get(kind, f"/lm/{kind}/")
        if self.has_unique_requests:
            path += request_id
        key = rng.choice((KEY, SECOND_KEY))
        method = "GET" if kind == "look" else "POST"
        body = b"" if kind == "look" else b"body"
        headers = self.world.request_headers(path, request_id, X_Key=key)
        sent: SentRequest | None = None
        try:
            if not connections.is_open(instance):
                # The process is restarting if this fails.
                connections.open(instance)
                self.stop_event.wait(rng.uniform(0.0, min(max_pause_s, FIRST_IDLE_MAX_S)))
            connected_at = connections.opened_at(instance)
            sent = SentRequest(request_id, kind, instance, key, connected_at, time.monotonic())
            self.sent.append(sent)
            sent.answer = connections.send(instance, method, path, body, headers)
        except (OSError, http.client.HTTPException) as exc:
            if sent is not None:
                sent.error = f"{type(exc).__name__}: {exc} at {time.monotonic():.2f}"

    # --- faults ---

    def inject_faults(self, seconds: float) -> None:
        """Start faults one after the other, and end each after its duration."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._end_faults(time.monotonic())
            start_fault = self.rng.choice(self.faults())
            start_fault(self)
            time.sleep(self.rng.uniform(0.05, 0.7))
        # The end of a fault may set another one.
        while self.fault_ends:
            self._end_faults(float("inf"))

    def faults(self) -> Sequence[Callable[[Self], None]]:
        """Return the faults of which one is drawn at a time."""
        return FAULTS

    def _end_faults(self, now: float) -> None:
        due_ends = [each for each in self.fault_ends if each[0] <= now]
        self.fault_ends = [each for each in self.fault_ends if each[0] > now]
        for _, end_fault in due_ends:
            end_fault()

    def _end_later(self, min_s: float, max_s: float, end_fault: Callable[[], None]) -> None:
        self.fault_ends.append((time.monotonic() + self.rng.uniform(min_s, max_s), end_fault))

    def _log(self, text: str) -> None:
        self.event_log.append(f"{time.monotonic():.2f} {text}")

    def disturb_store(self) -> None:
        """Make the store unavailable, unresponsive or slow."""
        if self.world.store.mode or self.world.store.delay_s:
            return
        span = Span("store", time.monotonic())
        self.unchecked.append(span)
        if self.rng.random() < 0.3:
            self.world.store.delay_s = 0.3
        else:
            self.world.store.mode = self.rng.choice(STORE_MODES)
        self._log(f"store {self.world.store.mode or 'slow'}")
        self._end_later(0.3, 3.0, lambda: self._restore_store(span))

    def _restore_store(self, span: Span) -> None:
        self.world.store.mode = ""
        self.world.store.delay_s = 0.0
        # Covers the backoff of the instances.
        span.end = time.monotonic() + 1.5

    def change_settings(self) -> None:
        """Publish settings that revoke the second key or restore it."""
        active_revocation = next((each for each in self.revoked if each.end == float("inf")), None)
        keys = [KEY]
        if active_revocation is not None:
            active_revocation.end = time.monotonic()
            keys.append(SECOND_KEY)
        self.world.publish(tenants=[{"name": "school", "api-keys": keys, "priority": 1}])
        if active_revocation is None:
            self.revoked.append(Span(SECOND_KEY, time.monotonic()))
        self._log(f"version {self.world.version} with {len(keys)} keys")

    def drain_server(self) -> None:
        """Make a server leave, and return later with a new start time."""
        name = self.rng.choice(sorted(self.world.servers))
        leaving = self.leaving_servers()
        if name in leaving or name in self.world.crashed_servers or len(leaving) >= 2:
            return
        self.world.register(name, state="draining", seq=2)
        span = Span(name, time.monotonic())
        self.leaving.append(span)
        self._log(f"{name} leaves")
        self._end_later(3.0, 5.0, lambda: self._return_server(span))

    def leaving_servers(self) -> set[str]:
        """Return the names of the servers that are leaving now."""
        return {each.subject for each in self.leaving if each.end == float("inf")}

    def _return_server(self, span: Span) -> None:
        span.end = time.monotonic()
        if span.subject not in self.world.crashed_servers:
            self.world.register(span.subject, born=time.time_ns() // 1_000_000)

    def crash_server(self) -> None:
        """Close the port of a server, and restart it later under its name."""
        name = self.rng.choice(sorted(self.world.servers))
        leaving = self.leaving_servers()
        if self.world.crashed_servers or name in leaving:
            return
        self.world.crash_server(name)
        self._log(f"{name} crashes")
        self._end_later(
            0.3, 2.0, lambda: self.world.restart_server(name, time.time_ns() // 1_000_000)
        )

    def make_server_misbehave(self) -> None:
        """Make a server misbehave for its next requests."""
        name = self.rng.choice(sorted(self.world.servers))
        mode = self.rng.choice(SERVER_MODES)
        self.world.set_mode(mode, name, request_count=self.rng.randint(1, 4))
        self._log(f"{name} {mode}")

    def kill_instance(self) -> None:
        """Kill a process and restart it later."""
        name = self._pick_instance()
        if name is None:
            return
        self.unavailable.add(name)
        self.killed.append(Span(name, time.monotonic()))
        self.world.running[name].process.kill()
        self._log(f"{name} killed")
        self._end_later(0.1, 1.5, lambda: self._restart_instance(name))

    def stop_instance(self) -> None:
        """Stop a process by one or two signals, and restart it when it has ended."""
        name = self._pick_instance()
        if name is None:
            return
        process = self.world.running[name].process
        span = Span(name, time.monotonic())
        self.stopped.append(span)
        self.unavailable.add(name)
        self.stopping.add(name)
        process.terminate()
        if self.rng.random() < 0.3:
            process.terminate()
        self._log(f"{name} gets a stop signal")
        threading.Thread(target=self._note_end, args=(span,)).start()
        self._end_later(0.5, 2.0, lambda: self._restart_when_ended(name))

    def _note_end(self, span: Span) -> None:
        """Record when the process of a stopped instance is gone."""
        self.world.running[span.subject].process.wait(None)
        self.stopping.discard(span.subject)
        span.end = time.monotonic()

    def _restart_when_ended(self, name: str) -> None:
        instance = self.world.running[name]
        exit_code = instance.process.wait(20)
        # Until the process handles signals its exit code is not 0; it has no callers yet.
        if exit_code != 0 and instance.logged("starting"):
            self.event_log.append(f"BROKEN {name} ended with {exit_code} after a stop signal")
        self._restart_instance(name)

    def freeze_instance(self) -> None:
        """Suspend a process for some time."""
        name = self._pick_instance()
        if name is None:
            return
        process = self.world.running[name].process
        span = Span("freeze", time.monotonic())
        self.unchecked.append(span)
        self.unavailable.add(name)
        process.pause()
        self._log(f"{name} freezes")

        def resume() -> None:
            process.resume()
            self.unavailable.discard(name)
            span.end = time.monotonic() + 1.0

        self._end_later(0.2, 3.5, resume)

    def _pick_instance(self) -> str | None:
        running = [name for name in sorted(self.world.running) if name not in self.unavailable]
        return self.rng.choice(running) if len(running) > 1 else None

    def _restart_instance(self, name: str) -> None:
        self.world.restart_instance(name)
        self.unavailable.discard(name)

    # --- checks ---

    def violations(self) -> list[str]:
        """Return descriptions of all violated guarantees."""
        violations = [each for each in self.event_log if each.startswith("BROKEN")]
        for sent in self.sent:
            violations += self._check_request(sent)
        for span in self.leaving:
            violations += self._check_leaving(span)
        for instance in self.world.running.values():
            violations += [
                f"{instance.name} logged a fault {line}" for line in instance.logged("fault")
            ]
        return violations

    def _check_request(self, sent: SentRequest) -> list[str]:
        runs = self.world.runs(sent.request_id)
        violations = []
        if sent.kind in ("buy", "doc") and len(runs) > 1:
            violations += [f"{sent} ran {len(runs)} times", *self._log_lines(sent)]
        answer = sent.answer
        if answer is None:
            if self._was_stopped_gracefully(sent):
                violations.append(f"{sent} got no answer from an instance that stopped gracefully")
                violations += self._log_lines(sent)
            return violations
        is_promised = promises_not_run(answer.status, answer.headers, answer.body)
        if is_promised and runs and sent.kind in ("buy", "doc"):
            violations.append(f"{sent} ran but was answered as not run")
        if answer.status == 200 and not answer.is_cut:
            if answer.headers.get("x-attempt-id") != sent.request_id:
                violations.append(f"{sent} got the answer to another request")
            if (
                answer.body != EXTRA_MODE_BODY
                and not self.is_complete_stream(answer.event_data)
                and sent.kind in STREAMS
            ):
                violations += [f"{sent} got {answer.event_data}", *self._log_lines(sent)]
            is_plain_answer = answer.body == EXTRA_MODE_BODY or answer.body.startswith(b"by shop-")
            if sent.kind not in STREAMS and not is_plain_answer:
                violations += [f"{sent} got {answer.body!r}", *self._log_lines(sent)]
        if answer.status == 200 and sent.key == SECOND_KEY:
            window_start = sent.sent_at - self.revoke_s - SLACK_S
            # A request that waited in a frozen process may run after the key was restored.
            ran_at = max((each.received_at for each in runs), default=sent.sent_at)
            if any(each.covers(window_start, ran_at) for each in self.revoked):
                violations.append(f"{sent} was served with a revoked key")
        return violations

    def is_complete_stream(self, event_data: list[str]) -> bool:
        """Return whether the events of an answer are all there."""
        return event_data == COMPLETE_STREAM

    def _log_lines(self, sent: SentRequest) -> list[str]:
        """Return what the instance of a request has logged about it."""
        instance = self.world.running[sent.instance]
        lines = [*instance.earlier_lines, *instance.process.lines]
        return [f"  {line}" for line in lines if sent.request_id in line] or ["  not logged"]

    def _was_stopped_gracefully(self, sent: SentRequest) -> bool:
        """Return whether the instance of a request was stopped gracefully and not killed."""
        stops = [each for each in self.stopped if each.subject == sent.instance]
        # The end of the process to which the connection was opened.
        stop = next((each for each in stops if each.end > sent.connected_at), None)
        if stop is None or sent.sent_at > stop.end or stop.start - sent.sent_at > 8.0:
            return False
        return not any(
            each.subject == sent.instance and sent.connected_at - 1.0 < each.start < stop.end
            for each in self.killed
        )

    def _check_leaving(self, span: Span) -> list[str]:
        start = span.start + DRAIN_S + SLACK_S
        if any(each.overlaps(span.start - 1.0, start) for each in self.unchecked):
            return []
        end = min(span.end, start + 0.5)
        requests = self.world.servers[span.subject].received
        late_runs = [each for each in requests if each.was_run and start < each.received_at < end]
        return [f"{span.subject} left at {span.start:.2f} and got {each}" for each in late_runs]


FAULTS: Final = (
    Soak.disturb_store,
    Soak.change_settings,
    Soak.drain_server,
    Soak.crash_server,
    Soak.make_server_misbehave,
    Soak.make_server_misbehave,
    Soak.kill_instance,
    Soak.stop_instance,
    Soak.freeze_instance,
)


def run(seed: int, seconds: float, directory: Path, make_soak: type[Soak] = Soak) -> list[str]:
    """Run the soak with a seed; return the violated guarantees."""
    bounds = {"revoke_ms": make_soak.revoke_s * 1000, "drain_ms": DRAIN_S * 1000}
    with make_soak.world_class(
        directory,
        engines=make_soak.engines,
        plain_servers=3,
        instances=3,
        versions=make_soak.versions,
        born=make_soak.born,
        bounds=bounds,
    ) as world:
        soak = make_soak(world, Random(seed))
        callers = [
            threading.Thread(target=soak.call_until_over, args=(number,))
            for number in range(CALLERS)
        ]
        callers += [
            threading.Thread(target=soak.call_until_over, args=(CALLERS + number, IDLE_MAX_S))
            for number in range(IDLE_CALLERS)
        ]
        callers += [threading.Thread(target=each) for each in soak.more_callers()]
        for each in callers:
            each.start()
        try:
            soak.inject_faults(seconds)
            _settle(soak)
        finally:
            soak.stop_event.set()
            for each in callers:
                each.join()
        violations = soak.violations()
        for line in soak.event_log:
            if "joined" in line:
                print(f"  {line}", flush=True)
        if violations:
            violations += [f"  {each}" for each in soak.event_log]
        return violations


def _settle(soak: Soak) -> None:
    """Reset servers and settings, and wait until every instance serves all kinds of requests."""
    world = soak.world
    world.set_mode("")
    for span in soak.revoked:
        span.end = min(span.end, time.monotonic())
    world.publish()
    for name in world.running:
        try:
            until(partial(_serves_all, world, name), f"{name} serves again")
        except TimeoutError as exc:
            soak.event_log.append(
                f"BROKEN {exc}: {_describe_answers(world, name)}, {world.reported_state(name)}"
            )


def _serves_all(world: PlatformWorld, name: str) -> bool:
    try:
        return all(each.status == 200 for each in _send_all_kinds(world, name))
    except (OSError, http.client.HTTPException):
        return False


def _describe_answers(world: PlatformWorld, name: str) -> str:
    try:
        return str(_send_all_kinds(world, name))
    except (OSError, http.client.HTTPException) as exc:
        return f"{type(exc).__name__}: {exc}"


def _send_all_kinds(world: PlatformWorld, name: str) -> list[Answer]:
    return [
        world.send_safe(instance=name, X_Key=SECOND_KEY),
        world.send_unsafe(instance=name),
        world.send(instance=name),
    ]


def _choose_soak(
    *,
    notices: bool,
    cuts: bool,
    versions: bool,
    brittle: bool,
    breaks: bool,
    copies: bool,
    ends: bool,
    repeats: bool,
    partitions: bool,
    restarts: bool,
    second_runs: bool,
    growth: bool,
    signals: bool,
    slow: bool,
    names: bool,
) -> type[Soak]:
    # Imported late, as these modules import this one.
    if notices:
        from tests.platform.soak_notices import NoticeSoak

        return NoticeSoak
    if cuts:
        from tests.platform.soak_cuts import CutSoak

        return CutSoak
    if versions:
        from tests.platform.soak_versions import VersionSoak

        return VersionSoak
    if brittle:
        from tests.platform.soak_brittle import BrittleSoak

        return BrittleSoak
    if breaks:
        from tests.platform.soak_breaks import BreakSoak

        return BreakSoak
    if copies:
        from tests.platform.soak_copies import CopySoak

        return CopySoak
    if ends:
        from tests.platform.soak_ends import EndSoak

        return EndSoak
    if repeats:
        from tests.platform.soak_repeats import RepeatSoak

        return RepeatSoak
    if restarts:
        from tests.platform.soak_restarts import RestartSoak

        return RestartSoak
    if partitions:
        from tests.platform.soak_partitions import PartitionSoak

        return PartitionSoak
    if second_runs:
        from tests.platform.soak_second_runs import SecondRunSoak

        return SecondRunSoak
    if growth:
        from tests.platform.soak_growth import GrowthSoak

        return GrowthSoak
    if signals:
        from tests.platform.soak_signals import SignalSoak

        return SignalSoak
    if slow:
        from tests.platform.soak_slow import SlowSoak

        return SlowSoak
    if names:
        from tests.platform.soak_names import NameSoak

        return NameSoak
    return Soak


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-10")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--notices", action="store_true", help="servers make statements")
    parser.add_argument("--cuts", action="store_true", help="instances lose paths to servers")
    parser.add_argument("--versions", action="store_true", help="servers of several versions")
    parser.add_argument("--brittle", action="store_true", help="servers are brittle at times")
    parser.add_argument(
        "--breaks", action="store_true", help="servers break off answers; a part crashes engines"
    )
    parser.add_argument(
        "--copies", action="store_true", help="the store comes back from copies; all are killed"
    )
    parser.add_argument(
        "--ends", action="store_true", help="servers exit in answers; refusals name no request"
    )
    parser.add_argument(
        "--repeats", action="store_true", help="servers copy answers to earlier arrivals"
    )
    parser.add_argument(
        "--partitions", action="store_true", help="instances are cut off in a rollout"
    )
    parser.add_argument(
        "--restarts", action="store_true", help="engines start again with other versions, unlisted"
    )
    parser.add_argument(
        "--second-runs", action="store_true", help="trouble between two sends; callers send ahead"
    )
    parser.add_argument(
        "--growth", action="store_true", help="one process runs through all; its size is printed"
    )
    parser.add_argument(
        "--signals", action="store_true", help="signals in series until processes are gone"
    )
    parser.add_argument(
        "--slow", action="store_true", help="ends are slow and close kept connections"
    )
    parser.add_argument(
        "--names", action="store_true", help="other writers put odd names into the store"
    )
    args = parser.parse_args()
    make_soak = _choose_soak(
        notices=args.notices,
        cuts=args.cuts,
        versions=args.versions,
        brittle=args.brittle,
        breaks=args.breaks,
        copies=args.copies,
        ends=args.ends,
        repeats=args.repeats,
        partitions=args.partitions,
        restarts=args.restarts,
        second_runs=args.second_runs,
        growth=args.growth,
        signals=args.signals,
        slow=args.slow,
        names=args.names,
    )
    first, _, last = args.seeds.partition("-")
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = run(seed, args.seconds, directory, make_soak)
        failed_seeds += bool(violations)
        print(
            f"seed {seed}: {'broken, see ' + str(directory) if violations else 'kept'}", flush=True
        )
        for line in violations:
            print(f"  {line}", flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
