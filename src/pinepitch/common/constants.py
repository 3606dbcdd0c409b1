"""Every constant of the project, with its unit and the reason for its value."""

# --- consensus -----------------------------------------------------------------------
TICK = 0.025  # seconds; the finest delay any decider waits for, small beside a heartbeat
HEARTBEAT = 0.1  # seconds; six fit in an election time-out, so a lost one changes nothing
ELECTION_TIMEOUT = 0.6  # seconds; the design has 1 s and leaves it free: leases last only so long
ELECTION_JITTER = 0.7  # times the time-out; a seeded spread that keeps candidates apart
RESTART_JITTER = 0.2  # seconds; keeps candidates apart that waited for one lease together, or split the votes
VOTE_AGAIN = 0.1  # seconds; before votes are asked for again: one may be lost, a voter's wait over by then
CHECK_QUORUM = 0.6  # seconds; a leader that hears no commit quorum this long steps down
DISK_STALL = 1.5  # seconds; a leader whose write takes longer steps down
DISK_AGAIN = 0.5  # seconds; before what a disk refused is written again
DISK_COOL_DOWN = 5.0  # seconds; how long such a replica does not campaign afterwards
HANDOVER_WITHIN = 1.0  # seconds; a stopping leader waits so long for its successor to hold all, many syncs
APPEND_ENTRIES = 256  # entries; most in one append, keeps a frame small and a heartbeat prompt
APPEND_WINDOW = 4  # messages; appends under way to one follower before an answer
APPEND_RESEND = 0.5  # seconds; an unanswered window is sent anew after this, later where it is large
APPEND_BYTES = 262_144  # bytes; most in one append or chunk unless one entry is larger
APPEND_START = 65_536  # bytes; what is tried first on a link that has carried nothing large yet
MIN_APPEND_BYTES = 16_384  # bytes; so much is sent at once on the slowest link: 66 ms at 2 Mbit/s
BULK_BYTES = 24_576  # bytes; appends from here on go one at a time, by a connection of their own
LINK_SLOWEST = 250_000  # bytes a second; 2 Mbit/s: the rate a link is taken to have before it was measured
MAX_LOSSES = 4  # times in a row; that the time-out of a slow link is raised
MIN_PACKED_BYTES = 1_024  # bytes; an operation from here on is held encoded in the log
DENIALS = 20  # answers in a row; a follower that lacks what it acknowledged has lost stored data
COMMIT_ENTRIES = 250  # entries; most applied in one step, some 50 ms of a slow core, well within a heartbeat
COMMIT_BYTES = 262_144  # bytes; the same, as large entries take longer: one configuration or two
# entries; a snapshot is made at each multiple, by all members alike, so that their digests can be compared
SNAPSHOT_ENTRIES = 1000
SNAPSHOT_OVERDUE = 1.25  # times that; the most between two snapshots where one at a multiple was missed
DIGESTS_KEPT = 8  # images; whose digests a member keeps for the others to compare
DIGEST_ASK_EVERY = 1.0  # seconds; between two requests for the leader's digests, as it may still encode
DIGEST_ASKS = 5  # requests; then an image that the leader has none of at the same index is not compared
SNAPSHOT_TAIL = 1000  # entries; kept behind a snapshot for followers a little behind
LAGGARD_TIMES = 10  # times the tail; entries kept at most for a follower that still needs them
SNAPSHOT_CHUNK = 262_144  # bytes; most in one chunk of a snapshot sent to a follower
SNAPSHOT_RATIO = 2  # times; a follower that lacks so many times the image is sent the image instead
MEMORY = 512_000_000  # bytes; that a daemon may take unless the settings say otherwise
DISK = 2_000_000_000  # bytes; that a data folder may take unless the settings say otherwise
MIN_MEGABYTES = 32  # of memory or disk, the least that the settings may name
LOG_PART_OF_MEMORY = 16  # of the memory one part in so many is for entries of the log
LOG_PART_OF_DISK = 8  # of the disk, which holds two snapshot bases beside the entries for a while
IMAGE_PART_OF_MEMORY = 16  # of the memory one part in so many: decoded it takes several times its bytes
IMAGE_PART_OF_DISK = 8  # of the disk, which holds two of them for a while
MIN_IMAGE_BYTES = 4_000_000  # bytes; below it a thousand open jobs would not fit
IMAGE_STEP = 16  # parts of the bound; in a large image's upper half one is made for each of these applied
MIN_LOG_BYTES = 4_000_000  # bytes; below it two of the largest operations would hold back all others
RETIRE_AFTER = 30.0  # seconds; out of session this long beside a live one of its zone
KILL_AGAIN = 0.5  # seconds; before an unconfirmed kill is ordered again
ALERT_EVERY = 1.0  # seconds; between two looks at the alert rules
WATCH_EVERY = 0.1  # seconds; between looks for tasks over their time, moves and deadlines
MAX_CLUSTER_MEMBERS = 9  # replicas; the bound on voters that joining may reach
JOIN_AGAIN = 1.0  # seconds; how often a control daemon outside the cluster asks to be let in
JOIN_SEEK = 0.25  # seconds; how often it asks while no leader sends it the log, as often as it greets
# seconds; from its start a lost voter's successor must vote within this, unless told otherwise
CATCH_UP = 4.0
JOIN_WITHIN = 0.5  # seconds; of that until the leader sends a newcomer the log: two rounds of greetings
CATCH_UP_WITHIN = 0.5  # seconds; of that until it holds the log
CHANGE_WITHIN = 0.25  # seconds; of that for a joint change, unless one took longer: four syncs and answers
# seconds; from SIGTERM a process stays for its voter seat to be handed on, unless told otherwise
LEAVE_WITHIN = 1.2
LEAVE_PART = 0.6  # of the time from SIGTERM to SIGKILL that a process may use of its own accord
VOTER_SEAT_ANSWER = 0.5  # seconds; a stopping voter waits so long for a leader's answer about its voter seat
CAUGHT_UP = 64  # entries; a newcomer this close behind may become a voter
CAUGHT_UP_BYTES = 2_000_000  # bytes; and this close, so that large entries don't hold up what it must confirm

