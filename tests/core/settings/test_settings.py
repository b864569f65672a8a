"""Tests of applying settings records: cases from `cases/settings.test`, and properties."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.settings_script import ROOT, change, record_of
from turmericweir_core.messages.events import LogRecord
from turmericweir_core.records.settings_record import SnapshotRecord, read_record, record_json
from turmericweir_core.records.settings_verdict import (
    Verdict,
    VerdictKind,
    verdict_json,
    verdict_kind,
)
from turmericweir_core.state.settings_state import (
    SEEN_KEEP,
    SettingsState,
    apply,
    config_of,
    load_snapshot,
    read_snapshot,
    state_digest,
    take_snapshot,
)

PATHS = ("/classes/a", "/classes/b", "/customers/shop", "/teams/t/limit", "/limits/default")


def fold(state: SettingsState, *values: Any) -> list[Verdict]:
    """Apply record values at the next offsets."""
    return [apply(state, LogRecord(state.offset, value)) for value in values]


def snapshot_value(state: SettingsState, damage: str) -> dict[str, Any]:
    """Return the record of a snapshot, damaged as the case says."""
    value = record_json(take_snapshot(state))
    if damage == "wrong-hash":
        value["hash"] = "0" * 32
    elif damage == "wrong-value":
        for entry in value["entries"].values():
            entry["operator"] = "somebody else"
    return value


def run_line(state: SettingsState, line: str) -> str:
    """Apply the record of a line and return its verdict as one line."""
    keyword, _, rest = line.partition(" ")
    value = snapshot_value(state, rest) if keyword == "snapshot" else record_of(line)
    (verdict,) = fold(state, value)
    fields = verdict_json(verdict)
    kind = fields.pop("verdict")
    shown = {key: it for key, it in fields.items() if key not in ("at", "offset")}
    return f"{state.offset - 1} {kind} " + " ".join(f"{k}={_short(v)}" for k, v in shown.items())


def _short(value: Any) -> str:
    if isinstance(value, tuple | list):
        return "; ".join(f"{it['field']}: {it['expected']}" for it in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def state_lines(state: SettingsState) -> list[str]:
    """Return the entries, one per line."""
    return [
        f"{path} @{entry.version} {json.dumps(entry.written)}"
        for path, entry in sorted(state.entries.items())
    ]


@pytest.mark.parametrize("case", load_cases("settings.test"), ids=str)
def test_fold(case: Case) -> None:
    state = SettingsState()
    check_lines(case, [run_line(state, line) for line in case.lines("in")])
    if "state" in case.sections:
        check_lines(case, state_lines(state), "state")


# --- properties ------------------------------------------------------------------------------

VALUES: dict[str, list[dict[str, Any]]] = {
    "/classes/a": [{"priority": 0, "latency_target_ms": 200}, {"priority": 3}],
    "/classes/b": [{"priority": 1, "first_token_target_ms": 900.5}],
    "/customers/shop": [{"classes": {"*": "a"}}, {"classes": {"*": "b", "m": "a"}}, {"x": 1}],
    "/teams/t/limit": [{"requests_s": 5}, {"requests_s": 2.5, "tokens_s": 100}],
    "/limits/default": [{}, {"tokens_s": -1}],
}


@st.composite
def change_records(draw: st.DrawFn) -> dict[str, Any]:
    """Draw a change that is often accepted, from few ids that repeat."""
    path = draw(st.sampled_from(PATHS))
    return change(
        f"id-{draw(st.integers(0, 40))}",
        path,
        draw(st.none() | st.sampled_from(VALUES[path])),
        expected_version=draw(st.integers(0, 12)),
        operator=draw(st.sampled_from((ROOT, "ann"))),
    )


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
noise = json_values | st.builds(
    lambda base, extra: {**base, **extra},
    change_records(),
    st.dictionaries(
        st.sampled_from(("type", "change_id", "path", "expected_version", "value", "at", "zzz")),
        json_values,
        max_size=2,
    ),
)
logs = st.lists(st.one_of(change_records(), change_records(), noise), max_size=40)


def are_equal(one: SettingsState, other: SettingsState) -> bool:
    """Return whether two states are equal in everything that readers agree on."""
    return (
        state_digest(one) == state_digest(other)
        and one.offset == other.offset
        and one.entries == other.entries
        and one.judged_changes == other.judged_changes
        and one.providers == other.providers
    )


@settings(max_examples=300, deadline=None)
@given(values=logs, cut=st.integers(0, 40))
def test_reader_that_starts_from_a_snapshot_agrees_with_one_that_read_all(
    values: list[Any], cut: int
) -> None:
    """Prevents a reader that starts from a snapshot from reaching another state."""
    whole = SettingsState()
    fold(whole, *values[:cut])
    sent = json.loads(json.dumps(record_json(take_snapshot(whole))))
    late_reader = SettingsState()
    snapshot = read_record(sent).unwrap()
    assert isinstance(snapshot, SnapshotRecord)
    if whole.offset:
        load_snapshot(late_reader, snapshot).unwrap()
    rest = values[cut:]
    assert [verdict_json(it) for it in fold(whole, *rest)] == [
        verdict_json(it) for it in fold(late_reader, *rest)
    ]
    assert are_equal(whole, late_reader)


@settings(max_examples=200, deadline=None)
@given(values=logs, copies=st.lists(st.integers(0, 39), max_size=20))
def test_records_appended_twice_count_once(values: list[Any], copies: list[int]) -> None:
    """Prevents a record that was appended twice from undoing a change in between."""
    state = SettingsState()
    fold(state, *values)
    entries = dict(state.entries)
    for copy in copies:
        if copy < len(values) and is_change_record(values[copy]):
            (verdict,) = fold(state, values[copy])
            assert verdict_kind(verdict) is VerdictKind.REPEATED
    assert state.entries == entries


def is_change_record(value: Any) -> bool:
    """Return whether a value is a well-formed change record."""
    result = read_record(value)
    return bool(result.map(lambda record: record.type == "change").value_or(False))


@settings(max_examples=200, deadline=None)
@given(values=logs)
def test_every_config_has_valid_references(values: list[Any]) -> None:
    state = SettingsState()
    for value in values:
        fold(state, value)
        config = config_of(state)
        assert config.offset == state.offset
        for customer in config.customers.values():
            assert set(customer.classes.values()) <= set(config.classes)


@settings(max_examples=200, deadline=None)
@given(values=logs, damage=st.sampled_from(("hash", "offset", "entries", "seen_ids")))
def test_damaged_snapshot_is_refused_and_changes_nothing(values: list[Any], damage: str) -> None:
    state = SettingsState()
    fold(state, change("first", "/classes/z", {"priority": 0, "latency_target_ms": 1}), *values)
    good = record_json(take_snapshot(state))
    damaged: dict[str, Any] = {
        "hash": {**good, "hash": good["hash"][::-1] + "0"},
        "offset": {**good, "offset": good["offset"] + 1},
        "entries": {**good, "entries": {}},
        "seen_ids": {**good, "seen_ids": good["seen_ids"][1:]},
    }
    if damage == "entries" and not good["entries"]:
        return
    snapshot = read_record(damaged[damage]).unwrap()
    assert isinstance(snapshot, SnapshotRecord)
    late_reader = SettingsState()
    assert "hash" in load_snapshot(late_reader, snapshot).failure()
    assert are_equal(late_reader, SettingsState())


def test_snapshot_that_is_not_newer_is_refused() -> None:
    """Prevents an older snapshot from undoing accepted changes."""
    state = SettingsState()
    value = {"priority": 0, "latency_target_ms": 100}
    fold(state, change("one", "/classes/a", value))
    old = take_snapshot(state)
    fold(state, change("two", "/classes/b", value))
    before = state_digest(state)
    assert "offset" in load_snapshot(state, old).failure()
    assert state_digest(state) == before


def test_seen_ids_are_limited_alike_for_all_readers() -> None:
    value = {"requests_s": 1}
    state = SettingsState()
    fold(state, change("first", "/limits/default", value))
    for number in range(SEEN_KEEP):
        fold(state, change(f"id-{number}", "/limits/default", value))
    assert len(state.judged_changes) == SEEN_KEEP
    assert "first" not in state.judged_changes
    # The id was dropped, but the outdated expected version prevents a change.
    (verdict,) = fold(state, change("first", "/limits/default", {"requests_s": 9}))
    assert verdict_kind(verdict) is VerdictKind.CONFLICT
    reread = read_snapshot(take_snapshot(state)).unwrap()
    assert are_equal(reread, state)


def test_digest_does_not_depend_on_number_encoding() -> None:
    """Prevents another hash at a reader whose JSON library decodes 1.0 as 1."""
    one, other = SettingsState(), SettingsState()
    fold(one, change("a", "/limits/default", {"requests_s": 1}))
    fold(other, change("a", "/limits/default", {"requests_s": 1.0}))
    assert are_equal(one, other)
