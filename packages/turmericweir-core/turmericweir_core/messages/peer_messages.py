"""Messages between entry instances, which the daemon encodes as msgpack.

`PEER_MESSAGES` lists all of them for the codec. Fields are encoded by position and hold only what
msgpack supports: numbers, strings, booleans, and lists, dicts and nested data classes of them.
"""

from __future__ import annotations

from typing import Any, Final, TypeAlias

from msgspec import Struct

from turmericweir_core.base.config import ServerEntry


class Word(Struct, frozen=True, array_like=True):
    """Status message of a gateway about its data centre."""

    data_centre: str
    # The key of the gateway, and its heartbeat counter at the time of sending.
    gateway_key: int
    seq: int
    # Hash of the keys of the live members.
    members_hash: int
    live_members: int
    # The lowest offset of the settings in force among the live members.
    settings_offset: int


class Mark(Struct, frozen=True, array_like=True):
    """Leaving notice: a backend server gets no new requests."""

    server: str
    incarnation: str
    drained: bool
    # Seconds since an instance last saw that the server is leaving.
    age_s: int


class LimitRow(Struct, frozen=True, array_like=True):
    """Statement of a backend server on the requests that it accepts from all instances."""

    server: str
    incarnation: str
    # Requests per second; None if it lifted its limit.
    requests_s: float | None
    # Milliseconds since an instance received the newest answer that says so.
    age_ms: int


class LimitLoanAsk(Struct, frozen=True, array_like=True):
    """Asks another instance for some of its requests to servers that have announced limits."""

    number: int
    servers: list[str]
    tokens: int


class LoanRow(Struct, frozen=True, array_like=True):
    """Requests to one incarnation of a server that the sender of the loan does without."""

    server: str
    incarnation: str
    tokens: int


class LimitLoan(Struct, frozen=True, array_like=True):
    """Lends requests to the instance that asked under this number."""

    number: int
    rows: list[LoanRow]


class RetryLoanAsk(Struct, frozen=True, array_like=True):
    """Asks another instance for some of its part of the retry budget of a target."""

    number: int
    target: str
    retries: float


class RetryLoan(Struct, frozen=True, array_like=True):
    """Lends retries of a target to the instance that asked under this number."""

    number: int
    target: str
    retries: float


class BrittleRow(Struct, frozen=True, array_like=True):
    """Statement of a backend server that it falls over if it refuses too many requests."""

    server: str
    incarnation: str
    # Refusals a second that it bears; None if it is not brittle any more.
    refusals_s: float | None
    # Milliseconds since an instance received the newest answer that says so.
    age_ms: int


class Heartbeat(Struct, frozen=True, array_like=True):
    """Gossip datagram: the sender is alive, with summaries of its membership state.

    Heartbeats are most of the control traffic and must be small. `counters` holds one ASCII
    character for each member, the lowest seven bits of its counter, in the order of the roster that
    `members_hash` identifies. A receiver with a different roster cannot decode them; for a while
    after any difference, `entries` holds the counters with their keys instead. Details are
    requested when a summary differs.
    """

    # Identity of the sender; all three are empty if the receiver knows it by its key.
    data_centre: str
    address: str
    incarnation: str
    # Increases with every gossip round of an incarnation; a lower one is ignored as delayed.
    seq: int
    leaving: bool
    settings_offset: int
    # Empty if omitted to save bytes.
    settings_hash: str
    # Hash of the keys of the roster of the sender's data centre.
    members_hash: int = 0
    # Hash of the sender's cluster and region.
    cluster_hash: int = 0
    # The sender's key: a hash of its name, incarnation and `leaving`.
    sender_key: int = 0
    # Digests of the leaving notices and of the platform's list, and the age of that list; -1 if the
    # sender has none.
    notices_hash: int = 0
    servers_hash: int = 0
    servers_age_s: int = -1
    # The highest offset of settings known to the sender in its data centre.
    newest_offset: int = 0
    counters: str = ""
    # How far the offset of each member is below the newest, at most 127; empty if none is.
    offset_lags: str = ""
    # Key, counter and lag of each member, one after the other.
    entries: list[int] = []
    status_messages: list[Word] = []
    leaving_notices: list[Mark] = []
    # Capacity of the sender's machine for relaying; 0 if omitted.
    machine_capacity: int = 0
    limits: list[LimitRow] = []
    brittle: list[BrittleRow] = []


