"""Dry runs: apply changes to a copy of the settings to get the verdicts that they would get."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from turmericweir_core.messages.events import LogRecord
from turmericweir_core.records.settings_record import ChangeRecord, record_json
from turmericweir_core.records.settings_verdict import Verdict
from turmericweir_core.state.settings_state import (
    SettingsState,
    apply,
    read_snapshot,
    settings_version,
    take_snapshot,
)


# Any: operators may submit any values, and `apply` validates them.
def dry_run_changes(state: SettingsState, values: Mapping[str, Any]) -> list[Verdict]:
    """Apply values by path in order, None for a deletion, and return the verdict on each.

    A later value may refer to an earlier one. The operator's authority is not checked.
    """
    state_copy = read_snapshot(take_snapshot(state)).unwrap()
    return [_dry_run_change(state_copy, path, value) for path, value in values.items()]


def _dry_run_change(state_copy: SettingsState, path: str, value: Any) -> Verdict:
    change = ChangeRecord(
        # The offset makes the id unique.
        change_id=f"trial/{state_copy.offset}",
        path=path,
        expected_version=settings_version(state_copy, path),
        value=value,
        operator="trial",
        at=0.0,
        authority="bootstrap",
    )
    return apply(state_copy, LogRecord(state_copy.offset, record_json(change)))
