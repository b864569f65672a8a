"""The settings reducer: cases from `cases/settings_sync.test`, and properties under random faults.

The cases speak of one instance and of a log that it may or may not be able to read:

    now SECONDS                  the time from here on
    log RECORD                   a record enters the log, unread; see `settings_script`
    log snapshot N               a snapshot of the state before offset N enters it
    read [N]                     the log gives its records from where the instance reads, N at most
    ended N                      the log gives nothing, and says that it ends at N
    expired OLDEST               the log answers that it begins there
    failed                       the log cannot be read
    submit ID PATH @VERSION JSON an operator's change; `@-` names no version
    done ID / lost ID / refused ID   the append took effect / may have / has not
    peers NAME=OFFSET ...        the live peers, for the next ticks
    tick                         time passes
    ask OFFSET                   the peer `p` asks
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
    SendPeer,
    SettleChange,
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
from turmericweir_core.messages.peer_messages import SettingsAsk, SettingsSend
from turmericweir_core.records.settings_record import STREAM, log_form
from turmericweir_core.records.settings_verdict import VerdictKind, describe
from turmericweir_core.settings import settings_changes, settings_reducer
from turmericweir_core.state.settings_state import SettingsState, apply, state_digest, take_snapshot
from turmericweir_core.state.settings_sync import PeerSettings, SettingsSync, settings_read_offset

ME: Final = InstanceName("m")
PEER: Final = InstanceName("p")
ADDRESS: Final = "127.0.0.1:1"
OPTIONS: Final = Options(settings_keep=4, settings_send_max=2, snapshot_every=6)


def fold(values: Sequence[Any]) -> SettingsState:
    """Give the state of a reader that has read all of these."""
    state = SettingsState()
    for offset, value in enumerate(values):
        apply(state, LogRecord(offset, value))
    return state


def records(values: Sequence[Any], first: int, stop: int) -> tuple[LogRecord, ...]:
    """Give a part of the log as it is read."""
    return tuple(LogRecord(at, values[at]) for at in range(first, min(stop, len(values))))


@dataclass(slots=True)
class Play:
    """One instance, and the world that a case makes for it."""

    sync: SettingsSync = field(default_factory=SettingsSync)
    options: Options = OPTIONS
    log: list[Any] = field(default_factory=list)
    now: float = 0.0
    peers: list[PeerSettings] = field(default_factory=list)

    def run(self, line: str) -> list[str]:
        """Do what a line says, and give the line and the effects where there are any."""
        word, _, rest = line.partition(" ")
        if word == "show":
            return [self.show()]
        effects = self.do(word, rest)
        shown = [f"    {show_effect(effect)}" for effect in effects]
        return [line, *shown] if shown else []

    def do(self, word: str, rest: str) -> list[Effect]:
        """Do one thing."""
        match word:
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
                ended = LogRead(STREAM, (), int(rest))
                return settings_reducer.on_log_read(self.sync, self.options, self.now, ended)
            case "expired":
                event = LogExpired(STREAM, int(rest), len(self.log))
                return settings_reducer.on_log_expired(self.sync, self.now, event)
            case "failed":
                failed = LogFailed(STREAM, "no route")
                return settings_reducer.on_log_failed(self.sync, self.now, failed)
            case "submit":
                return self.submit(*rest.split(" ", 3))
            case "done":
                return self.done(rest)
            case "lost" | "refused":
                lost = AppendFailed(STREAM, rest, "timed out", maybe=word == "lost")
                return settings_changes.on_append_failed(self.sync, self.now, lost)
            case "ask":
                ask = SettingsAsk(int(rest))
                return settings_reducer.on_settings_ask(self.sync, self.options, PEER, ADDRESS, ask)
            case "send":
                return self.take(self.message(rest))
            case _:
                raise AssertionError(f"unknown word {word!r}")

    def record(self, text: str) -> Any:
        """Build a record for the log."""
        word, _, at = text.partition(" ")
        if word == "snapshot":
            return log_form(take_snapshot(fold(self.log[: int(at)])))
        return record_of(text)

    def message(self, text: str) -> SettingsSend:
        """Build what a peer sends."""
        first, _, rest = text.partition(" ")
        if first == "snapshot":
            snapshot = log_form(take_snapshot(fold(self.log[: int(rest)])))
            return SettingsSend(int(rest), [], snapshot)
        at = int(first)
        return SettingsSend(at, self.log[at : at + int(rest)])

    def take(self, message: SettingsSend) -> list[Effect]:
        """Hand over what a peer sends."""
        return settings_reducer.on_settings_send(self.sync, self.options, self.now, message)

    def tick(self) -> list[Effect]:
        """Let time pass."""
        return settings_reducer.on_tick(self.sync, self.options, self.now, ME, lambda: self.peers)

    def read(self, most: int) -> list[Effect]:
        """Let the log give records."""
        first = settings_read_offset(self.sync)
        event = LogRead(STREAM, records(self.log, first, first + most), len(self.log))
        return settings_reducer.on_log_read(self.sync, self.options, self.now, event)

    def submit(self, change_id: str, path: str, version: str, value: str) -> list[Effect]:
        """Let an operator of the process file ask for a change."""
        expected = None if version == "@-" else int(version[1:])
        operator = settings_changes.BOOTSTRAP_PREFIX + ROOT
        event = ChangeSubmitted(change_id, path, expected, json.loads(value), operator)
        return settings_changes.on_change_submitted(self.sync, self.options, self.now, event)

    def done(self, change_id: str) -> list[Effect]:
        """Acknowledge an append of a record that stands in the log."""
        at = max(n for n, it in enumerate(self.log) if it.get("change_id") == change_id)
        event = AppendDone(STREAM, change_id, at, at + 1)
        return settings_changes.on_append_done(self.sync, event)

    def show(self) -> str:
        """Describe the instance in one line."""
        paths = " ".join(f"{path}@{it.version}" for path, it in self.sync.settings.entries.items())
        ready = "ready" if self.sync.ready else "not ready"
        config = self.sync.config.offset
        return f"at {self.sync.settings.offset}, {ready}, config of {config}: {paths}".rstrip(": ")


def show_effect(effect: Effect) -> str:
    """Describe an effect in one line."""
    match effect:
        case AppendRecords():
            (value,) = effect.records
            what = value.get("change_id", f"state before {value.get('offset')}")
            return f"append {effect.token} {what} expecting {value.get('expected_version')}"
        case ReadLog():
            return f"read from {effect.offset}"
        case SendPeer(peer, _, SettingsAsk(offset)):
            return f"to {peer}: ask from {offset}"
        case SendPeer(peer, _, SettingsSend() as sent):
            what = f"{len(sent.records)} records" if sent.snapshot is None else "snapshot"
            return f"to {peer}: {what} from {sent.first}"
        case SettleChange():
            fields = describe(effect.verdict)
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
    """Draw a log of changes, noise and snapshots, sound and damaged."""
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
            snapshot = log_form(take_snapshot(fold(values[:at])))
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
    """Let one thing happen to an instance."""
    play.now += 0.25
    at = min(at, len(play.log))
    match kind:
        case "read":
            play.read(count)
        case "old_read":
            # A read that set out long ago, or of a log that was since trimmed: any part of it.
            event = LogRead(STREAM, records(play.log, at, at + count), max(at, 1))
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
@given(log=logs(), happenings=steps)
def test_any_order_of_sources_leads_to_the_one_state_of_the_log(
    log: list[Any], happenings: list[tuple[str, int, int]]
) -> None:
    """Records come late, twice, out of order, from the log and from peers, with gaps.

    Whatever is read when, an instance is at all times in exactly the state that the records before
    its offset give, and never goes back. Otherwise two instances would serve one customer by
    different settings, or an accepted change would be taken back.
    """
    play = Play(log=log)
    for kind, at, count in happenings:
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
    """Check that what a peer would be sent stands so in the log."""
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
    """An operator who asks one instance for a change, and what came of it."""

    play: Play
    change_id: str
    # What the operator was told; None while nothing was.
    told: VerdictKind | None = None


@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_operators_are_told_what_the_log_decided(data: st.DataObject) -> None:
    """Several operators change one path through several instances at once, and acks are lost.

    An append may take effect and fail all the same, so it is made again and its record stands
    twice. Each operator must be told what every reader of the log comes to: accepted at most once
    for each version, and never accepted for a change that lost.
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
    verdicts = judge(log)
    told = {operator.change_id: operator.told for operator in operators}
    assert {change_id: told[change_id] for change_id in verdicts} == verdicts
    assert all(it is VerdictKind.NOT_APPENDED for key, it in told.items() if key not in verdicts)
    assert sum(1 for it in told.values() if it is VerdictKind.ACCEPTED) == min(1, len(verdicts))