class MemberRecord(Struct, frozen=True, array_like=True):
    """The identity of a member."""

    name: str
    data_centre: str
    region: str
    address: str
    incarnation: str
    leaving: bool
    # Earlier incarnations of this member, as far as the sender knows.
    earlier_incarnations: list[str] = []
    machine_capacity: int = 0


class MembersAsk(Struct, frozen=True, array_like=True):
    """Requests the records of these members, or with no keys the live ones of a data centre."""

    data_centre: str
    keys: list[int] = []


class MembersSend(Struct, frozen=True, array_like=True):
    """Member records, as requested."""

    data_centre: str
    # Hash of the keys of the live members; 0 if the records are not complete.
    members_hash: int
    records: list[MemberRecord] = []


class MarksAsk(Struct, frozen=True, array_like=True):
    """Requests all leaving notices."""


class MarksSend(Struct, frozen=True, array_like=True):
    """All leaving notices of the sender."""

    leaving_notices: list[Mark] = []


class ServersAsk(Struct, frozen=True, array_like=True):
    """Requests the platform's list of backend servers."""


class ServersSend(Struct, frozen=True, array_like=True):
    """The platform's list of backend servers, as last read."""

    # Seconds since it was read from the platform.
    age_s: float
    servers: list[ServerEntry] = []
    # On a platform with a store: the offset of each server's newest record, and the offset up to
    # which the list reflects all records.
    offsets: list[int] = []
    end: int = 0


class SettingsAsk(Struct, frozen=True, array_like=True):
    """Requests the settings records from this offset."""

    offset: int


class SettingsSend(Struct, frozen=True, array_like=True):
    """Settings records from an offset, or a whole state if the records have expired."""

    first: int
    records: list[Any] = []
    # A snapshot record as in the log, or None.
    snapshot: dict[str, Any] | None = None


# --- settings as one document, and the load of servers -------------------------------------------


class DocumentAsk(Struct, frozen=True, array_like=True):
    """Requests a newer settings document and the proof that it is the newest."""

    version: int
    # Identifies this request in the answer.
    request_number: int


class DocumentSend(Struct, frozen=True, array_like=True):
    """The settings document, as the operator wrote it."""

    version: int
    raw: bytes


class DocumentProof(Struct, frozen=True, array_like=True):
    """Proof that no newer version was in force `age_s` ago."""

    version: int
    # Number of the request that this answers.
    request_number: int
    age_s: float


class RegistryRow(Struct, frozen=True, array_like=True):
    """A server's entry, or its removal, with the offset of its record."""

    offset: int
    name: str
    # None if the entry was removed.
    entry: ServerEntry | None = None


class RegistryNews(Struct, frozen=True, array_like=True):
    """Changed entries of servers from a new read, and the hash of all entries."""

    servers_hash: int
    rows: list[RegistryRow] = []
    # The instance that read them; empty for the sender.
    reader: str = ""
    # Offset up to which the hashed entries reflect all records.
    end: int = 0


class LoadRow(Struct, frozen=True, array_like=True):
    """Load that the sender has on one server."""

    server: str
    # For each prompt without a first token: prefill time, rank, and time since it was sent;
    # milliseconds.
    prefills: list[list[int]]
    # Requests whose answer has begun.
    running: int
    # Tokens of these requests.
    tokens: int


class SentPart(Struct, frozen=True, array_like=True):
    """A prompt part that was sent to a server or already prefilled there."""

    server: str
    part: str
    tokens: int
    is_prefilled: bool
    # Time for which the prefill of the part is assumed to last.
    prefill_ms: int


class OverdueRow(Struct, frozen=True, array_like=True):
    """Requests of one rank and kind that wait too long, or were refused for want of room."""

    rank: int
    # Whether they tolerate long prompts on the same engine, and so share the engines of these.
    is_long: bool
    count: int


class DemandRow(Struct, frozen=True, array_like=True):
    """Work that the sender sends to a service, milliseconds per second."""

    target: str
    # Work of requests that tolerate long prompts on the same engine, and of those that do not.
    long_prompt_ms_s: int
    short_prompt_ms_s: int
    overdue: list[OverdueRow] = []
    # Work of medium prompts: they tolerate no long prompts beside them, and delay shorter ones.
    medium_prompt_ms_s: int = 0


