"""Views: which instances may claim keys, and must all agree to a claim that is not in the log.

A view is a record of the `claims` stream; its offset is its *epoch*. It names its members and the
view that it follows, and counts only if that is the newest one: of two that follow the same view
the first wins. A claim in the log counts only if its writer is a member of the newest view before
it. Until the first view, and after an empty one, anybody may claim.

A change of view is written by a member of the view that it follows. It brings every key that this
member has agreed to under that view (`claim_vote`). As each claim outside of the log needs the
agreement of all members, no such claim can be missing from it.

A reader that starts amid the stream does not know the view until a reader that does names it.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.records.claim_record import NO_VIEW, UNKNOWN_VIEW, Batch, Writer


class View(Struct, frozen=True):
    """The instances that may claim, from one offset on."""

    epoch: int
    members: tuple[Writer, ...]


FIRST_VIEW: Final = View(NO_VIEW, ())


class ViewLedger(Struct):
    """What the records say of views."""

    # None while this reader can't know it.
    current: View | None = FIRST_VIEW
    # Newest record that names the members of the current view.
    kept_at: int = NO_VIEW
    # Members by offset, of changes that were read while the view was not known; any may be void.
    proposed: dict[int, tuple[Writer, ...]] = field(default_factory=dict)
    # Members by epoch, as others told while the view was not known here.
    told: dict[int, tuple[Writer, ...]] = field(default_factory=dict)
    # Writers outside of the view that want to be in it, by name and incarnation.
    joins: dict[tuple[str, str], Writer] = field(default_factory=dict)


def epoch_of(views: ViewLedger) -> int:
    """Give the epoch that a writer tells."""
    return UNKNOWN_VIEW if views.current is None else views.current.epoch


def may_claim(views: ViewLedger, writer: Writer) -> bool:
    """Tell whether a claim by this writer counts.

    A reader that does not know the view takes all claims: what it enters is unsure anyway, and may
    block too much, but must not miss a holder.
    """
    current = views.current
    return current is None or not current.members or is_member(current, writer)


def is_member(view: View, writer: Writer) -> bool:
    """Tell whether a process is in a view; a restart makes another one of it."""
    return any(each.incarnation == writer.incarnation for each in view.members)


def lose_view(views: ViewLedger) -> None:
    """Forget the view, because records were missed that may have changed it."""
    views.current = None
    views.proposed.clear()
    views.told.clear()
    views.joins.clear()


def note_told(views: ViewLedger, offset: int, batch: Batch) -> None:
    """Note the view that the writer of a record knew when it composed it."""
    current = views.current
    if batch.members is not None and current is not None and batch.epoch == current.epoch:
        views.kept_at = offset
    if batch.members is not None and current is None:
        views.told[batch.epoch] = batch.members


def learn_view(views: ViewLedger, batch: Batch) -> None:
    """Take the view from a writer that knows every live claim."""
    if views.current is not None or batch.epoch == UNKNOWN_VIEW:
        return
    if any(offset >= batch.upto for offset in views.proposed):
        # The writer had not read that one yet, and whether it counts this reader can't tell.
        return
    if batch.epoch == NO_VIEW:
        views.current = FIRST_VIEW
        return
    members = views.proposed.get(batch.epoch, views.told.get(batch.epoch))
    if members is None:
        return
    views.current = View(batch.epoch, members)
    views.kept_at = max(batch.epoch, views.kept_at)
    views.proposed.clear()
    views.told.clear()


def fold_view(views: ViewLedger, offset: int, batch: Batch) -> bool:
    """Fold what a record says of views; tell whether it may have changed the view."""
    writer = batch.writer
    current = views.current
    if batch.join and current is not None and current.members and not is_member(current, writer):
        views.joins[writer.instance, writer.incarnation] = writer
    change = batch.change
    if change is None:
        return False
    if current is None:
        views.proposed[offset] = change.members
        return True
    entitled = not current.members or is_member(current, writer) or change.replaces
    if change.follows != current.epoch or not entitled:
        return False
    views.current = View(offset, change.members)
    views.kept_at = offset
    views.joins = {}
    return True
