"""Try changes on a copy of the settings, without the log: what would become of them just now?"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from turmericweir_core.messages.events import LogRecord
from turmericweir_core.records.settings_record import ChangeRecord, log_form
from turmericweir_core.records.settings_verdict import Verdict
from turmericweir_core.state.settings_state import (
    SettingsState,
    apply,
    read_snapshot,
    settings_version,
    take_snapshot,
)


# Any: values are whatever an operator wrote; the fold validates them.
def try_changes(state: SettingsState, values: Mapping[str, Any]) -> list[Verdict]:
    """Apply values by path in their order, None for a deletion; say what becomes of each.

    A later value may name an earlier one. Whether the operator holds the paths is not looked at.
    """
    scratch = read_snapshot(take_snapshot(state)).unwrap()
    return [_try(scratch, path, value) for path, value in values.items()]


def _try(scratch: SettingsState, path: str, value: Any) -> Verdict:
    change = ChangeRecord(
        # The offset makes it unlike every id that is remembered.
        change_id=f"trial/{scratch.offset}",
        path=path,
        expected_version=settings_version(scratch, path),
        value=value,
        operator="trial",
        at=0.0,
        authority="bootstrap",
    )
    return apply(scratch, LogRecord(scratch.offset, log_form(change)))
