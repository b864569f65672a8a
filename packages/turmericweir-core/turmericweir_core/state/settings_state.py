"""The settings at one offset of the log: a pure fold over the records of the settings stream.

All readers apply the same records in offset order with `apply`, and therefore agree which changes
were accepted. A change is accepted if its path still has the version that the change expects, its
operator has write access to the path, its value is valid and no reference breaks. The offset of its
record plus one becomes the version of the path. Consequences:

- If two operators change a path concurrently, the first record wins, and the other operator gets a
  conflict with the winning change.
- A record that was appended twice, because its acknowledgement was lost, is applied once: its id is
  among the seen ids. Their number is bounded, and the oldest are evicted first. They are part of
  the state, so that all readers evict the same ones. A repetition of a change whose id was evicted
  fails on its expected version.
- The state never goes back: `apply` accepts only the next record, `load_snapshot` only a newer
  state.

The hash covers entries, seen ids and offset. It is a sum of the hashes of its members, so the cost
of a change does not depend on the number of settings. It detects corruption and diverging readers.
It does not protect against an attacker who can append to the log.
"""

from __future__ import annotations

import json
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final, assert_never

import xxhash
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from turmericweir_core.base.config import Config
from turmericweir_core.messages.events import LogRecord
from turmericweir_core.records.settings_model import (
    SettingsEntry,
    SettingsValue,
    WrittenOperator,
    build_config,
    read_value,
)
from turmericweir_core.records.settings_path import Problem, is_in_subtree, parse_path
from turmericweir_core.records.settings_record import (
    ChangeRecord,
    SeenEntry,
    SnapshotEntry,
    SnapshotRecord,
    read_record,
)
from turmericweir_core.records.settings_refs import (
    Providers,
    check_refs,
    index_providers,
    provided_refs,
)
from turmericweir_core.records.settings_verdict import (
    Accepted,
    ChangeVerdict,
    Conflict,
    Forbidden,
    Invalid,
    Malformed,
    Repeated,
    SnapshotMatched,
    SnapshotMismatched,
    SnapshotUnchecked,
    SnapshotVerdict,
    Subject,
    Verdict,
    VerdictKind,
    verdict_kind,
)

# Number of seen change ids to store. Not an option, because readers with different values would
# disagree on a repeated record.
SEEN_KEEP: Final = 1024
# Number of verdicts stored for operators, and of digests stored to check snapshots. Both are local
# to an instance and not part of the hash.
HISTORY_KEEP: Final = 200
DIGESTS_KEEP: Final = 1024

ABSENT: Final = 0
_HASH_SPACE: Final = 1 << 64


@dataclass(frozen=True, slots=True)
class SeenChange:
    """A change with a verdict."""

    offset: int
    kind: VerdictKind


@dataclass(slots=True)
class SettingsState:
    """All settings, as of the records before `offset`."""

    # Offset of the next record to apply; never decreases.
    offset: int = 0
    entries: dict[str, SettingsEntry] = field(default_factory=dict)
    # Changes with a verdict, by id, oldest first; at most `SEEN_KEEP`.
    judged_changes: OrderedDict[str, SeenChange] = field(default_factory=OrderedDict)
    # Sums of the hashes of all entries and of all seen ids.
    entries_hash: int = 0
    seen_hash: int = 0
    # The path that provides each reference target; derived from the entries.
    providers: Providers = field(default_factory=dict)
    # Newest last. Not part of snapshots.
    history: deque[Verdict] = field(default_factory=lambda: deque(maxlen=HISTORY_KEEP))
    # Digests of this reader at the latest offsets.
    digests: OrderedDict[int, str] = field(default_factory=OrderedDict)


def settings_version(state: SettingsState, path: str) -> int:
    """Return the version of a path, `ABSENT` if it does not exist."""
    entry = state.entries.get(path)
    return entry.version if entry else ABSENT


def config_of(state: SettingsState) -> Config:
    """Return the `Config` built from the settings."""
    values = {path: entry.value for path, entry in state.entries.items()}
    return build_config(values, state.offset)


def state_digest(state: SettingsState) -> str:
    """Return the hash of the state, which is equal on all instances at the same offset."""
    return _digest(state.offset, state.entries_hash, state.seen_hash)


def may_write(state: SettingsState, operator: str, path: str) -> bool:
    """Return whether an operator has write access to a subtree that contains the path."""
    entry = state.entries.get(f"/operators/{operator}")
    if entry is None or not isinstance(entry.value, WrittenOperator):
        return False
    return any(is_in_subtree(subtree, path) for subtree in entry.value.paths)


# --- applying records ------------------------------------------------------------------------