# --- bootstrap and sessions ----------------------------------------------------------
BOOTSTRAP_MEMBERS = 3  # daemons; the fewest that may bootstrap a cluster unless the settings say otherwise
BOOTSTRAP_STABLE_TIME = 1.0  # seconds; the same list must be seen this long before a bootstrap
BOOTSTRAP_VETO_LASTS = 30.0  # seconds; a daemon heard to know a cluster holds a bootstrap back this long
SEEDS = 3  # addresses; what every daemon is given to find the others by
GREET_EVERY = 0.25  # seconds; how often a daemon renews its session
SESSION_LASTS = 1.5  # seconds; without a greeting, after which a session has ended
# seconds; the same for a session relayed by another control daemon, which relays three times in it
RELAYED_SESSION_LASTS = 0.75
ADDRESS_FORGET = 600.0  # seconds; an address that no daemon confirmed is dropped after this
UPDATES_DEFERRAL = 0.5  # seconds; a request for updates is answered after this even if there are none
STALE_AFTER = 2.0  # seconds; a front daemon without updates this long says that it is stale

# --- cluster time --------------------------------------------------------------------
SLEW = 0.02  # seconds per second; most that cluster time is bent towards the median
TIME_BEHIND = 1.0  # seconds; a cluster time this far behind the agreed one came from wrong clocks
CLOCK_FRESH = 2.0  # seconds; a clock reading older than this has no say in the median

