"""Tests of the settings reducer: `cases/settings_sync.test`, and properties under random faults.

The cases describe one instance and its log:

    now SECONDS                  set the time
    log RECORD                   append an unread record to the log; see `settings_script`
    log snapshot N               append a snapshot of the state before offset N
    read [N]                     read at most N records from the instance's offset
    ended N                      read no records, from a log that ends at N
    expired OLDEST               the log answers that its oldest record is OLDEST
    failed                       the log cannot be read
    submit ID PATH @VERSION JSON submit an operator's change; `@-` is no version
    done ID / lost ID / refused ID   the append took effect / may have / has not
    peers NAME=OFFSET ...        set the live peers for the next ticks
    tick                         handle a tick
    ask OFFSET                   the peer `p` asks for records
    send FIRST N / send snapshot N   a peer sends N records, or the state before offset N
    show                         describe the instance
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.settings_script import ROOT, change, record_of
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import (
    AppendRecords,
    Count,
    Effect,
    Log,
    ReadLog,
    ReportVerdict,
    SendPeer,
)
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    ChangeSubmitted,
    LogExpired,
    LogFailed,
    LogRead,
    LogRecord,
)
from turmericweir_core.messages.settings_messages import SettingsAsk, SettingsSend
from turmericweir_core.records.settings_record import SETTINGS_STREAM, record_json
from turmericweir_core.records.settings_verdict import VerdictKind, verdict_json
from turmericweir_core.settings import settings_changes, settings_reducer
from turmericweir_core.state.settings_state import SettingsState, apply, state_digest, take_snapshot
from turmericweir_core.state.settings_sync import PeerSettings, SettingsSync, settings_read_offset

ME: Final = InstanceName("m")
PEER: Final = InstanceName("p")
ADDRESS: Final = "127.0.0.1:1"
OPTIONS: Final = Options(settings_keep=4, settings_send_max=2, snapshot_every=6)


def fold(values: Sequence[Any]) -> SettingsState:
    """Return the state of a reader that has read all values."""
    state = SettingsState()
    for offset, value in enumerate(values):
        apply(state, LogRecord(offset, value))
    return state


def records(values: Sequence[Any], first: int, stop: int) -> tuple[LogRecord, ...]:
    """Return a part of the log as records."""
    return tuple(LogRecord(at, values[at]) for at in range(first, min(stop, len(values))))


@dataclass(slots=True)
class Play:
    """One instance with its log and peers."""

    sync: SettingsSync = field(default_factory=SettingsSync)
    options: Options = OPTIONS
    log: list[Any] = field(default_factory=list)
    now: float = 0.0
    peers: list[PeerSettings] = field(default_factory=list)

    def run(self, line: str) -> list[str]:
        """Run a line, and return the line with its effects, if any."""
        command, _, rest = line.partition(" ")
        if command == "show":
            return [self.show()]
        effects = self.do(command, rest)
        shown = [f"    {show_effect(effect)}" for effect in effects]
        return [line, *shown] if shown else []

    def do(self, command: str, rest: str) -> list[Effect]:
        """Run one command and return its effects."""
        match command:
            case "now":
                self.now = float(rest)
                return []
            case "log":
                self.log.append(self.record(rest))
                return []
            case "peers":
                pairs = [it.split("=") for it in rest.split()]
                self.peers = [
                    PeerSettings(InstanceName(name), ADDRESS, int(at)) for name, at in pairs
                ]
                return []
            case "tick":
                return self.tick()
            case "read":
                return self.read(int(rest or len(self.log)))
            case "ended":
                ended = LogRead(SETTINGS_STREAM, (), int(rest))
                return settings_reducer.on_log_read(self.sync, self.options, self.now, ended)
            case "expired":
                event = LogExpired(SETTINGS_STREAM, int(rest), len(self.log))
                return settings_reducer.on_log_expired(self.sync, self.now, event)
            case "failed":
                failed = LogFailed(SETTINGS_STREAM, "no route")
                return settings_reducer.on_log_failed(self.sync, self.now, failed)
            case "submit":
                return self.submit(*rest.split(" ", 3))
            case "done":
                return self.done(rest)
            case "lost" | "refused":
                lost = AppendFailed(
                    SETTINGS_STREAM, rest, "timed out", may_have_applied=command == "lost"
                )
                return settings_changes.on_append_failed(self.sync, self.now, lost)
            case "ask":
                ask = SettingsAsk(int(rest))
                return settings_reducer.on_settings_ask(self.sync, self.options, PEER, ADDRESS, ask)
            case "send":
                return self.take(self.message(rest))
            case _:
                raise AssertionError(f"unknown word {command!r}")

    def record(self, text: str) -> Any:
        """Return a record for the log."""
        command, _, at = text.partition(" ")
        if command == "snapshot":
            return record_json(take_snapshot(fold(self.log[: int(at)])))
        return record_of(text)

    def message(self, text: str) -> SettingsSend:
        """Return the message that a peer sends."""
        first, _, rest = text.partition(" ")
        if first == "snapshot":
            snapshot = record_json(take_snapshot(fold(self.log[: int(rest)])))
            return SettingsSend(int(rest), [], snapshot)
        at = int(first)
        return SettingsSend(at, self.log[at : at + int(rest)])

    def take(self, message: SettingsSend) -> list[Effect]:
        """Handle a message of a peer."""
        return settings_reducer.on_settings_send(self.sync, self.options, self.now, message)

    def tick(self) -> list[Effect]:
        """Handle a tick."""
        return settings_reducer.on_tick(self.sync, self.options, self.now, ME, lambda: self.peers)

    def read(self, count_max: int) -> list[Effect]:
        """Read at most a number of records from the log."""
        first = settings_read_offset(self.sync)
        event = LogRead(SETTINGS_STREAM, records(self.log, first, first + count_max), len(self.log))
        return settings_reducer.on_log_read(self.sync, self.options, self.now, event)

    def submit(self, change_id: str, path: str, version: str, value: str) -> list[Effect]:
        """Submit a change as an operator of the process file."""
        expected = None if version == "@-" else int(version[1:])
        operator = settings_changes.BOOTSTRAP_PREFIX + ROOT
        event = ChangeSubmitted(change_id, path, expected, json.loads(value), operator)
        return settings_changes.on_change_submitted(self.sync, self.options, self.now, event)

    def done(self, change_id: str) -> list[Effect]:
        """Acknowledge the append of a record that is in the log."""
        at = max(n for n, it in enumerate(self.log) if it.get("change_id") == change_id)
        event = AppendDone(SETTINGS_STREAM, change_id, at, at + 1)
        return settings_changes.on_append_done(self.sync, event)

    def show(self) -> str:
        """Return a description of the instance in one line."""
        paths = " ".join(f"{path}@{it.version}" for path, it in self.sync.settings.entries.items())
        ready = "ready" if self.sync.has_been_complete else "not ready"
        config = self.sync.config.offset
        return f"at {self.sync.settings.offset}, {ready}, config of {config}: {paths}".rstrip(": ")


def show_effect(effect: Effect) -> str:
    """Return a description of an effect in one line."""
    match effect:
        case AppendRecords():
            (value,) = effect.records
            content = value.get("change_id", f"state before {value.get('offset')}")
            return f"append {effect.token} {content} expecting {value.get('expected_version')}"
        case ReadLog():
            return f"read from {effect.offset}"
        case SendPeer(peer, _, SettingsAsk(offset)):
            return f"to {peer}: ask from {offset}"
        case SendPeer(peer, _, SettingsSend() as sent):
            content = f"{len(sent.records)} records" if sent.snapshot is None else "snapshot"
            return f"to {peer}: {content} from {sent.first}"
        case ReportVerdict():
            fields = verdict_json(effect.verdict)
            shown = [f"{key}={it}" for key, it in fields.items() if key in SETTLED_FIELDS]
            return f"settle {effect.change_id} " + " ".join(shown)
        case Log():
            return f"log {effect.event} " + " ".join(f"{k}={v}" for k, v in effect.fields.items())
        case Count():
            return f"count {effect.name}"
        case _:
            raise AssertionError(f"unexpected {effect}")


SETTLED_FIELDS: Final = ("verdict", "version", "first", "reason")


@pytest.mark.parametrize("case", load_cases("settings_sync.test"), ids=str)
def test_sync(case: Case) -> None:
    play = Play()
    check_lines(case, [shown for line in case.lines("in") for shown in play.run(line)])


# --- properties ------------------------------------------------------------------------------


@st.composite
def logs(draw: st.DrawFn) -> list[Any]:
    """Draw a log of changes, noise, and valid and damaged snapshots."""
    values: list[Any] = []
    for number in range(draw(st.integers(1, 24))):
        kind = draw(st.sampled_from(("change", "change", "change", "noise", "snapshot", "bad")))
        if kind == "noise":
            values.append(draw(st.sampled_from((None, 7, {"type": "change"}, {"type": "x"}))))
        elif kind == "change":
            values.append(
                change(
                    f"c{draw(st.integers(0, number))}",
                    draw(st.sampled_from(("/limits/default", "/teams/t/limit"))),
                    draw(st.sampled_from(({"requests_s": number + 1}, None, {"bad": 1}))),
                    expected_version=draw(st.integers(0, number)),
                )
            )
        else:
            at = draw(st.integers(0, len(values)))
            snapshot = record_json(take_snapshot(fold(values[:at])))
            values.append({**snapshot, "hash": "0" * 32} if kind == "bad" else snapshot)
    return values


steps = st.lists(
    st.tuples(
        st.sampled_from(("read", "old_read", "expired", "failed", "send", "snapshot", "tick")),
        st.integers(0, 24),
        st.integers(0, 8),
    ),
    max_size=30,
)


def step(play: Play, kind: str, at: int, count: int) -> None:
    """Apply one step to an instance."""
    play.now += 0.25
    at = min(at, len(play.log))
    match kind:
        case "read":
            play.read(count)
        case "old_read":
            # Any part of the log, as from a delayed read or a log that was truncated since.
            event = LogRead(SETTINGS_STREAM, records(play.log, at, at + count), max(at, 1))
            settings_reducer.on_log_read(play.sync, play.options, play.now, event)
        case "expired":
            play.do("expired", str(at))
        case "failed":
            play.do("failed", "")
        case "send":
            play.take(play.message(f"{at} {count}"))
        case "snapshot":
            play.take(play.message(f"snapshot {at}"))
        case "tick":
            play.tick()
        case _:
            raise AssertionError(f"unknown kind {kind!r}")


@settings(max_examples=400, deadline=None)
@given(log=logs(), steps_taken=steps)
def test_any_order_of_sources_leads_to_the_same_state(
    log: list[Any], steps_taken: list[tuple[str, int, int]]
) -> None:
    """Prevents a state that differs from the records before its offset, or that moves back.

    Records arrive delayed, repeated, out of order and with gaps, from the log and from peers.
    """
    play = Play(log=log)
    for kind, at, count in steps_taken:
        before = play.sync.settings.offset
        published = play.sync.config.offset
        step(play, kind, at, count)
        offset = play.sync.settings.offset
        assert offset >= before
        assert play.sync.config.offset >= published
        assert state_digest(play.sync.settings) == state_digest(fold(log[:offset]))
        assert play.sync.offset_in_force() in (0, offset)
        check_answers(play)


def check_answers(play: Play) -> None:
    """Check that answers to peers agree with the log."""
    for offset in range(play.sync.settings.offset):
        for effect in play.do("ask", str(offset)):
            assert isinstance(effect, SendPeer)
            sent = effect.message
            assert isinstance(sent, SettingsSend)
            if sent.snapshot is None:
                assert sent.first == offset
                assert sent.records == play.log[offset : offset + len(sent.records)]
            else:
                assert sent.first == play.sync.settings.offset


@dataclass(slots=True)
class Operator:
    """An operator who submits a change to one instance."""

    play: Play
    change_id: str
    # The reported verdict; None until there is one.
    verdict: VerdictKind | None = None


@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_operators_receive_the_verdicts_of_the_log(data: st.DataObject) -> None:
    """Prevents a reported verdict that differs from the log when acknowledgements are lost.

    Several operators change one path through several instances at once.
    """
    log: list[Any] = []
    operators = [Operator(Play(log=log), f"c{number}") for number in range(4)]
    for operator in operators:
        play = operator.play
        play.tick()
        play.read(0)
        start = play.submit(operator.change_id, "/limits/default", "@0", '{"requests_s": 1}')
        handle(data, operator, start)
    for _ in range(40):
        operator = data.draw(st.sampled_from(operators))
        operator.play.now += 1.0
        kind = data.draw(st.sampled_from(("read", "tick")))
        handle(data, operator, operator.play.do(kind, ""))
    for operator in operators:
        settle(operator)
    verdicts = verdicts_of(log)
    reported = {operator.change_id: operator.verdict for operator in operators}
    assert {change_id: reported[change_id] for change_id in verdicts} == verdicts
    assert all(
        it is VerdictKind.NOT_APPENDED for key, it in reported.items() if key not in verdicts
    )
    assert sum(1 for it in reported.values() if it is VerdictKind.ACCEPTED) == min(1, len(verdicts))


def verdicts_of(log: list[Any]) -> dict[str, VerdictKind]:
    """Return the verdict of a reader of the whole log on each change."""
    return {change_id: seen.kind for change_id, seen in fold(log).judged_changes.items()}


def handle(data: st.DataObject, operator: Operator, effects: list[Effect]) -> None:
    """Carry out effects; appends end in any of the possible ways."""
    for effect in effects:
        if isinstance(effect, ReportVerdict):
            assert operator.verdict is None
            operator.verdict = reported_kind(effect)
        if isinstance(effect, AppendRecords):
            end = data.draw(st.sampled_from(("done", "ack lost", "not taken", "refused")))
            append(operator, effect, end)


def reported_kind(effect: ReportVerdict) -> VerdictKind:
    """Return the verdict that was reported, by the record or by its repetition."""
    fields = verdict_json(effect.verdict)
    return VerdictKind(fields.get("first", fields["verdict"]))


def append(operator: Operator, effect: AppendRecords, end: str) -> None:
    """End an append in the given way."""
    play = operator.play
    if end in ("done", "ack lost"):
        play.log += effect.records
    if effect.token != operator.change_id:
        return
    if end == "done":
        play.do("done", operator.change_id)
    else:
        play.do("refused" if end == "refused" else "lost", operator.change_id)


def settle(operator: Operator) -> None:
    """Run without faults until the operator has a verdict."""
    play = operator.play
    for _ in range(4):
        play.now += play.options.change_give_up_s
        for effect in (*play.do("read", ""), *play.tick()):
            if isinstance(effect, ReportVerdict):
                operator.verdict = reported_kind(effect)
            if isinstance(effect, AppendRecords):
                append(operator, effect, "done")
    assert operator.verdict is not None
