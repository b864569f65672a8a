"""The whole state of an instance: one part for each concern, each changed by its own reducer.

A reducer reads another's part only through that module's named functions. Everything here is soft:
an instance that starts afresh rebuilds it from the platform's log, its peers and the servers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from turmericweir_core.account_store import AccountStore
from turmericweir_core.config import Config
from turmericweir_core.ids import InstanceName, RequestId
from turmericweir_core.options import Options
from turmericweir_core.queue_state import QueueState
from turmericweir_core.request import Request
from turmericweir_core.retry import RetryBudget
from turmericweir_core.server_table import ServerTable


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this instance is; told by its settings file."""

    name: InstanceName
    data_centre: str
    region: str
    peer_address: str
    # New at each start of the process.
    incarnation: str


@dataclass(slots=True)
class State:
    """Everything an instance knows and has in hand."""

    me: Identity
    options: Options
    # Seeded by the process, so that a test can repeat every choice.
    rng: Random
    # The settings in force; replaced as a whole when the settings log moves on.
    config: Config = field(default_factory=Config)
    # Whether any settings have been had since the start: without them no traffic is served.
    has_settings: bool = False
    # Requests that have no account yet.
    requests: dict[RequestId, Request] = field(default_factory=dict)
    accounts: AccountStore = field(default_factory=AccountStore)
    queues: QueueState = field(default_factory=QueueState)
    servers: ServerTable = field(default_factory=ServerTable)
    retries: RetryBudget = field(default_factory=RetryBudget)
    # Set by a graceful stop; never unset.
    stopping_since: float | None = None