def apply(state: SettingsState, record: LogRecord) -> Verdict:
    """Apply the next record and return the verdict on it."""
    assert record.offset == state.offset, "records are applied in order, without gaps"
    _note_digest(state)
    verdict = _verdict_on(state, record)
    state.offset = record.offset + 1
    if not isinstance(verdict, SnapshotMatched | SnapshotUnchecked):
        state.history.append(verdict)
    return verdict


def _verdict_on(state: SettingsState, record: LogRecord) -> Verdict:
    result = read_record(record.value)
    if not is_successful(result):
        return Malformed(record.offset, result.failure())
    parsed = result.unwrap()
    match parsed:
        case ChangeRecord():
            return _verdict_on_change(state, record.offset, parsed)
        case SnapshotRecord():
            return _verdict_on_snapshot(state, record.offset, parsed)
    assert_never(parsed)


def _verdict_on_change(
    state: SettingsState, offset: int, change: ChangeRecord
) -> ChangeVerdict | Repeated:
    subject = Subject(change.change_id, change.path, change.operator, change.at, offset)
    first = state.judged_changes.get(change.change_id)
    if first is not None:
        return Repeated(subject, first.offset, first.kind)
    verdict = _verdict_on_unseen(state, subject, change)
    _add_seen(state, change.change_id, SeenChange(offset, verdict_kind(verdict)))
    return verdict


def _verdict_on_unseen(
    state: SettingsState, subject: Subject, change: ChangeRecord
) -> ChangeVerdict:
    problems = _check_path(change.path)
    if problems:
        return Invalid(subject, problems)
    if change.authority == "operator" and not may_write(state, change.operator, change.path):
        return Forbidden(subject)
    value: SettingsValue | None = None
    if change.value is not None:
        result = read_value(change.path, change.value)
        if not is_successful(result):
            return Invalid(subject, result.failure().problems)
        value = result.unwrap()
    if change.expected_version != settings_version(state, change.path):
        return _conflict_with(state, subject, change)
    problems = check_refs(state.entries, state.providers, change.path, value)
    if problems:
        return Invalid(subject, problems)
    return _accept(state, subject, value)


def _check_path(path: str) -> tuple[Problem, ...]:
    result = parse_path(path)
    return () if is_successful(result) else result.failure().problems


def _conflict_with(state: SettingsState, subject: Subject, change: ChangeRecord) -> Conflict:
    entry = state.entries.get(change.path)
    return Conflict(
        subject,
        expected_version=change.expected_version,
        version=entry.version if entry else ABSENT,
        value=entry.written if entry else None,
        won_by=entry.operator if entry else "",
    )


def _accept(state: SettingsState, subject: Subject, value: SettingsValue | None) -> Accepted:
    _remove_setting(state, subject.path)
    if value is None:
        return Accepted(subject, ABSENT)
    version = subject.offset + 1
    _add_setting(state, subject.path, SettingsEntry(version, value, subject.operator, subject.at))
    return Accepted(subject, version)


def _remove_setting(state: SettingsState, path: str) -> None:
    entry = state.entries.pop(path, None)
    if entry is None:
        return
    state.entries_hash = (state.entries_hash - _hash_entry(path, entry)) % _HASH_SPACE
    for ref in provided_refs(parse_path(path).unwrap(), entry.value):
        del state.providers[ref]


def _add_setting(state: SettingsState, path: str, entry: SettingsEntry) -> None:
    state.entries[path] = entry
    state.entries_hash = (state.entries_hash + _hash_entry(path, entry)) % _HASH_SPACE
    for ref in provided_refs(parse_path(path).unwrap(), entry.value):
        state.providers[ref] = path


def _add_seen(state: SettingsState, change_id: str, change: SeenChange) -> None:
    state.judged_changes[change_id] = change
    state.seen_hash = (state.seen_hash + _hash_seen(change_id, change)) % _HASH_SPACE
    while len(state.judged_changes) > SEEN_KEEP:
        oldest_id, oldest = state.judged_changes.popitem(last=False)
        state.seen_hash = (state.seen_hash - _hash_seen(oldest_id, oldest)) % _HASH_SPACE


# --- snapshots -------------------------------------------------------------------------------


def take_snapshot(state: SettingsState) -> SnapshotRecord:
    """Return the whole state as a record."""
    entries = {
        path: SnapshotEntry(
            version=entry.version,
            value=entry.written,
            operator=entry.operator,
            at=entry.at,
        )
        for path, entry in sorted(state.entries.items())
    }
    seen = [
        SeenEntry(change_id=change_id, offset=seen.offset, kind=seen.kind)
        for change_id, seen in state.judged_changes.items()
    ]
    return SnapshotRecord(
        offset=state.offset, entries=entries, seen_ids=seen, hash=state_digest(state)
    )