class LoadNews(Struct, frozen=True, array_like=True):
    """Load update: the sender's load on all servers, and the prompt parts it sent recently."""

    incarnation: str
    # Increases with each update of an incarnation.
    seq: int
    rows: list[LoadRow] = []
    parts: list[SentPart] = []
    demand: list[DemandRow] = []
    # True: the sender has no load on servers without a row. False: their load is unchanged.
    is_complete: bool = True


class BundledNews(Struct, frozen=True, array_like=True):
    """A forwarded load update, with its origin and its delay at the relay."""

    origin: str
    update: LoadNews
    delay_ms: int


class LoadBundle(Struct, frozen=True, array_like=True):
    """Load updates that a relay has collected from its group and from other relays."""

    updates: list[BundledNews]


class PathsAsk(Struct, frozen=True, array_like=True):
    """Asks which of these servers the receiver can connect to."""

    servers: list[str]
    # Maximum age of a connection by which the receiver may answer, in milliseconds.
    evidence_ms: int


class PathsSend(Struct, frozen=True, array_like=True):
    """The servers that the sender can connect to, and those that it cannot."""

    reached: list[str]
    lost: list[str]
    # Connections that the sender carries to servers for other instances.
    carried: int


class CarryAsk(Struct, frozen=True, array_like=True):
    """Asks the receiver to connect to a server and to carry what this connection transports.

    It is the first and only frame of a connection; see `peers.carrier` of the daemon.
    """

    server: str
    address: str


class StreamRow(Struct, frozen=True, array_like=True):
    """The release that a stream is bound to."""

    # Hash of the customer and the caller's id of the stream.
    key: int
    # 0 if several servers may have written it.
    release: int
    # Time for which callers may take it up, in seconds.
    keep_s: int


class StreamsBound(Struct, frozen=True, array_like=True):
    """The releases of streams, for the receiver to keep, or as an answer to it."""

    rows: list[StreamRow]


class StreamAsk(Struct, frozen=True, array_like=True):
    """Asks for the release of a stream that a caller takes up."""

    key: int


class StreamUnknown(Struct, frozen=True, array_like=True):
    """The sender does not know the stream."""

    key: int
    # Services that have had servers of several releases lately.
    divided_services: list[str]


class CachesAsk(Struct, frozen=True, array_like=True):
    """Requests the known contents of the engines' caches; sent after a start."""


class CachesServer(Struct, frozen=True, array_like=True):
    """Prompt parts that an engine presumably holds, the newest last, and the tokens of each."""

    server: str
    parts: list[str]
    tokens: list[int]


class CachesSend(Struct, frozen=True, array_like=True):
    """The sender's knowledge of the engines' caches."""

    servers: list[CachesServer]


# --- credits: slots of servers, leased by one dispatcher per server ------------------------------


class TierDemand(Struct, frozen=True, array_like=True):
    """Running and waiting requests of an instance for a server at one tier."""

    tier: int
    running: int
    # Requests that could go to this server; a waiting request is counted for several servers.
    waiting: int
    # Waiting requests that may preempt less urgent work here; each is counted for one server only.
    displacing: int = 0


class CreditDemand(Struct, frozen=True, array_like=True):
    """Requests slots of this server; sent on changes, and periodically as a renewal."""

    server: str
    # Increases with each demand for the server; 1 is the first since the sender started.
    seq: int
    # The newest grant that the sender received, or 0.
    grant_number: int
    # The server's limit, as observed by the sender.
    limit: int
    tiers: list[TierDemand] = []


class TierGrant(Struct, frozen=True, array_like=True):
    """Slots for one tier; the assured ones are reserved for this tier."""

    tier: int
    slots: int
    assured: int


class ServerLoad(Struct, frozen=True, array_like=True):
    """A server's load report, forwarded to save the receivers their own probes."""

    incarnation: str
    seq: int
    running: int
    waiting: int
    slots: int
    kv_used: int
    kv_total: int
    models: list[str]
    leaving: bool
    fence: int


