"""All tunable numbers of the core, with their units.

Operators change few of them; tests change many. No other module of the core defines a tunable
number.
"""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.cache_options import CacheOptions
from turmericweir_core.base.fair_share_options import FairShareOptions
from turmericweir_core.base.late_options import LateOptions
from turmericweir_core.base.outlier_options import OutlierOptions
from turmericweir_core.base.pace_options import PaceOptions
from turmericweir_core.base.store_times import StoreTimes


class Options(Struct, frozen=True):
    """Tunable parameters of the core. Times are in seconds unless a name says otherwise."""

    # --- main loop ---
    # Time between ticks: much shorter than a deadline, long enough to keep processor use low.
    tick_s: float = 0.1

    # --- the platform's store ---
    store: StoreTimes = field(default_factory=StoreTimes)

    # --- servers that fail more requests than others ---
    outlier: OutlierOptions = field(default_factory=OutlierOptions)
    # --- cached beginnings of prompts ---
    cache: CacheOptions = field(default_factory=CacheOptions)

    # --- pace of engines ---
    pace: PaceOptions = field(default_factory=PaceOptions)

    # --- room shared by customers ---
    fair_share: FairShareOptions = field(default_factory=FairShareOptions)

    # --- requests that cannot be in time ---
    late: LateOptions = field(default_factory=LateOptions)

    # --- accounts ---
    # Retention time and maximum number of accounts for `GET /v1/requests/{id}`.
    account_keep_s: float = 600.0
    account_keep: int = 50_000

    # --- queueing and placement ---
    # Requests sent to a server beyond its slots, which keeps its batch full.
    slack_slots: int = 1
    # Share of a plain service's slots that less urgent tiers leave free for the most urgent one.
    reserve_share: float = 0.2
    # Maximum number of waiting requests per class and instance; more are refused.
    queue_limit: int = 2_000
    # Maximum age of a load report; older ones are ignored.
    report_valid_s: float = 3.0
    # Servers of one target that an instance uses. Prevents a full mesh of connections between
    # instances and servers, which counts with 160 instances and 465 servers.
    subset_size: int = 8
    # Minimum number of servers in the subset from other data centres.
    subset_remote: int = 2
    # Time between updates of the set of used servers and of the number of instances that share
    # them.
    subset_look_s: float = 0.5
    # Extra load, as a share of the slots, counted for a server of another data centre.
    remote_penalty: float = 0.1
    # Load relative to the mean above which a cached prefix no longer attracts requests.
    affinity_load_factor: float = 1.25
    # Load, as a share of the slots, up to which affinity applies whatever the mean is.
    affinity_load_floor: float = 0.5
    # Weight of a cache entry that may have been evicted without a notification.
    affinity_unknown_weight: float = 0.5
    # Maximum number of remembered prefixes.
    prefix_keep: int = 20_000
    # Time between probes of a server that this instance does not use at present.
    probe_unused_s: float = 10.0

    # --- engine performance model ---
    # Prefill time for each token, including the decoding steps between chunks, and for each pair of
    # tokens that attend to each other. Based on a 70 B model on eight accelerators; corrected by
    # the observed pace of each server.
    prefill_ms_per_token: float = 0.0229
    prefill_ms_per_pair: float = 3.68e-7
    # Time from the end of the prefill until the first event reaches this instance.
    first_token_ms: float = 30.0
    # Wait at an engine, as a share of the request's target, up to which the request counts as
    # having time to spare.
    spare_wait_share: float = 0.1
    # Wait at an engine, as a share of the request's target, above which the request waits in the
    # local queue, where requests that can still meet their target may overtake it. At the engine
    # all of them would be late, one after the other.
    engine_wait_share: float = 0.4
    # Minimum number of tokens that an engine fetches from another one instead of computing them,
    # and the delay before the first one arrives. A smaller fetch is no faster than prefill.
    fetch_min_tokens: int = 1_024
    fetch_setup_ms: float = 5.0
    # Duration of a decoding step that includes a chunk of a long prompt, as observed beside prompts
    # of 17,000 tokens.
    chunk_step_ms: float = 85.0
    # Tokens of a prompt that an engine processes in one step.
    chunk_tokens: int = 2048
    # Duration of a decoding step without a chunk, with half of the engine's slots in use.
    decode_step_ms: float = 8.0
    # Share of an engine's memory filled with requests above which the engine preempts.
    engine_memory_share: float = 0.9
    # Share of its target within which a request must begin to count as in time; the rest allows for
    # delays that the model does not cover.
    in_time_share: float = 0.7
    # Time penalty for a server that fails all its requests.
    failure_ms: float = 1_500.0
    # Requests sent to a plain server at once, as a multiple of its slots. A short queue there hides
    # the network delay, which is significant for short calls.
    plain_fill: float = 2.0
    # Load of a plain server in the local data centre up to which it is preferred to remote ones.
    plain_near_share: float = 0.6

    # --- credits ---
    # Validity of a grant, from the sending of the demand that it answers. It may be long, as dead
    # peers are detected earlier by missing heartbeats.
    credit_ttl_s: float = 9.0
    # Time between renewals of a credit that is in use: three may be lost before it expires.
    credit_renew_s: float = 3.0
    # Time between updates of the set of live instances.
    credit_live_s: float = 0.3
    # Minimum time between two demands for one server; covers the delay of the first answer.
    credit_demand_gap_s: float = 0.03
    # Minimum time between two full reallocations of one server's credit, per holder. A reallocation
    # visits all holders; this keeps its processor time independent of their number.
    credit_settle_s: float = 0.0002
    # Reallocations between two ticks that are exempt from this gap while there is no shortage.
    credit_settle_burst: int = 4
    # Time between checks of a server's credit while there are no demands.
    credit_look_s: float = 0.5
    # Time without an answer after which the instance falls back to its local counts.
    credit_answer_s: float = 0.3
    # Duration of the fallback before the dispatcher is asked again.
    credit_fallback_s: float = 1.0
    # Share of a server's slots that an instance uses without a grant, at least one slot.
    credit_fallback_share: float = 0.1
    # Time without a message from a holder after which its credit is probably idle, and is recalled
    # if others need it.
    credit_unheard_s: float = 0.25
    # Minimum duration of unmet demand that counts as a shortage; by then reclaimed idle slots have
    # been returned.
    credit_short_s: float = 0.05
    # Time after a shortage during which instances still report every change of their demand.
    credit_contended_s: float = 2.0
    # Maximum number of servers that are asked for credit at first, and the waiting time after which
    # this number doubles, repeatedly.
    credit_ask: int = 4
    credit_widen_s: float = 0.2
    # Time for which an instance that lost credit at two servers uses its servers in the order of
    # its subset again.
    credit_stay_s: float = 30.0
    # Time that a dispatcher has for preempting less urgent work before further dispatchers are
    # asked as well, `credit_ask` times as many. Covers some round trips, the end of the attempt,
    # and a few ticks.
    credit_press_s: float = 0.3
    # Average rate and burst of demands that one instance sends. Keeps control traffic within 6 KB/s
    # however many servers lack slots: a demand and its answer take 160 bytes, and an instance that
    # dispatches for its share of the servers receives as many as it sends.
    credit_demands_s: float = 12.0
    credit_demands_burst: float = 24.0
    # Delay of demands that are not urgent, during a shortage.
    credit_lazy_s: float = 0.5
    # Time between load reports that are forwarded to one instance.
    credit_load_s: float = 1.0
    # Time between renewals of a credit that is idle, but was used since the last renewal.
    credit_renew_idle_s: float = 6.0
    # Maximum number of idle slots that one instance is granted in advance.
    credit_spare: int = 4
    # Averaging window of slot usage, and the difference in usage at which a slot moves to another
    # instance with work of the same tier. Prevents frequent moves, each of which costs four
    # messages.
    credit_use_window_s: float = 60.0
    credit_turn_s: float = 5.0
    # Slot seconds that a tier without slots accumulates before it gets a slot from its assured
    # share, and the debt up to which it keeps the slot for the work that runs there.
    credit_assured_s: float = 2.0
    credit_assured_debt_s: float = 30.0

    # --- admission and preemption ---
    # Share of its target that a request may wait and still count as able to meet it; the rest is
    # for the server's time to the first token.
    on_time_share: float = 0.9
    # Predicted wait, as a share of the time to the deadline, above which a request is refused.
    admit_share: float = 1.0
    # Time that an urgent request waits for a free slot before less urgent work is preempted: a
    # share of its class's target, and an upper bound.
    displace_wait_share: float = 0.25
    displace_wait_max_s: float = 2.0
    # Minimum age of an attempt that can be preempted.
    displace_after_s: float = 0.02
    # Time between passes over the waiting requests that are caused by load updates of peers.
    update_pass_s: float = 0.02
    # Weight of the newest attempt in the pace that predicts the wait.
    pace_weight: float = 0.1
    # Averaging window of arrivals.
    arrival_window_s: float = 5.0
    # Bounds of the Retry-After header of a refusal.
    retry_after_min_s: float = 1.0
    retry_after_max_s: float = 60.0

    # --- predicted answer lengths ---
    # Relative accuracy of the sketches.
    sketch_accuracy: float = 0.05
    sketch_bins: int = 256
    # Maximum number of sketches by class and customer; the least recently used are dropped first.
    sketch_keep: int = 1_000
    # Answers after which the older half of a sketch is dropped, which lets it follow changes.
    sketch_generation: int = 500
    # Minimum number of answers for a sketch to be preferred to the next coarser one.
    sketch_min: int = 10
    # The quantile used as the predicted length of an answer.
    predict_quantile: float = 0.6
    # Predicted length without any data, tokens.
    predict_default: float = 256.0
    # Weight of the newest answer in the measured error.
    predict_error_weight: float = 0.02

    # --- stragglers ---
    # Time between samples of the running attempts.
    straggler_sample_s: float = 0.5
    # Weight of the newest sample of the time between tokens.
    straggler_weight: float = 0.2
    # Minimum number of samples for judging a server, and of servers for a median.
    straggler_samples: int = 4
    straggler_peers: int = 3
    # Time between tokens, as a multiple of the peers' median: above the first a server gets less
    # work, above the second only probes; below the third it counts as recovered.
    straggler_slow: float = 1.6
    straggler_stop: float = 3.0
    straggler_well: float = 1.3
    # Consecutive overdue gaps between tokens after which an answer is moved to another server.
    move_late_gaps: int = 2
    # Time without an overdue token after which a server counts as recovered.
    move_well_s: float = 1.0
    # Time between probes of a stopped straggler with requests of less urgent tiers.
    straggler_probe_s: float = 2.0
    # Additional time before a probe if there are only requests of urgent tiers.
    straggler_probe_upper_s: float = 20.0

    # --- adaptive limits ---
    # Time between adjustments of a server's limit.
    limit_adjust_s: float = 0.5
    # Bounds of the limit as a share of the slots.
    limit_min_share: float = 0.25
    limit_max_share: float = 1.0
    # Latency relative to the long-term latency that still counts as noise.
    limit_tolerance: float = 1.5
    # Weights of the newest sample in the short-term and the long-term latency.
    limit_short_weight: float = 0.3
    limit_long_weight: float = 0.01
    # Decrease (factor) and increase (share of the slots) of an engine's limit in one step.
    limit_backoff: float = 0.9
    limit_growth: float = 0.05

    # --- servers ---
    # Whether servers are asked for their load; disabled if each probe is paid for.
    probe_servers: bool = True
    # Time between load probes of a server.
    probe_s: float = 0.5
    # Time without requests or probes after a failed new connection to a server.
    unreachable_retry_s: float = 1.0

    # Time after the deadline at which an answer that has not begun is cancelled.
    deadline_grace_s: float = 0.5

    # --- stopping ---
    # Time after a stop during which new requests are accepted, because the load balancer reacts
    # with a delay.
    stop_grace_s: float = 2.0
    # Maximum time from the stop request to the end of the process, whatever is in flight.
    stop_limit_s: float = float("inf")
    # Maximum time after a stop for writing outstanding claim records to the log.
    stop_flush_s: float = 5.0

    # --- retries ---
    # Retries allowed as a share of first attempts, and an additional burst.
    retry_share: float = 0.1
    retry_burst: float = 20.0
    # Maximum number of attempts for one request.
    attempts_max: int = 4
    # Maximum number of attempts for one request of which nothing could be sent.
    unsent_attempts_max: int = 8

    # Whether every retry of a sent attempt is charged to the retry budget, whatever ended the
    # attempt.
    retry_pay_all: bool = False
    # Window in which retries are compared with first attempts; 0.0 uses the token bucket above.
    retry_window_s: float = 0.0
    # Share of the window's burst that is used, as servers receive retries some time after they are
    # sent.
    retry_use_share: float = 0.9

    # --- keys ---
    # Maximum age of the proof that keys are valid for serving callers with keys; infinite if the
    # platform requires no proof.
    key_proof_s: float = float("inf")

    # --- membership ---
    # Time between gossip rounds; each sends one datagram to one peer in the local data centre. A
    # heartbeat reaches all of 64 instances after six rounds, and rarely needs nine.
    heartbeat_s: float = 0.2
    # Time without progress after which a peer is excluded from decisions. Above the largest age
    # that a heartbeat reaches with 64 instances and a tenth of the datagrams lost.
    suspect_s: float = 2.2
    # Time after which a peer is removed from the roster. It is long because each change of the
    # roster enlarges datagrams for a while, and a short disconnection should not cause one.
    roster_s: float = 10.0
    # Time after which a peer is no longer selected for gossip, well before it counts as gone. If
    # half of the ring dies at once, datagrams to that half would be missing in the other.
    partner_s: float = 1.4
    # Time after which a peer is forgotten unless the platform lists it, and the same while the list
    # cannot be read. Prevents two partitions from losing each other's addresses in an outage.
    forget_s: float = 60.0
    forget_outage_s: float = 3_600.0
    # A longer gap between ticks counts as a pause of the process.
    pause_s: float = 1.0
    # Time after a pause before the liveness of peers is evaluated again; messages buffered by the
    # sockets are read first.
    trust_delay_s: float = 0.3
    # Time between datagrams to a peer that is known by name only, or is unresponsive.
    candidate_s: float = 1.0
    # Time for which counters are sent with their keys after rosters were found to differ.
    settle_s: float = 2.0
    # Gossip rounds that a stopping instance runs at once to announce that it leaves.
    farewell_rounds: int = 3
    # Maximum number of counters with keys in one datagram, which keeps it below 1200 bytes.
    counters_max: int = 66
    # Time between requests for the records of unknown members, and the maximum number of records
    # per datagram.
    members_ask_s: float = 0.25
    records_max: int = 10

    # --- other data centres ---
    # Gateways per data centre: instances that exchange status messages with other data centres.
    relays: int = 3
    # Time between the status messages of one gateway to another data centre.
    relay_s: float = 1.5
    # Maximum number of status messages of other data centres that one datagram forwards.
    words_max: int = 2
    # Time without a status message after which a data centre counts as unreachable.
    centre_suspect_s: float = 8.0
    # Time between requests for the members of another data centre, which follow each change there.
    roster_ask_s: float = 2.0

    # --- leaving servers ---
    # Retention of a leaving notice after the last instance saw the server leaving. Longer than the
    # delay of any list or report, which prevents an outdated one from undoing the notice.
    mark_keep_s: float = 900.0
    # Maximum number of leaving notices; the newest are retained.
    mark_keep: int = 4_096
    # Time for which datagrams carry a new leaving notice, their maximum number per datagram, and
    # the time between requests for missed ones.
    mark_hot_s: float = 5.0
    mark_hot_max: int = 4
    mark_ask_s: float = 2.0
    # Difference in age at which an instance requests the server list of a peer with a newer one.
    servers_stale_s: float = 15.0
    # Time that a starting instance waits for the platform's list before it asks a peer.
    servers_wait_s: float = 2.0
    # Time between requests for the server list, which is long and may change often.
    servers_ask_s: float = 5.0

    # --- platform ---
    # Duration of one long poll of the settings stream.
    poll_wait_s: float = 5.0
    # Time between reads of the platform's list.
    list_s: float = 2.0
    # Size of the list above which it is read less often in proportion, to bound the read traffic.
    list_entries: int = 12

    # --- claims of idempotency keys ---
    # Retention of a key after it was claimed, by the clock of the stream.
    claim_retention_s: float = 86_400.0
    # Maximum number of live keys, which all instances hold in memory; more are refused.
    claim_live_max: int = 100_000
    # Appends per second of all live instances together, shared evenly, and the burst of each. A
    # third of the platform's limit; with 8 instances each has 15 a second, so that claims of the
    # counter rarely wait.
    claim_appends_s: float = 120.0
    claim_append_burst: float = 10.0
    # Maximum delay of withdrawals and ends, which are written together with the next claim.
    claim_end_delay_s: float = 0.5
    # Pause after a failed append; it doubles with each consecutive failure up to the maximum.
    claim_retry_s: float = 0.1
    claim_retry_max_s: float = 2.0
    # Consecutive failed appends after which the log counts as down; a single one may be a lost
    # acknowledgement.
    claim_down_failures: int = 2
    # Retry-After of callers whose key could not be claimed.
    claim_retry_after_s: float = 2.0
    # Timeout of an append or a read, which is then repeated. Longer than the daemon's own timeout.
    claim_call_s: float = 10.0
    # Time between reads of the stream while this instance has no claims in progress.
    claim_read_s: float = 1.0
    # Time between requests to the holder of a key, and consecutive failures to reach it after which
    # it counts as lost.
    claim_ask_s: float = 1.0
    claim_ask_failures: int = 2
    # Maximum number and total size of stored answers for repeated calls with a key.
    claim_answers_max: int = 10_000
    claim_answer_bytes: int = 16_777_216
    # Maximum size of one stored answer, bytes.
    claim_body_max: int = 65_536
    # Live claims are written again when their record is this far behind the end, or this old. The
    # log must retain 2.5 times the records and three times the time.
    claim_carry_records: int = 4_000
    claim_carry_s: float = 3_600.0
    # Maximum number of claims that one record carries forward.
    claim_carry_max: int = 500
    # Expected number of writers per tick, over all instances, for records that any one may write.
    claim_lot: float = 0.2
    # Maximum number of incarnations whose last append number is remembered.
    claim_writers_max: int = 4_096
    # Retention periods after which an instance that could not read all live claims trusts its
    # state.
    claim_blind_margin: float = 1.1

    # Duration of a single append after which the log counts as down, and callers whose keys need it
    # are refused at once.
    claim_down_s: float = 2.0
    # Maximum number of claims in one record. Prevents each retry after an outage from sending all
    # of them.
    claim_batch_max: int = 200

    # --- claims while the log is unavailable ---
    # Whether all members of a view may agree on claims without the log. All instances need the same
    # value. Off by default, as new keys would need an operator after a loss of all instances at
    # once.
    claim_votes: bool = False
    # Maximum number of instances with a view. Each claim takes two messages per member, and
    # the record of a view grows with their number.
    claim_view_max: int = 32
    # Duration of an append after which a vote is started in parallel. Well below the shortest
    # target of a class, and longer than a normal append.
    claim_vote_after_s: float = 0.05
    # Time after which the votes of members that have not answered are no longer awaited.
    claim_vote_wait_s: float = 1.0
    # Time between requests to a member that has not answered.
    claim_vote_again_s: float = 0.3
    # Time without a change of membership before the first view is created, which lets instances
    # that start together discover each other; and this time while some known instances are not
    # live.
    claim_view_met_s: float = 5.0
    claim_view_first_s: float = 8.0
    # Time between join requests in the log of an instance outside the view.
    claim_join_s: float = 1.0
    # Time between reads of the stream while this instance is not in the view.
    claim_join_read_s: float = 0.2
    # Time without a record after which a member that is not live is removed from the view.
    claim_view_quiet_s: float = 5.0
    # Epoch of a view without any live member, as confirmed by an operator. Set only after all
    # instances were lost at once, as no instance can then replace the view; see the operators'
    # page.
    claim_replace_epoch: int = -1

    # --- leases for orders to servers ---
    # Duration of a lease, counted from before its record was sent. A longer one delays a successor,
    # a shorter one needs more appends. All instances need the same value.
    lease_s: float = 30.0
    # Additional wait of a successor; covers clock drift of a tenth of a lease.
    lease_margin_s: float = 3.0
    # Time between renewals of a lease that is in use: two may fail before it expires.
    lease_renew_s: float = 10.0
    # Time between reads of the stream while waiting for the lease of another instance to expire.
    lease_read_s: float = 2.0
    # Pause after a failed append; it doubles with each consecutive failure up to the maximum.
    lease_retry_s: float = 0.5
    lease_retry_max_s: float = 5.0
    # Timeout of a read or an append, which is then repeated.
    lease_call_s: float = 10.0
    # Maximum number of local records whose time of sending is remembered.
    lease_sent_max: int = 1_000
    # Whether the stream retains the newest record of each scope and supports conditional appends.
    lease_keyed: bool = False

    # --- orders to servers ---
    # Timeout of an order to a server, which is repeated later.
    order_timeout_s: float = 5.0
    # For servers that ignore fencing numbers: the maximum time from the holder's check of its lease
    # to the end of its order. A successor waits this long before its first order.
    order_longest_s: float = 8.0
    # Time between attempts of the same order; it doubles with each consecutive failure up to the
    # maximum.
    order_retry_s: float = 10.0
    order_retry_max_s: float = 300.0
    # Attempts of a load after which another server is preferred.
    order_tries: int = 3

    # --- model placement ---
    # Time between samples of the running and waiting requests for each model.
    model_sample_s: float = 1.0
    # Time between reports of them to the instance that places the models.
    model_demand_s: float = 30.0
    # Time between reports of waiting requests for a model that no server has loaded.
    model_alarm_s: float = 2.0
    # Time between two comparisons of the loaded models with the intended ones.
    model_round_s: float = 5.0
    # Time between probes of a server while there is nothing to order; limits the probe traffic.
    model_probe_s: float = 15.0
    # Averaging window of demand.
    model_demand_window_s: float = 180.0
    # Time for which demand is observed before any change is based on it.
    model_warm_s: float = 300.0
    # Load of the servers with a model, as a share of their slots: above the first, another server
    # loads it; if the load with one server less would be below the second, one unloads it. The
    # distance prevents oscillation.
    model_grow_share: float = 0.8
    model_shrink_share: float = 0.5
    # Slots in use above which a first server loads a model that its data centre does not require.
    model_first_slots: float = 0.1
    # Time without any use of a model after which the last server unloads it, unless its data centre
    # requires one.
    model_last_s: float = 3_600.0
    # Minimum time between changes of the intended number of servers with a model.
    model_change_s: float = 120.0
    # Minimum time between changes on one server, except for a model that no server has.
    model_server_gap_s: float = 60.0
    # Maximum age of the newest report of a server for its models to count.
    model_gone_s: float = 60.0
    # Time for which an instance must be responsible for a service before it places its models.
    model_settle_s: float = 5.0
    # Time without use after which a lease is released.
    model_idle_s: float = 20.0

    # --- settings ---
    # Number of raw records retained for peers that are behind, and the maximum number per message.
    settings_keep: int = 400
    settings_send_max: int = 200
    # Maximum number of records after an expired gap that are buffered while a snapshot is searched.
    settings_ahead_max: int = 5_000
    # Time between comparisons with the offsets of the peers.
    settings_check_s: float = 0.2
    # Time behind a peer after which an instance requests its records; the long poll of the log is
    # usually faster.
    settings_ask_after_s: float = 0.3
    # Time between these requests. Repeats one whose answer was lost with its stream.
    settings_ask_s: float = 0.5
    # Maximum time that a starting instance with settings from the log waits for newer ones of
    # peers.
    settings_wait_s: float = 5.0
    # A log that ends before this instance's offset for this long is reported.
    settings_shorter_s: float = 10.0
    # Number of records, or time, after which a snapshot is written, whichever is first. Both must
    # be well within the retention of the platform.
    snapshot_every: int = 200
    snapshot_every_s: float = 300.0
    # Time before the first snapshot after a start, as the age of the newest one is unknown.
    snapshot_first_s: float = 30.0
    # The instance with the lowest name writes the snapshot; each following one waits this much
    # longer. Lets the others write if that instance cannot reach the log.
    snapshot_step_s: float = 5.0
    # Time between attempts of one instance to write it.
    snapshot_retry_s: float = 10.0
    # Time without a verdict after which an append is repeated with the same id.
    change_retry_s: float = 2.0
    # Time after which a change that has certainly not reached the log is given up.
    change_give_up_s: float = 30.0
    # Maximum number of changes without a verdict on one instance; more are refused.
    change_pending_max: int = 200

    # --- limits of customers and teams ---
    # Validity of a share. It is long because shares move when demand changes, not by expiry, and
    # renewals are most of the messages.
    rate_lease_s: float = 300.0
    rate_renew_s: float = 200.0
    # Time without use after which a share is not renewed.
    rate_idle_s: float = 150.0
    # Windows of the slow and the fast average of demand.
    rate_slow_s: float = 20.0
    rate_fast_s: float = 2.0
    # Standard deviations of random arrivals that do not count as a change.
    rate_sigmas: float = 2.0
    # Change of demand beyond random variation, as a share of it, that is reported to the home.
    rate_change_share: float = 0.25
    # Weight of the newest request in the mean size of a request.
    rate_unit_weight: float = 0.1
    # Burst of a bucket, as time at its rate, and its minimum depth in requests.
    rate_burst_s: float = 1.0
    rate_depth_min: float = 3.0
    # Time between scans of all shares; a share with new requests is checked at each tick.
    rate_scan_s: float = 1.0
    # Time between updates of the set of live instances.
    rate_reach_s: float = 1.0
    # Initial timeout for the answer of a home; it doubles with each retry up to the maximum.
    rate_answer_s: float = 0.5
    rate_answer_max_s: float = 15.0
    # Time between two rebalancings by a home, and how far below its share an instance must be to
    # cause one.
    rate_push_s: float = 0.5
    rate_push_factor: float = 1.4
    # Time that a new home waits for the holders of shares before it grants unused ones.
    rate_learn_s: float = 3.0
    # Time for which the shares of an unreachable data centre are reserved for it.
    rate_hold_s: float = 900.0
    # Maximum number of demands or shares in one datagram.
    rate_batch: int = 12

    # --- quarantine ---
    # Time for which a request that was in flight at a crash is a suspect, and for which one that
    # was in flight at two crashes is refused. The second is limited because a verdict may be wrong.
    suspect_keep_s: float = 300.0
    quarantine_s: float = 600.0
    # Time from the last report on a second crash to the verdict; lets all instances report what
    # they ran.
    verdict_wait_s: float = 0.5
    # Maximum number of remembered crashes, and of suspects of each.
    crashes_keep: int = 64
    crash_suspects_keep: int = 64
    # Time between requests to a random peer for other crashes, and the same until the first answer.
    crashes_ask_s: float = 20.0
    first_crashes_ask_s: float = 0.2
    # Time after the start for which requests wait for that answer, and for a first peer.
    first_crashes_wait_s: float = 1.0
    first_peer_wait_s: float = 0.3
    # Time after the first token at which the isolated run of a suspect ends, if the suspect was in
    # flight at only one crash.
    trial_s: float = 1.0
    # Time without a renewal after which an isolated run counts as ended.
    trial_lease_s: float = 6.0
    # An answer that was streamed for longer than this is not blamed for the crash of its server.
    # Short if such requests crash servers as they start; infinite if this is unknown.
    harmless_s: float = float("inf")
    # Time without an answer to a request for an isolated run after which the suspect runs anyway.
    trial_answer_s: float = 1.0
    # Time from a crash to the first isolated run, in which the reports of the other instances
    # arrive.
    trial_delay_s: float = 0.25
    # Time that a model request whose connection broke waits for the information whether its server
    # restarted, if the server answers. Longer than the delay of load reports.
    crash_doubt_s: float = 1.0
    # How long an answer must have been written until it clears the parts of its prompt, how long
    # it clears them, and the maximum number of parts whose last sound answer is remembered.
    part_sound_s: float = 1.0
    part_sound_keep_s: float = 60.0
    sound_parts_keep: int = 4096
    # Maximum number of parts in the record of a crash.
    crash_parts_keep: int = 256
    # Time between requests of one suspect for an isolated run.
    trial_ask_s: float = 0.1

    # --- unresponsive connections ---
    # An attempt is overdue when it has been unresponsive for this multiple of the longest recent
    # time of its server, and for the minimum for a stream or for an answer that has not begun. The
    # minimums are some ten steps of an engine, and short enough for retries of plain calls.
    overdue_factor: float = 4.0
    stream_overdue_min_s: float = 0.15
    first_overdue_min_s: float = 0.1
    # Decay of the longest time between tokens, as a factor per tick.
    gap_decay: float = 0.98
    # Time between probes of a server with overdue attempts.
    sign_probe_s: float = 0.2
    # Time within which an answer to a probe proves that the server works, also on a busy machine;
    # and the shorter time, which also proves that it was not stalled until just before the answer.
    sign_answer_s: float = 0.1
    sign_at_once_s: float = 0.02
    # A longer time between ticks means that this process itself was stalled.
    sign_tick_max_s: float = 0.2
    # Share of its slots, or of its cache memory, up to which a server certainly does not preempt.
    sign_room_share: float = 0.75
    # Maximum delay of an engine's report.
    report_lag_s: float = 0.6
    # Without such a proof: the pause of a stream, and the time to the beginning of an answer, after
    # which the connection counts as suspected.
    silence_s: float = 2.0
    first_silence_s: float = 2.0
    # If the time to the first token was predicted: the limit is this time plus a multiple of the
    # prediction, which covers nearly all requests at peak load.
    predicted_silence_s: float = 0.5
    predicted_silence_x: float = 3.0
    # Factor on both limits while other requests wait at the server, which may have preempted this
    # one or not started it yet.
    silence_busy_factor: float = 4.0
    # An answer that has not begun is suspected only beyond this multiple of the longest recent
    # wait.
    first_silence_factor: float = 4.0
    # Decay of the longest wait, as a factor per answer.
    first_wait_decay: float = 0.95
    # Share of the time to the deadline after which such an answer is suspected, whatever the server
    # reports.
    first_silence_share: float = 0.5