# --- placing and orders --------------------------------------------------------------
PLACE_EVERY = 0.01  # seconds; between two placing rounds, many tasks to an entry
PLACE_IDLE = 0.1  # seconds; a round for what only time brings: not-before, retries, workers
MAX_PLACED_TASKS = 200  # tasks; in one placing entry
# seconds; a start unit that found no capacity this long has some reserved for it
CAPACITY_RESERVE_AFTER = 5.0
# seconds; work without a deadline, or with a later one, is ranked as due this long after acceptance
DEFAULT_DUE = 3600.0
SEND_WITHIN = 1.5  # seconds; after commit an order may be sent this long, then never
ORDER_TIMEOUT = 1.5  # seconds; an order unanswered this long has an unknown outcome
SEND_MARGIN = ORDER_TIMEOUT + 1.0  # seconds; an order's bytes may arrive this long past send-by
ASKED_KEPT = 50  # requests for updates; whose sending time is kept for late answers
TAKEN_KEPT = 10_000  # orders; remembered before old ones are looked through
TAKEN_LASTS = 60.0  # seconds; past its send-by time an order can't come again
RETRY_WAIT = 0.5  # seconds; before a failed task is placed again
MAX_RETRY_WAIT = 30.0  # seconds; the bound of the doubling wait of failing feeds
REPORT_EVERY = 0.5  # seconds; what workers are asked to keep to
PUSH_WORKER_TIMEOUT = 2.0  # seconds; without a report this long a worker gets no work
PUSH_WORKER_FORGET_AFTER = 3600.0  # seconds; an unresponsive worker with nothing reserved is dropped
REPORT_GATHERING = 1.5  # seconds; a new leader waits this long for reports before it places
LIVENESS_HALF = 8  # outcomes; half life of the failure rate of a worker
LIVENESS_POOR = 0.6  # rate; above it a worker is on trial: one task at a time
TRIAL_EVERY = 10.0  # seconds; between two trials of a worker that fails its tasks
MAX_PREEMPTING_TASKS = 20  # tasks; of one shape that preempt others in one round
PREEMPT_WAIT = 0.5  # seconds; urgent work waits this long for capacity before it preempts others

# --- bounds of what callers may send -------------------------------------------------
MAX_BODY_BYTES = 2_000_000  # bytes; a job of the largest allowed size fits twice
MAX_DEPTH = 32  # levels; of a JSON body, far below what any of our readers can nest
MAX_NUMBER = 2**53  # the largest whole number that every JSON reader keeps exact
MAX_HEAD_BYTES = 16_384  # bytes; request line and headers
MAX_CONNECTIONS = 2_000  # sockets; per front daemon
MAX_ANSWER_BYTES = 64_000_000  # bytes; of an answer read, far above the largest page of a listing
# seconds; from a request's first byte to its last, so that slow senders hold nothing
MAX_REQUEST_SECONDS = 20.0
LINGER = 1.0  # seconds; a refused caller's connection is read this long, so that it gets its answer
MAX_CONNECTION_IDLE = 30.0  # seconds; a connection without a request is closed
MAX_TASKS = 5_000  # tasks; in one pushed job
MAX_NAME_LENGTH = 128  # characters; of names, keys and labels
MAX_URGENCY = 9  # the highest urgency; 0 is the lowest
ATTEMPTS_EXPLAINED = 4  # attempts; the newest of a task that are kept to be explained
MAX_ATTEMPTS = 100  # attempts; more is a mistake
MAX_UNITS = 1_000_000  # units; of capacity one task may ask for
MAX_PENDING_TASKS = 20_000  # tasks; default bound of a queue's pending tasks
# of a queue's pending bound one part in so many is kept for jobs that no known worker could take
UNPLACEABLE_PART = 10
MAX_PUSHED_JOBS = 200_000  # pushed jobs; in the whole cluster state, beyond it new ones are rejected
FINISHED_LIVE = 1_000  # pushed jobs; the newest finished ones are kept open, as they are asked for most
SEGMENT_JOBS = 256  # pushed jobs; in one segment of the archive: sealing one takes some milliseconds
SEGMENT_CHUNK = 16  # pushed jobs; compressed together in a segment: what a read opens
CHUNKS_OPEN = 32  # chunks; kept open after a read
SEGMENT_PRESS = 3  # level of zlib; higher ones gain a tenth for twice the time
FINISHED_KEPT = 20_000  # pushed jobs; finished ones stay readable at least this many deep
KEYS_KEPT = 86_400.0  # seconds; an idempotency key is honoured at least this long
MARKS_KEPT = 1_000  # changes; whose outcome is kept for a front daemon that asks again
# queue configurations; of so many one at least is kept in full, which bounds the work of reading one
QUEUE_CONFIGURATION_FULL_EVERY = 256
QUEUE_CONFIGURATION_SMALL = 4_096  # bytes; patches below this in sum are not worth a full copy
MAX_QUEUE_CONFIGURATION_BYTES = 1_000_000  # bytes; a queue configuration written as JSON
MAX_QUEUES = 2_000  # queues; in one configuration
MAX_PAGE_ROWS = 500  # rows; of one listing
FORWARD_TIMEOUT = 2.5  # seconds; a front daemon seeks an answer from the leader this long
FORWARD_RETRY = 0.25  # seconds; before a forwarded request is sent again (requests are idempotent)
PAUSED_RETRY_AFTER = 10  # seconds; Retry-After when an alert pauses approvals
RETRY_AFTER = 1  # seconds; Retry-After when a queue is full or no leader is known
LINK_QUEUE = 4_096  # frames; waiting for one destination, beyond it the oldest are dropped
LINK_PART = 64  # of the memory one part in so many may wait for one destination
MIN_LINK_BYTES = 2_000_000  # bytes; waiting for one destination, whatever memory there is
LINK_SLICE = 16_384  # bytes; handed to a socket at once: each must be taken within ELECTION_TIMEOUT
LINK_BUFFER = 65_536  # bytes; that the system holds for a connection of large frames
LINK_BULK = 32_768  # bytes; frames from here on go by a connection of their own
LINK_BACKOFF = 0.1  # seconds; between two attempts to connect
MAX_FRAME_BYTES = 16_000_000  # bytes; of one frame between our processes
STOP_WITHIN = 2.0  # seconds; from SIGTERM to exit
STOP_PART = 0.6  # of that time, in which answers and writes under way are waited for
SETTINGS_EVERY = 1.0  # seconds; between two looks whether the settings changed

