"""Test which lists of servers an instance requests from its peers."""

from __future__ import annotations

import pytest

from tests.core.lifecycle_script import make_state
from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership.server_list import compare_list
from turmericweir_core.messages.membership_messages import Heartbeat
from turmericweir_core.state.membership_state import Member

NOW = 100.0


@pytest.mark.parametrize(
    ("own_age_s", "offered_age_s", "is_requested"),
    [
        # Read regularly: a difference is due to the times of the reads.
        (3.0, 0, False),
        # Cannot be read any more: a peer's read was a little later.
        (30.0, 29, True),
        # Ages are sent in whole seconds, so this one may be the same or earlier.
        (30.5, 30, False),
        (30.0, 31, False),
    ],
)
def test_later_list_is_requested_where_the_list_cannot_be_read(
    own_age_s: float, offered_age_s: int, *, is_requested: bool
) -> None:
    # Guards against an instance that never learns of a server which was listed just after its last
    # read.
    state = make_state(ServiceKind.MODEL, 1)
    state.members.started_at = 0.0
    state.servers.listed_at, state.servers.listed_hash = NOW - own_age_s, 1
    sender = Member(InstanceName("b"), "dc", "127.0.0.1:2")
    beat = Heartbeat("dc", "", "", 1, False, 0, "", servers_hash=2, servers_age_s=offered_age_s)
    assert bool(compare_list(state, NOW, sender, beat)) is is_requested
