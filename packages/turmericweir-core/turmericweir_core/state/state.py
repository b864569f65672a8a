"""The complete state of an instance: one part for each concern, each changed by its own reducer.

A reducer reads other parts only through the functions of their modules. All of this is soft state:
a restarted instance rebuilds it from the platform's log, its peers and the servers.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from msgspec import Struct, field

from turmericweir_core.base.config import Config
from turmericweir_core.base.ids import InstanceName, RequestId, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.state.account_store import AccountStore
from turmericweir_core.state.announced_limit import AnnouncedLimits
from turmericweir_core.state.answer_times import AnswerTimes
from turmericweir_core.state.brittle_state import BrittleState
from turmericweir_core.state.claim_state import ClaimState
from turmericweir_core.state.concurrency import ConcurrencyLimits
from turmericweir_core.state.credit_state import CreditState
from turmericweir_core.state.dead_state import DeadState
from turmericweir_core.state.document_state import DocumentState
from turmericweir_core.state.duty_state import DutyState
from turmericweir_core.state.engine_state import EngineTable
from turmericweir_core.state.era_state import EraState
from turmericweir_core.state.fair_share_state import FairShareState
from turmericweir_core.state.first_wait_state import FirstWaitState
from turmericweir_core.state.handover_state import HandoverState
from turmericweir_core.state.lease_state import LeaseState
from turmericweir_core.state.limit_state import RateLimits
from turmericweir_core.state.liveness_state import LivenessState
from turmericweir_core.state.load_state import LoadUpdateState
from turmericweir_core.state.membership_state import Membership
from turmericweir_core.state.model_state import ModelState
from turmericweir_core.state.outlier_state import OutlierState
from turmericweir_core.state.overdue_state import OverdueState
from turmericweir_core.state.pace_state import PaceState
from turmericweir_core.state.path_state import PathState
from turmericweir_core.state.pool_load import PoolLoads
from turmericweir_core.state.pool_state import PoolState
from turmericweir_core.state.predict import Predictor
from turmericweir_core.state.prefix import PrefixMap
from turmericweir_core.state.quarantine_state import QuarantineState
from turmericweir_core.state.queue_state import QueueState
from turmericweir_core.state.registry_state import RegistryState
from turmericweir_core.state.reliability import ReliabilityState
from turmericweir_core.state.retry_state import RetryBudget
from turmericweir_core.state.server_table import ServerTable
from turmericweir_core.state.straggler import StragglerState
from turmericweir_core.state.stream_state import StreamState
from turmericweir_core.state.subset_state import SubsetState
from turmericweir_core.state.usage_meter import UsageMeter

if TYPE_CHECKING:
    from turmericweir_core.state.settings_sync import SettingsSync
from turmericweir_core.state.waiting_state import WaitingState


def _new_settings_sync() -> SettingsSync:
    # Imported only if the settings come from the log, because the validation library that it loads
    # uses much memory.
    from turmericweir_core.state.settings_sync import SettingsSync

    return SettingsSync()


class Identity(Struct, frozen=True):
    """Identity of this instance, from its settings file."""

    name: InstanceName
    data_centre: str
    region: str
    peer_address: str
    # New at each start of the process.
    incarnation: str
    # Messages from other clusters and from regions that are not listed here are ignored.
    cluster: str = "turmericweir"
    other_regions: tuple[str, ...] = ()
    # Capacity of its machine for relaying, as a base-2 logarithm; 0 is the lowest.
    machine_capacity: int = 0


class State(Struct):
    """The state of an instance."""

    me: Identity
    options: Options
    # Seeded by the process, so that tests are reproducible.
    rng: Random
    # The settings in force; replaced as a whole when they change.
    config: Config = field(default_factory=Config)
    # Whether settings were received since the start; without them no traffic is served.
    has_settings: bool = False
    # Requests that have no account yet.
    requests: dict[RequestId, Request] = field(default_factory=dict)
    accounts: AccountStore = field(default_factory=AccountStore)
    queues: QueueState = field(default_factory=QueueState)
    servers: ServerTable = field(default_factory=ServerTable)
    # Paths to servers that this instance cannot connect to.
    paths: PathState = field(default_factory=PathState)
    # The servers of each target that this instance uses.
    subsets: SubsetState = field(default_factory=SubsetState)
    credits: CreditState = field(default_factory=CreditState)
    # Running attempts and speed of each pool.
    pool_loads: PoolLoads = field(default_factory=PoolLoads)
    # Predicted tokens of this instance's running requests, by server.
    predicted_work: dict[ServerName, float] = field(default_factory=dict)
    predictor: Predictor = field(default_factory=Predictor)
    # How long answers take, by class.
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)
    prefixes: PrefixMap = field(default_factory=PrefixMap)
    # Load and cache contents of each server.
    engines: EngineTable = field(default_factory=EngineTable)
    # Split of the engines of each service into prefill and decode.
    pools: PoolState = field(default_factory=PoolState)
    load_updates: LoadUpdateState = field(default_factory=LoadUpdateState)
    handover: HandoverState = field(default_factory=HandoverState)
    # Recent failures of each server.
    reliability: ReliabilityState = field(default_factory=ReliabilityState)
    # Servers that are ejected because they fail more requests than others.
    outliers: OutlierState = field(default_factory=OutlierState)
    # --- pace of engines ---
    paces: PaceState = field(default_factory=PaceState)
    stragglers: StragglerState = field(default_factory=StragglerState)
    overdue: OverdueState = field(default_factory=OverdueState)
    # What waits at the other instances.
    waiting: WaitingState = field(default_factory=WaitingState)
    # Work served for customers of one class that compete for room.
    fair_shares: FairShareState = field(default_factory=FairShareState)
    # Limits on the requests per second that servers announced.
    announced_limits: AnnouncedLimits = field(default_factory=AnnouncedLimits)
    # Servers that fall over if they have to refuse too many requests.
    brittle: BrittleState = field(default_factory=BrittleState)
    # Adaptive limits on the requests in flight on each server.
    server_limits: ConcurrencyLimits = field(default_factory=ConcurrencyLimits)
    # The releases of streams that callers may take up.
    streams: StreamState = field(default_factory=StreamState)
    retries: RetryBudget = field(default_factory=RetryBudget)
    members: Membership = field(default_factory=Membership)
    claims: ClaimState = field(default_factory=ClaimState)
    settings: SettingsSync = field(default_factory=_new_settings_sync)
    # The settings, if they come as one document; None if they come from the log.
    document: DocumentState | None = None
    # Registry of the servers, if the platform has one.
    registry: RegistryState = field(default_factory=RegistryState)
    eras: EraState = field(default_factory=EraState)
    rate_limits: RateLimits = field(default_factory=RateLimits)
    quarantine: QuarantineState = field(default_factory=QuarantineState)
    leases: LeaseState = field(default_factory=LeaseState)
    models: ModelState = field(default_factory=ModelState)
    first_waits: FirstWaitState = field(default_factory=FirstWaitState)
    server_liveness: LivenessState = field(default_factory=LivenessState)
    # Servers that are probed because attempts on them are unresponsive.
    dead: DeadState = field(default_factory=DeadState)
    # Counts of requests for usage reports; None if usage is not reported.
    meter: UsageMeter | None = None
    # Duties, which have one holder at a time; None if there are none.
    duties: DutyState | None = None
    # Set by a graceful stop; never reset.
    stopping_since: float | None = None

    def settings_offset(self) -> int:
        """Return the offset or version of the settings in force; 0 if there are none."""
        if self.document is not None:
            return self.document.version
        return self.settings.offset_in_force()

    def settings_digest(self) -> str:
        """Return the hash of the settings in force; empty for a document, which has a version."""
        return "" if self.document is not None else self.settings.digest_in_force()