# --- rehearsal -----------------------------------------------------------------------
SAMPLE_BLOCK = 10.0  # seconds; traffic is kept and drawn in blocks this long, so that a burst stays one
SAMPLE_JOBS = 200  # pushed jobs; a block that gets more ends there
SAMPLE_NEWEST = 24  # blocks; the newest are all kept
SAMPLE_WINDOW = 86_400.0  # seconds; a day, so that every wave of it is in the sample
SAMPLE_STRATUM = 3_600.0  # seconds; of older blocks so many are kept from each hour
SAMPLE_EACH = 2  # blocks; from each older stratum: at most 72 blocks of 200 jobs in all
MIN_TRAFFIC_JOBS = 30  # pushed jobs; below it a rehearsal says "not measured"
TRAFFIC_BLOCKS = 2  # blocks; below it nothing tells chance from traffic
REPLAY_LASTS = 60.0  # seconds; of traffic in one replay, long enough for a backlog to build
REPLAY_JOBS = 400  # pushed jobs; in one replay, some seconds of work
REPLAY_SLICE = 20  # events; between two pauses of a rehearsal, so that heartbeats get the interpreter
MAX_REST = 0.02  # seconds; a rehearsal rests after each slice as long as the slice took, and at most this
REHEARSAL_PAIRS = 8  # replays of each queue table; 7 of 8 agreeing is chance in 1 of 28
REHEARSAL_AGREE = 7  # pairs; that must point the same way
MIN_REHEARSAL_DIFFERENCE = 0.01  # part of the cost; a smaller difference counts as none
REHEARSAL_LONGEST = 120.0  # seconds; of virtual time after the last arrival
MAX_DRAFTS = 100  # drafts; older ones are dropped

# --- metrics -------------------------------------------------------------------------
BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    15.0,
    60.0,
)  # seconds; syncs to long waits

# --- versions ------------------------------------------------------------------------
# Of frames; another one is refused. 2: greetings tell the level, chunks what is stored. 3: leased jobs.
# 4: requests bear their attempt and their end, answers their request's key; leadership transfer.
WIRE_VERSION = 4
# Of files on disk; another one is left alone. 2: bases name segments. 3: images hold leased jobs.
# 4: images hold the newest orders for zones and the change watermarks that were forgotten.
FILE_VERSION = 4
# Of operations; a cluster proposes only what the lowest level reported by a member knows. 3: evacuation.
# 4: jobs of tenants, configurations whose tenants are checked.
RECORD_LEVEL = 4

