"""The records of the settings stream, as they stand in the log.

A `change` is what one operator asks for. A `snapshot` is the whole state before some offset,
written so that a reader can start when the records themselves have expired. Everything that is
read is validated here; a record that does not fit is malformed and changes nothing.
"""

from __future__ import annotations

from typing import Annotated, Any, Final, Literal, TypeAlias

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from turmericweir_core.records.settings_model import explain
from turmericweir_core.records.settings_verdict import VerdictKind

STREAM: Final = "settings"

Offset = Annotated[int, Field(ge=0)]
ChangeId = Annotated[str, StringConstraints(min_length=1, max_length=256)]
Text = Annotated[str, StringConstraints(max_length=1024)]


class _Record(BaseModel):
    # Closed: a field that a later release adds may change what the record means, and readers that
    # ignored it would hold another state than those that know it.
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class ChangeRecord(_Record):
    """One conditional change of one path."""

    type: Literal["change"] = "change"
    change_id: ChangeId
    path: Text
    # The version that the path must have, 0 where it must be absent.
    expected_version: Offset
    # None deletes the path.
    value: Any
    operator: Text
    at: float
    # `bootstrap` operators stand in the process files and may write everywhere: without them
    # nobody could write the first operator. Only entry instances append to the log, and they check
    # the bearer token; the fold cannot, as tokens are not in the records.
    authority: Literal["operator", "bootstrap"] = "operator"


class SnapshotEntry(_Record):
    """The value of one path, and the accepted change that set it."""

    version: Offset
    value: Any
    operator: Text
    at: float


class SeenEntry(_Record):
    """A change that was judged before the snapshot."""

    change_id: ChangeId
    offset: Offset
    kind: VerdictKind = Field(strict=False)


class SnapshotRecord(_Record):
    """The whole state that the records before an offset give."""

    type: Literal["snapshot"] = "snapshot"
    offset: Offset
    entries: dict[Text, SnapshotEntry]
    # Oldest first.
    seen_ids: list[SeenEntry]
    hash: Text


SettingsRecord: TypeAlias = ChangeRecord | SnapshotRecord

_ADAPTER: Final[TypeAdapter[SettingsRecord]] = TypeAdapter(
    Annotated[SettingsRecord, Field(discriminator="type")]
)


def read_record(raw: object) -> Result[SettingsRecord, str]:
    """Validate a record as it was read from the log or a peer."""
    try:
        return Success(_ADAPTER.validate_python(raw))
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_context=False, include_input=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        expected = explain(first["type"], first["msg"])
        return Failure(f"{field}: {expected}" if field else expected)


def log_form(record: SettingsRecord) -> dict[str, Any]:
    """Give a record as the JSON that is appended to the log."""
    return record.model_dump(mode="json")
