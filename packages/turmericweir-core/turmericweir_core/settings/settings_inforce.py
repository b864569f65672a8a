"""Say in which data centres a change is in force, and of which that cannot be said.

The evidence is what instances say of themselves: each heartbeat carries the offset of the settings
by which its sender serves, and relays pass on the lowest one of their data centre. Settings never
go back, so an old word that says enough still holds. Of an instance that was never heard from
nothing is known, and of a silent one no more than its last word.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import isfinite

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.state.membership_state import CentreView, Member


class Reach(StrEnum):
    """Whether a change is in force somewhere."""

    # Every known instance has said that it serves by settings at least as new.
    IN_FORCE = "in_force"
    # Some instance that is heard from still serves by older ones.
    BEHIND = "behind"
    # Some instance is not heard from, and its last word, if any, was of older ones.
    OUT_OF_REACH = "out_of_reach"


@dataclass(frozen=True, slots=True)
class SilentInstance:
    """A known instance that is not heard from and has not said that the change is in force."""

    name: InstanceName
    # The offset that it spoke of last, and how long ago; None if it was never heard from.
    offset: int
    age_s: float | None


@dataclass(frozen=True, slots=True)
class CentreReach:
    """What is known of one data centre."""

    data_centre: str
    reach: Reach
    # The lowest offset that its live instances spoke of, and how many they are.
    offset: int
    live: int
    # How old the newest word from there is; None if there was none.
    age_s: float | None
    silent: tuple[SilentInstance, ...]


def in_force(
    now: float,
    offset: int,
    centres: Iterable[CentreView],
    not_live: Iterable[Member],
    named: Iterable[str],
) -> list[CentreReach]:
    """Say of each data centre whether all records before an offset are in force there.

    `not_live` are the known instances that are not heard from; `named` are data centres that are
    known by name only, such as those of the servers in the settings.
    """
    silent = [it for it in not_live if not it.leaving and it.settings_offset < offset]
    reaches = {it.name: _reach_of(now, offset, it, silent) for it in centres}
    for name in (*(it.data_centre for it in silent), *named):
        if name and name not in reaches:
            # Nobody's word from there was ever heard.
            unheard = tuple(_silent_of(now, it) for it in silent if it.data_centre == name)
            reaches[name] = CentreReach(name, Reach.OUT_OF_REACH, 0, 0, None, unheard)
    return [reaches[name] for name in sorted(reaches)]


def _reach_of(now: float, offset: int, centre: CentreView, silent: list[Member]) -> CentreReach:
    missing = tuple(_silent_of(now, it) for it in silent if it.data_centre == centre.name)
    heard = isfinite(centre.heard_at) and centre.live > 0
    if heard and centre.settings_offset >= offset:
        reach = Reach.OUT_OF_REACH if missing else Reach.IN_FORCE
    else:
        reach = Reach.BEHIND if heard and centre.reachable else Reach.OUT_OF_REACH
    return CentreReach(
        data_centre=centre.name,
        reach=reach,
        offset=centre.settings_offset,
        live=centre.live,
        age_s=_age(now, centre.heard_at),
        silent=missing,
    )


def _silent_of(now: float, member: Member) -> SilentInstance:
    return SilentInstance(member.name, member.settings_offset, _age(now, member.heard_at))


def _age(now: float, heard_at: float) -> float | None:
    return max(0.0, now - heard_at) if isfinite(heard_at) else None