# --- jobs under leases ---------------------------------------------------------------
MAX_SPEC_LENGTH = 4_000  # characters; of the specification a job hands to its tasks
MAX_STEPS = 64  # steps; of one job
MAX_STEP_TASKS = 5_000  # tasks; of one step
MAX_TIMES = 1_000  # times; one job may fall due
MAX_JOB_TASKS = 10_000  # tasks; of one job over all its times
MAX_LEASED_JOBS = 20_000  # jobs; not yet final, beyond it new ones are refused
FINAL_LASTS = 240.0  # seconds; the state of a final job stays readable, twice what callers are promised
MAX_FINAL_JOBS = 60_000  # jobs; final ones kept readable at most
FINAL_SWEEP = 20  # jobs; looked at for dropping whenever one becomes final
MAX_PREFIX_LENGTH = 512  # characters; of a route's prefix
MAX_KEY_LENGTH = 512  # characters; of a tenant's key
# Raised only with a new level: a full list tells that older versions were forgotten.
CONFIGURATIONS_KEPT = 1_000  # versions; whose call is remembered, so that sent again it is answered alike
# zones; evacuated at once, and of others as many whose newest order is remembered
MAX_EVACUATED_ZONES = 1_000
LEASE_DURATION = 4.0  # seconds; a lease lasts this long beyond a heartbeat, unless the settings allow less
CLOCK_DRIFT = 0.025  # seconds per second; a worker's clock may run slower by 2 %
LAPSE_MARGIN = 0.1  # seconds; added to a lease before what ran under it counts as ended
HEARTBEAT_INTERVAL = 0.1  # seconds; before a worker with capacity sends its next heartbeat
# seconds; of that interval for each worker, so that a leader has some 1,250 heartbeats a second at most
HEARTBEAT_INTERVAL_PER_WORKER = 0.0008
# seconds; an idle worker's heartbeat stays open so long, well within the second it waits
IDLE_HEARTBEAT_DEFERRAL = 0.5
# seconds; the same for one without capacity, as the end of a task makes it send one at once
HEARTBEAT_INTERVAL_FULL = 0.5
HEARTBEAT_STALE = 0.9  # seconds; a heartbeat older than this proves nothing and gets no starts
WORKER_TIMEOUT = 1.2  # seconds; an unresponsive worker gets no new work after this
# seconds; a heartbeat is answered at the latest after this, while what it reported is agreed on
HEARTBEAT_DEFERRAL = 0.06
LEADER_HEARTBEATS_KEPT = 64  # heartbeats; whose sending time a leader keeps, some ten seconds of them
# seconds; a leader whose commit quorum answered within this may give starts: below ELECTION_TIMEOUT
LEADER_LEASE = 0.4
# times; a lease measured by a slow clock, seen by a fast one
LEASE_STRETCH = (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
WORKER_FORGET_AFTER = 30.0  # seconds; an unresponsive worker with nothing placed is dropped
MAX_ASSIGNED_TASKS = 200  # tasks; in one assigning entry
# seconds; the log index of an operator's order is asked for while its caller, who waits 1 s, listens
CONFIRM_WITHIN = 0.75
# seconds; a daemon that was stopped for longer subtracts that time, four ticks in which all is read
CONFIRM_PAUSE = 0.1
CALL_PATIENCE = 2.5  # seconds; a request without a time of its own is forwarded this long
LEAVE_MARGIN = 0.5  # seconds; after a worker said that it ends, before what it ran counts as ended
AVOID_AFTER_REFUSAL = 0.5  # seconds; a worker that refused a start gets no other this long
SPEED_WEIGHT = 0.2  # of one run in the estimate of a worker's speed
MAX_SPEED_RATIO = 8.0  # times; as slow or fast as a worker is ever taken to be
SPEED_STEPS = 4  # steps; from usual to twice as slow, within which workers count as alike
NEAR_PART = 0.7  # of a rack's capacity that work near its data can count on, beside all else there
MAX_NEAR_WAIT = 2.0  # seconds; that a task waits for capacity near its data, less than MAX_IDLE_WAIT
LENGTHS_KEPT = 1_000  # batches and runs; of jobs that are over, known before they are dropped
LENGTH_WEIGHT = 0.1  # of one run in the estimate of a queue's durations
MIN_PROGRESS = 5  # per cent; progress below this says nothing about a run's duration
PROGRESS_AFTER = 0.5  # seconds; nor does that of a younger run
STALLED = 2.0  # seconds; a run whose progress stands still this long is stopped
STALLED_STEPS = 3  # per cents; that a run may be behind beyond that, as long ones take seconds for each
AVOID_AFTER_STALL = 6.0  # seconds; a worker whose runs stood still gets no new work this long
# per cent; reported in whole ones: from here on a member of a gang may wait for the others
GANG_FINISHED = 99
SLOW = 4.0  # times; a worker whose runs take so much longer than their like is slow
SLOW_WEIGHT = 0.5  # of such a ratio in the estimate of a worker's speed
SLOW_ALONE = 8.0  # times; the same where one run alone says so
SLOW_LIKE = 2  # runs; of the same batch on other workers at least, to tell a slow worker from a long run
SLOW_GAIN = 1.5  # times; what is left of a slow run must be longer than a new one by this
SLOW_COST = 0.5  # seconds; and by this
RACK_WAIT = 1.0  # seconds; a gang waits at most this long for one rack with capacity for all of it
# seconds; a daemon that did not run this long: callers turn to another after a second without an answer
STALL = 0.9
# seconds; after a stall, in which requests that waited in sockets are still being read
STALL_AFTERMATH = 0.25
LEADERLESS_SHARE = 0.55  # of its time, that a request which may have been executed waits in a long outage
OUTAGE_SHORT = 2.2  # seconds without updates from a leader; what lasts longer is no restart of processes
LEADERLESS_SEEK = 0.2  # seconds; in a long outage, enough to ask one or two control daemons who leads
FORWARD_RETRY_UNTAKEN = 0.1  # seconds; before a request that nobody took is sent to whoever leads by then
HEARTBEAT_BATCH_DELAY = 0.005  # seconds; what heartbeats report is gathered this long into one entry
HINT_EVERY = 10.0  # seconds; between two hints to a worker where the leader is
PEER_TIMEOUT_MS = 1_500  # milliseconds; a peer that acknowledges no byte this long is given up
FAR = 2.0  # times; as long that a task takes away from its data, unless the settings say otherwise
RESERVE_AFTER = 0.4  # seconds; a batch that found no capacity this long has some reserved for it
MAX_RESERVED_BATCHES = 3  # batches; of one service that capacity is reserved for at once
RESERVE_PART = 0.5  # of a service's slots that may be reserved at most
RESERVE_LASTS = 2.0  # seconds; that slots are reserved for a batch without a break while most capacity idles
RESERVE_BUSY = 0.5  # of a service's capacity in use: from here on slots are reserved for as long as it takes
PEAK_HALF = 10.0  # seconds; half life of the remembered peak of capacity that urgent work took
BUDGET_PART = 0.5  # of a service's capacity that work of any urgency may take
# of the time that work can wait for capacity and still be done in time: longer work is kept from its slots
WAIT_PART = 0.5
# of a service's capacity that work of each urgency gets once it has waited as long as it well can
MIN_GUARANTEED_SHARE = 0.2
TENANT_BURST = 1.0  # seconds; that jobs may come before their tenant's weight has them due, unless told
MAX_IDLE_WAIT = 3.0  # seconds; that a job with nothing placed may wait beside ample idle capacity
IDLE_LOOK_EVERY = 0.5  # seconds; between looks for such jobs
WIDE_PART = 0.25  # of a service's capacity; a step wider than that is expected to take several turns
HOT_STEPS = 2  # steps; between racks much wanted for their data and others, for work that wants none
YIELD_WASTE = 30.0  # core-seconds; of unsaved work that may be thrown away to free capacity for one batch
YIELD_RUNS = 2  # runs; a task that was run more often is not preempted again unless it saves its progress
GPU_CORES = 8  # cores; that an accelerator counts as
ROUND_REST = 25e-6  # seconds; rest between rounds for each worker and waiting batch, four times its cost