class CreditGrant(Struct, frozen=True, array_like=True):
    """Grants slots of this server; replaces every grant with a lower number."""

    server: str
    # The newest demand that the dispatcher had received; `ttl_s` counts from its sending.
    demand_seq: int
    grant_number: int
    ttl_s: float
    # Demand exceeds the capacity; the receiver must report every change of its demand.
    is_contended: bool
    # Attempts of tiers numbered above `displace_above` are preempted until this many are left; None
    # for no preemption.
    attempts_to_keep: int | None
    displace_above: int
    tiers: list[TierGrant] = []
    # Present only if it is new to the receiver.
    load: ServerLoad | None = None


class ClaimAsk(Struct, frozen=True, array_like=True):
    """Asks for the result of the receiver's request that holds a key."""

    # Ids of the request that holds the key, and of the sender's request that waits for it.
    holder: str
    waiter: str
    # Peer address of the sender.
    address: str


class ClaimKept(Struct, frozen=True, array_like=True):
    """The result of a request that held a key, with its answer if that was stored."""

    waiter: str
    holder: str
    outcome: str
    reason: str
    status: int | None
    # False if the answer was too large to store.
    has_answer: bool
    headers: list[list[str]] = []
    # In Base64, as fields are text or numbers.
    body: str = ""


class ClaimOpen(Struct, frozen=True, array_like=True):
    """The request is in progress; its result will be sent when it ends."""

    waiter: str
    holder: str


class ClaimUnheld(Struct, frozen=True, array_like=True):
    """The sender knows no such request."""

    waiter: str
    holder: str
    # Offset up to which the sender has read the claims stream, which may hold a withdrawal.
    offset: int


class ClaimVoteAsk(Struct, frozen=True, array_like=True):
    """Asks for agreement that this request runs for the key; see `claim_vote`."""

    # The epoch of the view that the vote belongs to.
    epoch: int
    key: str
    fingerprint: str
    request_id: str
    # The asking process, and its peer address.
    incarnation: str
    address: str


class ClaimVote(Struct, frozen=True, array_like=True):
    """The vote on a claim."""

    epoch: int
    request_id: str
    # Incarnation of the voting process.
    voter: str
    is_agreed: bool
    # If not agreed: the request that holds the key according to the voter, and its instance.
    holder: str = ""
    holder_fingerprint: str = ""
    holder_instance: str = ""
    holder_incarnation: str = ""
    holder_address: str = ""
    # The holder's claim is in the log.
    is_in_log: bool = False


class ClaimRelease(Struct, frozen=True, array_like=True):
    """Releases an agreed claim whose request never ran and never will."""

    key: str
    request_id: str


# --- limits: shares of rate limits, leased by one home per customer or team ----------------------


class LimitDemand(Struct, frozen=True, array_like=True):
    """Demand of an instance for one limited customer or team, per second."""

    key: str
    requests: float
    tokens: float
    # The share that the sender already has, or 0.
    held_requests: float
    held_tokens: float


class LimitAsk(Struct, frozen=True, array_like=True):
    """Requests shares of these limits; sent on changes of demand, and periodically as a renewal."""

    demands: list[LimitDemand] = []


class LimitShare(Struct, frozen=True, array_like=True):
    """A share of one limit, per second; negative if the quantity is not limited."""

    key: str
    requests: float
    tokens: float


class LimitGrant(Struct, frozen=True, array_like=True):
    """Grants these shares; each replaces the previous one."""

    shares: list[LimitShare] = []


# --- quarantine: requests that were in flight at the crash of a server ---------------------------


class Sighting(Struct, frozen=True, array_like=True, order=True):
    """A request that was in flight at a crash, and the instance that had sent it."""

    fingerprint: str
    instance: str


class CrashRecord(Struct, frozen=True, array_like=True):
    """What is known about one crash; two records of the same crash are merged."""

    server: str
    # The incarnation of the server that ended with the crash.
    incarnation: str
    # Seconds since the crash was first reported.
    age_s: float
    # Requests that were in flight, and those of them that were sent only after the crash.
    suspects: list[Sighting] = []
    sent_after_crash: list[Sighting] = []
    # Fingerprints of requests that completed later, through any instance.
    cleared: list[str] = []
    # The server was alive in the same incarnation afterwards: it was not a crash.
    retracted: bool = False
    # Hashes of shared parts of prompts that were in flight, of those that sound answers have
    # cleared, and of those that ran isolated.
    parts: list[int] = []
    cleared_parts: list[int] = []
    isolated_parts: list[int] = []


