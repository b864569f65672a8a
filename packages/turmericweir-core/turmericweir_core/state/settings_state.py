"""The settings at one offset of the log: a pure fold over the records of the settings stream.

Every reader applies the same records in offset order through `apply`, and so agrees which changes
were accepted, without asking anyone. A change is accepted if its path still has the version that
the change expects, its operator holds the path, its value is valid and no reference breaks. Its
record's offset plus one becomes the path's version. So:

- Of two operators who change a path at once, the one whose record comes first wins, and the other
  is told what won.
- A record that was appended twice, because its acknowledgement was lost, counts once: its id is
  among the seen ones. These are bounded by number, oldest first out, and part of the state, so
  that all readers forget the same ones. A repetition that comes later than that fails on its
  expected version.
- The state never goes back: `apply` takes the next record only, `load_snapshot` only newer states.

The hash covers entries, seen ids and offset. It is a sum of the hashes of its members, so that a
change costs the same however many settings there are. It finds damage and readers that differ; it
is no protection against someone who may append to the log.
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
    Entry,
    Value,
    WrittenOperator,
    build_config,
    read_value,
)
from turmericweir_core.records.settings_path import Problem, covers, parse_path
from turmericweir_core.records.settings_record import (
    ChangeRecord,
    SeenEntry,
    SnapshotEntry,
    SnapshotRecord,
    read_record,
)
from turmericweir_core.records.settings_refs import Providers, check_refs, index_providers, provided
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
    kind_of,
)

# Ids of judged changes that are remembered. No option: readers that kept other numbers of them
# would disagree on a repeated record.
SEEN_KEEP: Final = 1024
# Verdicts kept for operators, and hashes kept to check snapshots by. Both are of this instance
# alone and no part of the hash.
HISTORY_KEEP: Final = 200
DIGESTS_KEEP: Final = 1024

ABSENT: Final = 0
_HASH_SPACE: Final = 1 << 64


@dataclass(frozen=True, slots=True)
class Seen:
    """A judged change."""

    offset: int
    kind: VerdictKind


@dataclass(slots=True)
class SettingsState:
    """All settings, as the records before `offset` give them."""

    # Offset of the first record that is not in this state; it only rises.
    offset: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)
    # Judged changes by id, oldest first; at most `SEEN_KEEP`.
    seen: OrderedDict[str, Seen] = field(default_factory=OrderedDict)
    # Sums of the hashes of all entries and of all seen ids.
    entries_hash: int = 0
    seen_hash: int = 0
    # Which path provides what; derived from the entries.
    providers: Providers = field(default_factory=dict)
    # Newest last. It starts afresh with a snapshot, which carries none.
    history: deque[Verdict] = field(default_factory=lambda: deque(maxlen=HISTORY_KEEP))
    # Digests of the newest offsets that this reader passed through.
    digests: OrderedDict[int, str] = field(default_factory=OrderedDict)


def settings_version(state: SettingsState, path: str) -> int:
    """Give the version of a path, 0 where it is absent."""
    entry = state.entries.get(path)
    return entry.version if entry else ABSENT


def config_of(state: SettingsState) -> Config:
    """Build the `Config` that the decisions read."""
    values = {path: entry.value for path, entry in state.entries.items()}
    return build_config(values, state.offset)


def state_digest(state: SettingsState) -> str:
    """Give the hash of the state; equal at equal offsets on all instances."""
    return _digest(state.offset, state.entries_hash, state.seen_hash)


def may_write(state: SettingsState, operator: str, path: str) -> bool:
    """Tell whether an operator holds a subtree with the path."""
    entry = state.entries.get(f"/operators/{operator}")
    if entry is None or not isinstance(entry.value, WrittenOperator):
        return False
    return any(covers(subtree, path) for subtree in entry.value.paths)


# --- applying records ------------------------------------------------------------------------


def apply(state: SettingsState, record: LogRecord) -> Verdict:
    """Apply the next record and say what became of it."""
    assert record.offset == state.offset, "records are applied in order, without gaps"
    _note_digest(state)
    verdict = _judge(state, record)
    state.offset = record.offset + 1
    if not isinstance(verdict, SnapshotMatched | SnapshotUnchecked):
        state.history.append(verdict)
    return verdict


def _judge(state: SettingsState, record: LogRecord) -> Verdict:
    result = read_record(record.value)
    if not is_successful(result):
        return Malformed(record.offset, result.failure())
    parsed = result.unwrap()
    match parsed:
        case ChangeRecord():
            return _judge_change(state, record.offset, parsed)
        case SnapshotRecord():
            return _judge_snapshot(state, record.offset, parsed)
    assert_never(parsed)


def _judge_change(
    state: SettingsState, offset: int, change: ChangeRecord
) -> ChangeVerdict | Repeated:
    subject = Subject(change.change_id, change.path, change.operator, change.at, offset)
    first = state.seen.get(change.change_id)
    if first is not None:
        return Repeated(subject, first.offset, first.kind)
    verdict = _judge_new(state, subject, change)
    _remember(state, change.change_id, Seen(offset, kind_of(verdict)))
    return verdict


def _judge_new(state: SettingsState, subject: Subject, change: ChangeRecord) -> ChangeVerdict:
    problems = _check_path(change.path)
    if problems:
        return Invalid(subject, problems)
    if change.authority == "operator" and not may_write(state, change.operator, change.path):
        return Forbidden(subject)
    value: Value | None = None
    if change.value is not None:
        result = read_value(change.path, change.value)
        if not is_successful(result):
            return Invalid(subject, result.failure().problems)
        value = result.unwrap()
    if change.expected_version != settings_version(state, change.path):
        return _conflict(state, subject, change)
    problems = check_refs(state.entries, state.providers, change.path, value)
    if problems:
        return Invalid(subject, problems)
    return _accept(state, subject, value)


def _check_path(path: str) -> tuple[Problem, ...]:
    result = parse_path(path)
    return () if is_successful(result) else result.failure().problems


def _conflict(state: SettingsState, subject: Subject, change: ChangeRecord) -> Conflict:
    entry = state.entries.get(change.path)
    return Conflict(
        subject,
        expected_version=change.expected_version,
        version=entry.version if entry else ABSENT,
        value=entry.written if entry else None,
        won_by=entry.operator if entry else "",
    )


def _accept(state: SettingsState, subject: Subject, value: Value | None) -> Accepted:
    _take_out(state, subject.path)
    if value is None:
        return Accepted(subject, ABSENT)
    version = subject.offset + 1
    _put_in(state, subject.path, Entry(version, value, subject.operator, subject.at))
    return Accepted(subject, version)


def _take_out(state: SettingsState, path: str) -> None:
    entry = state.entries.pop(path, None)
    if entry is None:
        return
    state.entries_hash = (state.entries_hash - _hash_entry(path, entry)) % _HASH_SPACE
    for ref in provided(parse_path(path).unwrap(), entry.value):
        del state.providers[ref]


def _put_in(state: SettingsState, path: str, entry: Entry) -> None:
    state.entries[path] = entry
    state.entries_hash = (state.entries_hash + _hash_entry(path, entry)) % _HASH_SPACE
    for ref in provided(parse_path(path).unwrap(), entry.value):
        state.providers[ref] = path


def _remember(state: SettingsState, change_id: str, seen: Seen) -> None:
    state.seen[change_id] = seen
    state.seen_hash = (state.seen_hash + _hash_seen(change_id, seen)) % _HASH_SPACE
    while len(state.seen) > SEEN_KEEP:
        oldest_id, oldest = state.seen.popitem(last=False)
        state.seen_hash = (state.seen_hash - _hash_seen(oldest_id, oldest)) % _HASH_SPACE


# --- snapshots -------------------------------------------------------------------------------


def take_snapshot(state: SettingsState) -> SnapshotRecord:
    """Give the whole state as a record."""
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
        for change_id, seen in state.seen.items()
    ]
    return SnapshotRecord(
        offset=state.offset, entries=entries, seen_ids=seen, hash=state_digest(state)
    )


def read_snapshot(snapshot: SnapshotRecord) -> Result[SettingsState, str]:
    """Rebuild the state of a snapshot, if its hash and its values are right."""
    entries: dict[str, Entry] = {}
    for path, it in snapshot.entries.items():
        result = read_value(path, it.value)
        if not is_successful(result):
            return Failure(str(result.failure()))
        entries[path] = Entry(it.version, result.unwrap(), it.operator, it.at)
    seen = OrderedDict((it.change_id, Seen(it.offset, it.kind)) for it in snapshot.seen_ids)
    state = SettingsState(
        offset=snapshot.offset,
        entries=entries,
        seen=seen,
        entries_hash=_total(_hash_entry(path, entry) for path, entry in entries.items()),
        seen_hash=_total(_hash_seen(change_id, it) for change_id, it in seen.items()),
        providers=index_providers(entries),
    )
    if state_digest(state) != snapshot.hash:
        return Failure("its hash does not fit its content")
    return Success(state)


def load_snapshot(state: SettingsState, snapshot: SnapshotRecord) -> Result[None, str]:
    """Move on to the state of a snapshot; refuse one that is damaged or not newer."""
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
    state.seen = loaded.seen
    state.entries_hash = loaded.entries_hash
    state.seen_hash = loaded.seen_hash
    state.providers = loaded.providers
    _note_digest(state)


def _judge_snapshot(state: SettingsState, offset: int, snapshot: SnapshotRecord) -> SnapshotVerdict:
    own = state.digests.get(snapshot.offset)
    if own is not None and own != snapshot.hash:
        reason = f"its hash is {snapshot.hash}, this instance had {own}"
        return SnapshotMismatched(offset, snapshot.offset, reason)
    if own is None:
        result = read_snapshot(snapshot)
        if is_successful(result):
            return SnapshotUnchecked(offset, snapshot.offset)
        return SnapshotMismatched(offset, snapshot.offset, result.failure())
    # A hash that is right proves nothing of the entries beside it, which a reader would load. To
    # compare them costs far less than to validate and hash them, for which requests would wait.
    if snapshot.offset == state.offset and not _holds_same(state, snapshot):
        reason = "its content is not what this instance holds"
        return SnapshotMismatched(offset, snapshot.offset, reason)
    return SnapshotMatched(offset, snapshot.offset)


def _holds_same(state: SettingsState, snapshot: SnapshotRecord) -> bool:
    entries = {
        path: (it.version, it.value, it.operator, it.at) for path, it in snapshot.entries.items()
    }
    own = {path: (it.version, it.written, it.operator, it.at) for path, it in state.entries.items()}
    seen = [(it.change_id, it.offset, it.kind) for it in snapshot.seen_ids]
    return entries == own and seen == [(key, it.offset, it.kind) for key, it in state.seen.items()]


# --- hashes ----------------------------------------------------------------------------------


def _note_digest(state: SettingsState) -> None:
    state.digests[state.offset] = state_digest(state)
    while len(state.digests) > DIGESTS_KEEP:
        state.digests.popitem(last=False)


def _digest(offset: int, entries_hash: int, seen_hash: int) -> str:
    return xxhash.xxh3_128_hexdigest(f"{offset} {entries_hash:x} {seen_hash:x}".encode())


def _hash_entry(path: str, entry: Entry) -> int:
    return _hash([path, entry.version, entry.written, entry.operator, entry.at])


def _hash_seen(change_id: str, seen: Seen) -> int:
    return _hash([change_id, seen.offset, seen.kind.value])


def _hash(parts: list[Any]) -> int:
    text = json.dumps(parts, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_intdigest(text.encode())


def _total(hashes: Iterable[int]) -> int:
    return sum(hashes) % _HASH_SPACE
