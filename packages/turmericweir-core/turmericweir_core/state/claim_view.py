"""Views: which instances may claim keys, and must all agree to a claim that is not in the log.

A view is a record of the `claims` stream; its offset is its *epoch*. It names its members and the
view that it follows, and is valid only if that view is the newest one. If two records follow the
same view, the first one wins. A claim in the log is valid only if its writer is a member of the
newest view before it. Before the first view, and after an empty one, any instance may claim.

A member of the preceding view writes the change to the next one. The record contains every key that
this member has agreed to under the preceding view (`claim_vote`). Since a claim outside the log
needs the agreement of all members, the record includes every such claim.

A reader that starts at an offset above 0 learns the view from the record of a writer that knows it.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.records.claim_record import NO_VIEW, UNKNOWN_VIEW, ClaimBatch, RecordWriter


class View(Struct, frozen=True):
    """The instances that may claim, starting at one offset."""

    epoch: int
    members: tuple[RecordWriter, ...]


FIRST_VIEW: Final = View(NO_VIEW, ())


class ViewLedger(Struct):
    """The views, as folded from the records."""

    # None while this reader does not know it.
    current: View | None = FIRST_VIEW
    # Newest record that names the members of the current view.
    members_offset: int = NO_VIEW
    # Members by offset, for changes read while the view was unknown; any of them may be void.
    proposed: dict[int, tuple[RecordWriter, ...]] = field(default_factory=dict)
    # Members by epoch, as reported by other writers while the view was unknown here.
    reported_views: dict[int, tuple[RecordWriter, ...]] = field(default_factory=dict)
    # Writers outside the view that have requested to join, by name and incarnation.
    join_requests: dict[tuple[str, str], RecordWriter] = field(default_factory=dict)


def epoch_of(views: ViewLedger) -> int:
    """Return the epoch that a writer includes in its records."""
    return UNKNOWN_VIEW if views.current is None else views.current.epoch


def can_claim(views: ViewLedger, writer: RecordWriter) -> bool:
    """Return whether a claim by this writer is valid.

    A reader that does not know the view accepts all claims. Their entries are unsure, so they may
    block too many keys, but no holder is missed.
    """
    current = views.current
    return current is None or not current.members or is_member(current, writer)


def is_member(view: View, writer: RecordWriter) -> bool:
    """Return whether a process is a member of a view; a restarted one has a new incarnation."""
    return any(member.incarnation == writer.incarnation for member in view.members)


def discard_view(views: ViewLedger) -> None:
    """Discard the view because records that may have changed it were missed."""
    views.current = None
    views.proposed.clear()
    views.reported_views.clear()
    views.join_requests.clear()


def note_reported_view(views: ViewLedger, offset: int, batch: ClaimBatch) -> None:
    """Record the view that the writer of a record knew when it composed the record."""
    current = views.current
    if batch.members is not None and current is not None and batch.epoch == current.epoch:
        views.members_offset = offset
    if batch.members is not None and current is None:
        views.reported_views[batch.epoch] = batch.members


def adopt_view(views: ViewLedger, batch: ClaimBatch) -> None:
    """Adopt the view from a writer that knows every live claim."""
    if views.current is not None or batch.epoch == UNKNOWN_VIEW:
        return
    if any(offset >= batch.upto for offset in views.proposed):
        # The writer had not read that change yet, and this reader cannot decide if it is valid.
        return
    if batch.epoch == NO_VIEW:
        views.current = FIRST_VIEW
        return
    members = views.proposed.get(batch.epoch, views.reported_views.get(batch.epoch))
    if members is None:
        return
    views.current = View(batch.epoch, members)
    views.members_offset = max(batch.epoch, views.members_offset)
    views.proposed.clear()
    views.reported_views.clear()


def fold_view(views: ViewLedger, offset: int, batch: ClaimBatch) -> bool:
    """Fold the view changes of a record; return whether it may have changed the view."""
    writer = batch.writer
    current = views.current
    if batch.join and current is not None and current.members and not is_member(current, writer):
        views.join_requests[writer.instance, writer.incarnation] = writer
    change = batch.change
    if change is None:
        return False
    if current is None:
        views.proposed[offset] = change.members
        return True
    is_entitled = not current.members or is_member(current, writer) or change.replaces
    if change.follows != current.epoch or not is_entitled:
        return False
    views.current = View(offset, change.members)
    views.members_offset = offset
    views.join_requests = {}
    return True
