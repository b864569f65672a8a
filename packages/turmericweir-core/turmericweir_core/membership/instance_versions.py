"""Say which instance runs which version of the settings, as far as this one knows.

Members of the own data centre tell their version with each heartbeat. Of another data centre its
relays tell the lowest one: its instances run that or a newer one.
"""

from __future__ import annotations

from enum import StrEnum
from math import isfinite

from msgspec import Struct

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership import membership
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.state import State


class InstanceState(StrEnum):
    """How an instance is, as others see it."""

    LIVE = "live"
    LEAVING = "leaving"
    # Not heard from for some time; what is said of it is its last word.
    SILENT = "silent"


class InstanceVersion(Struct, frozen=True):
    """The version of the settings that one instance runs."""

    name: InstanceName
    data_centre: str
    state: InstanceState
    version: int
    # It may run a newer one: only the lowest of its data centre is known.
    at_least: bool
    # Since it was last heard from, or its data centre was; None if it never was.
    age_s: float | None


def instance_versions(state: State, now: float) -> list[InstanceVersion]:
    """List all known instances, this one included, by data centre and name."""
    members = [*state.members.by_name.values(), membership.self_member(state)]
    found = [_version_of(state, now, each) for each in members]
    return sorted(found, key=lambda each: (each.data_centre, each.name))


def _version_of(state: State, now: float, each: Member) -> InstanceVersion:
    is_me = each.name == state.me.name
    known = InstanceState.LEAVING if each.leaving else InstanceState.LIVE
    is_known = is_me or membership.is_live(state, now, each)
    age_s = 0.0 if is_me else max(0.0, now - each.heard_at)
    return InstanceVersion(
        name=each.name,
        data_centre=each.data_centre,
        state=known if is_known else InstanceState.SILENT,
        version=each.settings_offset,
        at_least=each.data_centre != state.me.data_centre,
        age_s=age_s if isfinite(age_s) else None,
    )
