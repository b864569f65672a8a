"""Records of the settings stream of the platform's log.

A `change` is a change that one operator requested. A `snapshot` is the whole state before some
offset; it lets a reader start after the earlier records have expired. All records are validated
here; a malformed one changes nothing.
"""

from __future__ import annotations

from typing import Annotated, Any, Final, Literal, TypeAlias

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from turmericweir_core.records.settings_model import validation_text
from turmericweir_core.records.settings_verdict import VerdictKind

SETTINGS_STREAM: Final = "settings"

Offset = Annotated[int, Field(ge=0)]
ChangeId = Annotated[str, StringConstraints(min_length=1, max_length=256)]
Text = Annotated[str, StringConstraints(max_length=1024)]


class _Record(BaseModel):
    # Unknown fields are errors: a field of a later release may change the meaning of the record,
    # and ignoring it would lead to a different state.
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class ChangeRecord(_Record):
    """A conditional change of one path."""

    type: Literal["change"] = "change"
    change_id: ChangeId
    path: Text
    # The version that the path must have, 0 if it must not exist.
    expected_version: Offset
    # None deletes the path.
    value: Any
    operator: Text
    at: float
    # `bootstrap` operators are set in the process files and may write everywhere; they create the
    # first operators. Entry instances check the bearer token before they append a record; readers
    # cannot check it, as records contain no tokens.
    authority: Literal["operator", "bootstrap"] = "operator"


class SnapshotEntry(_Record):
    """The value of one path, and the accepted change that set it."""

    version: Offset
    value: Any
    operator: Text
    at: float


class SeenEntry(_Record):
    """A change that got its verdict before the snapshot."""

    change_id: ChangeId
    offset: Offset
    kind: VerdictKind = Field(strict=False)


class SnapshotRecord(_Record):
    """The whole state that results from the records before an offset."""

    type: Literal["snapshot"] = "snapshot"
    offset: Offset
    entries: dict[Text, SnapshotEntry]
    # Oldest first.
    seen_ids: list[SeenEntry]
    hash: Text


SettingsRecord: TypeAlias = ChangeRecord | SnapshotRecord

_RECORD_ADAPTER: Final[TypeAdapter[SettingsRecord]] = TypeAdapter(
    Annotated[SettingsRecord, Field(discriminator="type")]
)


def read_record(raw: object) -> Result[SettingsRecord, str]:
    """Return the validated record from the log or a peer, or the first error in it."""
    try:
        return Success(_RECORD_ADAPTER.validate_python(raw))
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_context=False, include_input=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        expected = validation_text(first["type"], first["msg"])
        return Failure(f"{field}: {expected}" if field else expected)


def record_json(record: SettingsRecord) -> dict[str, Any]:
    """Return a record as the JSON that is appended to the log."""
    return record.model_dump(mode="json")
