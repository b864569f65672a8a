"""List which instance runs which version of the settings, as far as this one knows.

Members of this data centre send their version with each heartbeat. The gateways of another data
centre report its lowest version; its instances run that version or a newer one.
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
    """The state of an instance, as other instances see it."""

    LIVE = "live"
    LEAVING = "leaving"
    # No progress was seen for some time; the other fields hold the last received values.
    UNRESPONSIVE = "silent"


class InstanceVersion(Struct, frozen=True):
    """The version of the settings that one instance runs."""

    name: InstanceName
    data_centre: str
    state: InstanceState
    version: int
    # It may run a newer version: only the lowest of its data centre is known.
    at_least: bool
    # Time since the last progress of the instance or the last status of its data centre; None if
    # there was none.
    age_s: float | None


def instance_versions(state: State, now: float) -> list[InstanceVersion]:
    """Return all known instances, this one included, by data centre and name."""
    members = [*state.members.by_name.values(), membership.self_member(state)]
    versions = [_version_of(state, now, member) for member in members]
    return sorted(versions, key=lambda version: (version.data_centre, version.name))


def _version_of(state: State, now: float, member: Member) -> InstanceVersion:
    is_self = member.name == state.me.name
    announced_state = InstanceState.LEAVING if member.leaving else InstanceState.LIVE
    is_live = is_self or membership.is_live(state, now, member)
    age_s = 0.0 if is_self else max(0.0, now - member.last_seen_at)
    return InstanceVersion(
        name=member.name,
        data_centre=member.data_centre,
        state=announced_state if is_live else InstanceState.UNRESPONSIVE,
        version=member.settings_offset,
        at_least=member.data_centre != state.me.data_centre,
        age_s=age_s if isfinite(age_s) else None,
    )
