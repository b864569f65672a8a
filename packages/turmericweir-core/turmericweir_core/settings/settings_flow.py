"""Connects the settings to the rest of the state: lists the peers, and applies a new `Config`.

The main reducer calls these functions; `settings_reducer` works on the `SettingsSync` alone.
"""

from __future__ import annotations

from collections.abc import Sequence

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Effect
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    ChangeSubmitted,
    LogExpired,
    LogFailed,
    LogRead,
)
from turmericweir_core.messages.membership_messages import Heartbeat
from turmericweir_core.messages.settings_messages import SettingsAsk, SettingsSend
from turmericweir_core.settings import settings_changes, settings_reducer
from turmericweir_core.settings.settings_reach import CentreReach, reach_of_centres
from turmericweir_core.state import server_table
from turmericweir_core.state.settings_sync import PeerSettings
from turmericweir_core.state.state import State


def on_log(state: State, now: float, event: LogRead | LogExpired | LogFailed) -> list[Effect]:
    """Handle the result of a read of the settings stream."""
    sync = state.settings
    match event:
        case LogRead():
            effects = settings_reducer.on_log_read(sync, state.options, now, event)
        case LogExpired():
            effects = settings_reducer.on_log_expired(sync, now, event)
        case LogFailed():
            effects = settings_reducer.on_log_failed(sync, now, event)
    _update_config(state)
    return effects


def on_append(state: State, now: float, event: AppendDone | AppendFailed) -> list[Effect]:
    """Handle the result of an append to the settings stream."""
    match event:
        case AppendDone():
            return settings_changes.on_append_done(state.settings, event)
        case AppendFailed():
            return settings_changes.on_append_failed(state.settings, now, event)


def on_submitted(state: State, now: float, event: ChangeSubmitted) -> list[Effect]:
    """Append an operator's change to the log."""
    return settings_changes.on_change_submitted(state.settings, state.options, now, event)


def on_message(
    state: State, now: float, sender: InstanceName, message: SettingsAsk | SettingsSend
) -> list[Effect]:
    """Handle a peer's request for settings, or its answer."""
    sync = state.settings
    match message:
        case SettingsAsk():
            peer = membership.find_member(state, sender)
            if peer is None:
                return []
            address = peer.peer_address
            return settings_reducer.on_settings_ask(sync, state.options, sender, address, message)
        case SettingsSend():
            effects = settings_reducer.on_settings_send(sync, state.options, now, message)
            _update_config(state)
            return effects


def on_heartbeat(state: State, sender: InstanceName, heartbeat: Heartbeat) -> list[Effect]:
    """Compare a peer's settings with this instance's."""
    return settings_reducer.on_heartbeat(state.settings, sender, heartbeat)


def on_tick(state: State, now: float) -> list[Effect]:
    """Run the periodic work, and apply a new `Config`."""
    effects = settings_reducer.on_tick(
        state.settings, state.options, now, state.me.name, lambda: _peer_settings(state, now)
    )
    _update_config(state)
    return effects


def _peer_settings(state: State, now: float) -> Sequence[PeerSettings]:
    """Return the settings offsets of the other live instances.

    Of another data centre, the gateways report only the lowest offset of its live instances.
    """
    centres = membership.data_centre_views(state, now)
    lowest_offsets = {centre.name: centre.settings_offset for centre in centres if centre.reachable}
    return [
        PeerSettings(
            name=each.name,
            address=each.peer_address,
            offset=max(each.settings_offset, lowest_offsets.get(each.data_centre, 0)),
        )
        for each in membership.live_instances(state, now)
        if each.name != state.me.name
    ]


def reach_by_data_centre(state: State, now: float, offset: int) -> list[CentreReach]:
    """Return for each data centre whether all settings before an offset are in force there."""
    members = state.members.by_name.values()
    return reach_of_centres(
        now,
        offset,
        centres=membership.data_centre_views(state, now),
        not_live=[each for each in members if not membership.is_live(state, now, each)],
        # Includes data centres that are known only by their servers.
        named={server.entry.data_centre for server in state.servers.by_name.values()},
    )


def _update_config(state: State) -> None:
    """Apply the newest `Config` to the state if it has changed."""
    sync = state.settings
    state.has_settings = sync.has_been_complete
    if sync.config is not state.config:
        state.config = sync.config
        server_table.rebuild_table(state.servers, state.config)