def read_snapshot(snapshot: SnapshotRecord) -> Result[SettingsState, str]:
    """Return the state of a snapshot, or a failure if its hash or a value is invalid."""
    entries: dict[str, SettingsEntry] = {}
    for path, item in snapshot.entries.items():
        result = read_value(path, item.value)
        if not is_successful(result):
            return Failure(str(result.failure()))
        entries[path] = SettingsEntry(item.version, result.unwrap(), item.operator, item.at)
    seen_changes = OrderedDict(
        (item.change_id, SeenChange(item.offset, item.kind)) for item in snapshot.seen_ids
    )
    state = SettingsState(
        offset=snapshot.offset,
        entries=entries,
        judged_changes=seen_changes,
        entries_hash=_sum_hashes(_hash_entry(path, entry) for path, entry in entries.items()),
        seen_hash=_sum_hashes(
            _hash_seen(change_id, item) for change_id, item in seen_changes.items()
        ),
        providers=index_providers(entries),
    )
    if state_digest(state) != snapshot.hash:
        return Failure("its hash does not match its content")
    return Success(state)


def load_snapshot(state: SettingsState, snapshot: SnapshotRecord) -> Result[None, str]:
    """Replace the state by that of a snapshot, or fail if it is invalid or not newer."""
    if snapshot.offset <= state.offset:
        return Failure(f"it is of offset {snapshot.offset}; this instance is at {state.offset}")
    result = read_snapshot(snapshot)
    if not is_successful(result):
        return Failure(result.failure())
    _replace(state, result.unwrap())
    return Success(None)


def _replace(state: SettingsState, loaded: SettingsState) -> None:
    state.offset = loaded.offset
    state.entries = loaded.entries
    state.judged_changes = loaded.judged_changes
    state.entries_hash = loaded.entries_hash
    state.seen_hash = loaded.seen_hash
    state.providers = loaded.providers
    _note_digest(state)


def _verdict_on_snapshot(
    state: SettingsState, offset: int, snapshot: SnapshotRecord
) -> SnapshotVerdict:
    own_digest = state.digests.get(snapshot.offset)
    if own_digest is not None and own_digest != snapshot.hash:
        reason = f"its hash is {snapshot.hash}, this instance had {own_digest}"
        return SnapshotMismatched(offset, snapshot.offset, reason)
    if own_digest is None:
        result = read_snapshot(snapshot)
        if is_successful(result):
            return SnapshotUnchecked(offset, snapshot.offset)
        return SnapshotMismatched(offset, snapshot.offset, result.failure())
    # A correct hash does not prove that the entries match it. Comparing the entries is much faster
    # than validating and hashing them, which would delay requests.
    if snapshot.offset == state.offset and not _is_same_content(state, snapshot):
        reason = "its content is not what this instance holds"
        return SnapshotMismatched(offset, snapshot.offset, reason)
    return SnapshotMatched(offset, snapshot.offset)


def _is_same_content(state: SettingsState, snapshot: SnapshotRecord) -> bool:
    entries = {
        path: (item.version, item.value, item.operator, item.at)
        for path, item in snapshot.entries.items()
    }
    own_entries = {
        path: (item.version, item.written, item.operator, item.at)
        for path, item in state.entries.items()
    }
    seen_changes = [(item.change_id, item.offset, item.kind) for item in snapshot.seen_ids]
    return entries == own_entries and seen_changes == [
        (key, item.offset, item.kind) for key, item in state.judged_changes.items()
    ]


# --- hashes ----------------------------------------------------------------------------------


def _note_digest(state: SettingsState) -> None:
    state.digests[state.offset] = state_digest(state)
    while len(state.digests) > DIGESTS_KEEP:
        state.digests.popitem(last=False)


def _digest(offset: int, entries_hash: int, seen_hash: int) -> str:
    return xxhash.xxh3_128_hexdigest(f"{offset} {entries_hash:x} {seen_hash:x}".encode())


def _hash_entry(path: str, entry: SettingsEntry) -> int:
    return _hash([path, entry.version, entry.written, entry.operator, entry.at])


def _hash_seen(change_id: str, change: SeenChange) -> int:
    return _hash([change_id, change.offset, change.kind.value])


def _hash(parts: list[Any]) -> int:
    text = json.dumps(parts, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_intdigest(text.encode())


def _sum_hashes(hashes: Iterable[int]) -> int:
    return sum(hashes) % _HASH_SPACE