class CrashNews(Struct, frozen=True, array_like=True):
    """Crashes that the receiver may not know of."""

    crashes: list[CrashRecord] = []
    # These are all that the sender knows of, and it has not just started.
    complete: bool = False


class CrashesAsk(Struct, frozen=True, array_like=True):
    """Requests all crashes that the receiver knows of, unless their hash is this one."""

    crashes_hash: int


class TrialAsk(Struct, frozen=True, array_like=True):
    """Requests an isolated run of this suspect: no other suspect may run on the server."""

    server: str
    fingerprint: str


class TrialAnswer(Struct, frozen=True, array_like=True):
    """Grants an isolated run, or denies it because another suspect runs there."""

    server: str
    fingerprint: str
    granted: bool


class TrialEnd(Struct, frozen=True, array_like=True):
    """The isolated run on this server ended."""

    server: str
    fingerprint: str
    # The connection broke: the server may have crashed.
    connection_broke: bool = False


class ModelUse(Struct, frozen=True, array_like=True):
    """Running and waiting requests of a model on one instance, averaged since the last report."""

    model: str
    running: float
    waiting: int


class ModelDemand(Struct, frozen=True, array_like=True):
    """Use of a service's models, sent to the instance that places them in a data centre."""

    service: str
    data_centre: str
    uses: list[ModelUse] = []


class WindowCounts(Struct, frozen=True, array_like=True):
    """Requests that servers started for one instance in one window, by customer."""

    window: int
    counts: dict[str, int]


class UsageCounts(Struct, frozen=True, array_like=True):
    """Counts of one instance for the newest windows, sent to the instance that reports usage."""

    incarnation: str
    # Increases with each message of an incarnation.
    seq: int
    # The sender adds no more requests to windows before this one.
    open_window: int
    windows: list[WindowCounts] = []


class DutyStatus(Struct, frozen=True, array_like=True):
    """The sender holds the lease of the duties, and is able to perform them."""

    fence: int


PeerMessage: TypeAlias = (
    Heartbeat
    | MembersAsk
    | MembersSend
    | MarksAsk
    | MarksSend
    | ServersAsk
    | ServersSend
    | SettingsAsk
    | SettingsSend
    | DocumentAsk
    | DocumentSend
    | DocumentProof
    | LoadNews
    | LoadBundle
    | RegistryNews
    | PathsAsk
    | PathsSend
    | CarryAsk
    | StreamsBound
    | StreamAsk
    | StreamUnknown
    | CachesAsk
    | CachesSend
    | CreditDemand
    | CreditGrant
    | ClaimAsk
    | ClaimKept
    | ClaimOpen
    | ClaimUnheld
    | ClaimVoteAsk
    | ClaimVote
    | ClaimRelease
    | LimitAsk
    | LimitGrant
    | CrashNews
    | CrashesAsk
    | LimitLoanAsk
    | LimitLoan
    | RetryLoanAsk
    | RetryLoan
    | TrialAsk
    | TrialAnswer
    | TrialEnd
    | ModelDemand
    | UsageCounts
    | DutyStatus
)

PEER_MESSAGES: Final[tuple[type[PeerMessage], ...]] = (
    Heartbeat,
    MembersAsk,
    MembersSend,
    MarksAsk,
    MarksSend,
    ServersAsk,
    ServersSend,
    SettingsAsk,
    SettingsSend,
    DocumentAsk,
    DocumentSend,
    DocumentProof,
    LoadNews,
    LoadBundle,
    RegistryNews,
    PathsAsk,
    PathsSend,
    CarryAsk,
    StreamsBound,
    StreamAsk,
    StreamUnknown,
    CachesAsk,
    CachesSend,
    CreditDemand,
    CreditGrant,
    ClaimAsk,
    ClaimKept,
    ClaimOpen,
    ClaimUnheld,
    ClaimVoteAsk,
    ClaimVote,
    ClaimRelease,
    LimitAsk,
    LimitGrant,
    CrashNews,
    CrashesAsk,
    LimitLoanAsk,
    LimitLoan,
    RetryLoanAsk,
    RetryLoan,
    TrialAsk,
    TrialAnswer,
    TrialEnd,
    ModelDemand,
    UsageCounts,
    DutyStatus,
)
