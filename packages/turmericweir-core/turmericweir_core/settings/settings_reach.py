"""Determine in which data centres a change is in force.

Each heartbeat carries the offset of the settings that its sender uses, and gateways report the
lowest offset of their data centre. Settings never move back, so an old report of a sufficient
offset is still valid. Of an unresponsive instance only the last report is known, if any.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import isfinite

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.state.membership_state import CentreView, Member


class Reach(StrEnum):
    """Whether a change is in force in a data centre."""

    # Every known instance has reported settings that are at least as new.
    IN_FORCE = "in_force"
    # A responsive instance still uses older settings.
    BEHIND = "behind"
    # An instance is unresponsive, and its last report, if any, was of older settings.
    OUT_OF_REACH = "out_of_reach"


@dataclass(frozen=True, slots=True)
class UnresponsiveInstance:
    """An unresponsive instance that has not reported the change as in force."""

    name: InstanceName
    # Its last reported offset, and the age of that report; None if there was none.
    offset: int
    age_s: float | None


@dataclass(frozen=True, slots=True)
class CentreReach:
    """Whether a change is in force in one data centre."""

    data_centre: str
    reach: Reach
    # The lowest reported offset of its live instances, and their number.
    offset: int
    live: int
    # Age of the newest report from there; None if there was none.
    age_s: float | None
    silent: tuple[UnresponsiveInstance, ...]


def reach_of_centres(
    now: float,
    offset: int,
    centres: Iterable[CentreView],
    not_live: Iterable[Member],
    named: Iterable[str],
) -> list[CentreReach]:
    """Return for each data centre whether all records before an offset are in force there.

    `not_live` are the known unresponsive instances; `named` are data centres that are known by name
    only, such as those of the servers in the settings.
    """
    unresponsive = [each for each in not_live if not each.leaving and each.settings_offset < offset]
    reaches = {each.name: _reach_of(now, offset, each, unresponsive) for each in centres}
    for name in (*(each.data_centre for each in unresponsive), *named):
        if name and name not in reaches:
            # No report has been received from there.
            instances = tuple(
                _unresponsive_instance(now, each)
                for each in unresponsive
                if each.data_centre == name
            )
            reaches[name] = CentreReach(name, Reach.OUT_OF_REACH, 0, 0, None, instances)
    return [reaches[name] for name in sorted(reaches)]


def _reach_of(
    now: float, offset: int, centre: CentreView, unresponsive_members: list[Member]
) -> CentreReach:
    unresponsive = tuple(
        _unresponsive_instance(now, member)
        for member in unresponsive_members
        if member.data_centre == centre.name
    )
    has_report = isfinite(centre.last_seen_at) and centre.live > 0
    if has_report and centre.settings_offset >= offset:
        reach = Reach.OUT_OF_REACH if unresponsive else Reach.IN_FORCE
    else:
        reach = Reach.BEHIND if has_report and centre.reachable else Reach.OUT_OF_REACH
    return CentreReach(
        data_centre=centre.name,
        reach=reach,
        offset=centre.settings_offset,
        live=centre.live,
        age_s=_age_s(now, centre.last_seen_at),
        silent=unresponsive,
    )


def _unresponsive_instance(now: float, member: Member) -> UnresponsiveInstance:
    return UnresponsiveInstance(
        member.name, member.settings_offset, _age_s(now, member.last_seen_at)
    )


def _age_s(now: float, last_seen_at: float) -> float | None:
    return max(0.0, now - last_seen_at) if isfinite(last_seen_at) else None
