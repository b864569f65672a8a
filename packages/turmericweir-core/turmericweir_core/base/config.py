"""The settings in force, as plain data classes without validation.

`settings_model` validates what operators write and builds these objects. A `Config` is never
changed in place: each new offset of the settings log replaces it as a whole.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName, Target
from turmericweir_core.base.routes import RouteTable


class ServiceKind(StrEnum):
    """The kind of traffic that a service handles."""

    MODEL = "model"
    PLAIN = "plain"


class PlacementPolicy(StrEnum):
    """How servers are selected; see docs/design/placement.md."""

    # First come, first served, round robin, without classes; the reference for measurements.
    BASELINE = "baseline"
    # Each instance uses its local in-flight counts and the delayed load reports of the servers.
    COUNTS = "counts"
    # One dispatcher per server leases slots to the instances.
    CREDITS = "credits"
    # The lowest predicted time to the first token, from a model of each engine and the counts of
    # all instances.
    PREDICTED = "predicted"


class ServiceClass(Struct, frozen=True):
    """A service class: the urgency of its requests and their latency targets."""

    name: str
    # 0 is the most urgent tier; less urgent tiers are shed and preempted first.
    priority: int
    # Time to the first token (models) or to the whole answer (plain services).
    target_s: float
    # Time between tokens; None if the class has no such target.
    token_gap_target_s: float | None = None
    # Deadline of requests that do not specify one.
    deadline_s: float = 60.0
    # Share of dispatched work that this class gets even under permanent overload, 0..1.
    assured_share: float = 0.02
    # Scheduling rank at the servers, 0 first; None uses the priority.
    rank: int | None = None
    # Order in which requests of one tier are sent, 0 first; never a reason to preempt.
    customer_priority: int = 0


class Limit(Struct, frozen=True):
    """A rate limit; None means unlimited."""

    requests_s: float | None = None
    tokens_s: float | None = None


NO_LIMIT = Limit()


class Customer(Struct, frozen=True):
    """A customer, its credentials and the classes that its requests may use."""

    name: str
    # The team that the customer belongs to; empty for none.
    team: str = ""
    # SHA-256 hex digests of the bearer tokens.
    token_digests: tuple[str, ...] = ()
    # Class by target (model or service); the key "*" is the default.
    classes: dict[str, str] = field(default_factory=dict)
    limit: Limit = NO_LIMIT
    # Order of its requests among those of the same tier, 0 first; None uses the route's priority.
    priority: int | None = None
    # Its share of a class that has too little room, relative to other customers.
    weight: float = 1.0


class CallRule(Struct, frozen=True):
    """Whether matching calls of a plain service may be repeated, and their service class."""

    method: str = "*"
    path_prefix: str = "/"
    repeatable: bool = False
    # Overrides the class of the customer; None keeps it.
    service_class: str | None = None


class CapacityBounds(Struct, frozen=True):
    """Bounds and prices for ordering servers of a service; the bounds apply per data centre."""

    servers_min: int
    servers_max: int
    # Time from an order until the new server accepts requests.
    boot_s: float
    # Price of a server per second, by data centre.
    prices: dict[str, float] = field(default_factory=dict)
    # Price of a spot server as a share of the regular price; None if there are no spot servers.
    spot_share: float | None = None


class Service(Struct, frozen=True):
    """A group of interchangeable backend servers."""

    name: str
    kind: ServiceKind
    # Names of the models that its servers may serve; empty for plain services.
    models: tuple[str, ...] = ()
    # The first match applies; calls without a match are repeatable only if the method is safe.
    rules: tuple[CallRule, ...] = ()
    # Requests that one server can batch or run at once, until it reports its own number.
    slots: int = 8
    # Whether servers refuse an order with an outdated fencing number.
    checks_fence: bool = False
    # Tokens that the cache of one engine can hold; 0 if unknown.
    kv_tokens: int = 0
    # Tokens in one event of a stream.
    event_tokens: int = 1
    # Time to fetch the cache entry of one token from another engine; 0 if engines do not support
    # it.
    fetch_ms_per_token: float = 0.0
    # Connections that one server accepts from all instances together; 0 if unknown.
    connections_max: int = 0
    # Path of the health check of a server; empty if it has none.
    health_path: str = ""
    # None if turmericweir does not order the servers of this service.
    capacity: CapacityBounds | None = None


class ServerEntry(Struct, frozen=True, array_like=True):
    """A backend server as listed in the settings or by the platform."""

    name: ServerName
    service: str
    data_centre: str
    # "ip:port"
    address: str
    # Changes when the server restarts under the same name.
    incarnation: str = ""
    leaving: bool = False
    # Requests that the server batches or runs at once; 0 if not specified.
    slots: int = 0
    # A cheaper server that the platform may reclaim at short notice.
    spot: bool = False
    # Version of the server's software, not of its models; versions have no order.
    software_version: str = ""


class RequestLimits(Struct, frozen=True):
    """Limits on the size of requests and on slow or idle callers."""

    header_bytes: int = 32_768
    body_bytes: int = 4_194_304
    header_s: float = 10.0
    idle_s: float = 75.0


class ModelReplicas(Struct, frozen=True):
    """How many servers of a service should have a model loaded."""

    model: str
    version: str = "1"
    min_servers: int = 1
    max_servers: int = 1_000_000


class Operator(Struct, frozen=True):
    """An operator and the settings paths that they may change."""

    name: str
    token_digest: str
    paths: tuple[str, ...]


class TierSummary(Struct, frozen=True):
    """What follows from all service classes together."""

    # The most and the least urgent tier that is configured.
    most_urgent: int = 0
    lowest: int = 0
    # The assured share of each tier: the sum over its classes.
    assured_shares: dict[int, float] = field(default_factory=dict)
    # The token gap target of the most urgent class that has one.
    gap_target_s: float | None = None


class Config(Struct, frozen=True):
    """All settings by operators at one offset of the settings log."""

    # Offset of the first settings record that is not part of this state.
    offset: int = 0
    # Classes by name. Where they follow from routes, they are added when a request first uses them.
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    # Of all classes, also of those that no request has used; None until `tiers` derives it.
    tier_summary: TierSummary | None = None
    customers: dict[str, Customer] = field(default_factory=dict)
    # Customer by token digest.
    customers_by_token: dict[str, Customer] = field(default_factory=dict)
    teams: dict[str, Limit] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    # Service by model name or plain service name.
    service_by_target: dict[Target, Service] = field(default_factory=dict)
    servers: dict[ServerName, ServerEntry] = field(default_factory=dict)
    model_replicas: dict[str, ModelReplicas] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
    policy: PlacementPolicy = PlacementPolicy.COUNTS
    routes: RouteTable = field(default_factory=RouteTable)
    # Whether requests on non-public routes need the key of a customer.
    keys_required: bool = False
    limits: RequestLimits = field(default_factory=RequestLimits)