def judge(log: list[Any]) -> dict[str, VerdictKind]:
    """Say what a reader of the whole log makes of each change."""
    return {change_id: seen.kind for change_id, seen in fold(log).seen.items()}


def handle(data: st.DataObject, operator: Operator, effects: list[Effect]) -> None:
    """Carry out what an instance wants, with an append that ends in any of the possible ways."""
    for effect in effects:
        if isinstance(effect, SettleChange):
            assert operator.told is None
            operator.told = kind_told(effect)
        if isinstance(effect, AppendRecords):
            end = data.draw(st.sampled_from(("done", "ack lost", "not taken", "refused")))
            append(operator, effect, end)


def kind_told(effect: SettleChange) -> VerdictKind:
    """Say which verdict an operator was told, whether by a record or by its repetition."""
    fields = describe(effect.verdict)
    return VerdictKind(fields.get("first", fields["verdict"]))


def append(operator: Operator, effect: AppendRecords, end: str) -> None:
    """Let an append end."""
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
    """Let the faults end, and go on until the operator is told."""
    play = operator.play
    for _ in range(4):
        play.now += play.options.change_give_up_s
        for effect in (*play.do("read", ""), *play.tick()):
            if isinstance(effect, SettleChange):
                operator.told = kind_told(effect)
            if isinstance(effect, AppendRecords):
                append(operator, effect, "done")
    assert operator.told is not None
