"""Every constant of the project, with its unit and the reason for its value."""

# --- consensus -----------------------------------------------------------------------
TICK = 0.025  # seconds; the shortest delay a decider waits for, small compared with a heartbeat
HEARTBEAT = 0.1  # seconds; six fit in an election timeout, so a single lost one has no effect
# seconds; shorter than the 1 s of the design, which leaves it open, because leases last a limited time
ELECTION_TIMEOUT = 0.6
# fraction of the election timeout; the largest random delay, which keeps candidates apart (seeded)
ELECTION_JITTER = 0.7
# seconds; largest random delay between candidates that waited for the same lease, to avoid split votes
RESTART_JITTER = 0.2
# seconds; delay before votes are requested again: a request may be lost, or a voter's wait be over by then
VOTE_AGAIN = 0.1
CHECK_QUORUM = 0.6  # seconds; a leader that receives nothing from a commit quorum for this long steps down
DISK_STALL = 1.5  # seconds; a leader whose disk write takes longer than this steps down
DISK_AGAIN = 0.5  # seconds; delay before a write that the disk refused is retried
DISK_COOL_DOWN = 5.0  # seconds; a replica whose disk stalled does not campaign for this long afterwards
# seconds; a stopping leader waits at most this long until its successor has all entries; covers many syncs
HANDOVER_WITHIN = 1.0
APPEND_ENTRIES = 256  # entries; most in one append, which keeps frames small and heartbeats prompt
APPEND_WINDOW = 4  # messages; most unanswered appends in flight to one follower
APPEND_RESEND = 0.5  # seconds; an unanswered window is resent after this, and later if the window is large
APPEND_BYTES = 262_144  # bytes; most in one append or chunk, unless a single entry is larger
APPEND_START = 65_536  # bytes; first size tried on a link that has not carried anything large yet
MIN_APPEND_BYTES = 16_384  # bytes; sent at once even on the slowest link, where it takes 66 ms at 2 Mbit/s
BULK_BYTES = 24_576  # bytes; appends of at least this size are sent one at a time over a separate connection
# bytes per second; 2 Mbit/s, the rate assumed for a link that has not been measured yet
LINK_SLOWEST = 250_000
MAX_LOSSES = 4  # consecutive losses; the timeout of a slow link is raised at most this many times
MIN_PACKED_BYTES = 1_024  # bytes; an operation of at least this size is stored encoded in the log
# consecutive answers; a follower that denies an entry it acknowledged this often has lost stored data
DENIALS = 20
COMMIT_ENTRIES = 250  # entries; most applied in one step: about 50 ms on a slow core, well within a heartbeat
# bytes; most applied in one step, because large entries take longer: one or two configurations
COMMIT_BYTES = 262_144
# entries; all members make a snapshot at each multiple of this index, so that digests can be compared
SNAPSHOT_ENTRIES = 1000
# times SNAPSHOT_ENTRIES; the most entries between two snapshots if one at a multiple was missed
SNAPSHOT_OVERDUE = 1.25
DIGESTS_KEPT = 8  # images; a member retains the digests of this many for the others to compare
# seconds; between two requests for the leader's digests, because it may still be encoding
DIGEST_ASK_EVERY = 1.0
# requests; after this many, an image is not compared if the leader has none at the same index
DIGEST_ASKS = 5
SNAPSHOT_TAIL = 1000  # entries; retained before a snapshot's index for followers that lag slightly
LAGGARD_TIMES = 10  # times SNAPSHOT_TAIL; the most entries retained for a follower that still needs them
SNAPSHOT_CHUNK = 262_144  # bytes; most in one chunk of a snapshot sent to a follower
# times the image size; a follower that lacks more bytes of entries than this is sent the image
SNAPSHOT_RATIO = 2
MEMORY = 512_000_000  # bytes; memory that a daemon may use unless the settings say otherwise
DISK = 2_000_000_000  # bytes; disk space that a data folder may use unless the settings say otherwise
MIN_MEGABYTES = 32  # megabytes; the smallest memory or disk limit that the settings accept
LOG_PART_OF_MEMORY = 16  # divisor; log entries may use this fraction (1/16) of the memory
# divisor; log entries may use this fraction (1/8) of the disk, which for a while also stores two bases
LOG_PART_OF_DISK = 8
# divisor; an image may use this fraction (1/16) of the memory: decoded, it is several times larger
IMAGE_PART_OF_MEMORY = 16
# divisor; an image may use this fraction (1/8) of the disk, which for a while stores two of them
IMAGE_PART_OF_DISK = 8
# fraction of the memory that leased jobs may take; as much again is needed while a stored state is decoded
STATE_PART_OF_MEMORY = 0.4
MIN_STATE_BYTES = 16_000_000  # bytes; with a smaller limit, the largest job would not fit
SMALL_JOB_BYTES = 100_000  # bytes; jobs that cost more may together take only LARGE_PART of that memory
# fraction of the memory that placed runs may take beside jobs that take all that they may
RUNS_PART_OF_MEMORY = 0.1
MIN_IMAGE_BYTES = 4_000_000  # bytes; with a smaller limit, a thousand open jobs would not fit
# divisor; above half the image limit, a snapshot is made for each 1/16 of the limit that is applied
IMAGE_STEP = 16
MIN_LOG_BYTES = 4_000_000  # bytes; with a smaller limit, two of the largest operations would block all others
# seconds; a member without a session for this long is removed if its zone has another live one
RETIRE_AFTER = 30.0
KILL_AGAIN = 0.5  # seconds; delay before an unconfirmed kill is ordered again
ALERT_EVERY = 1.0  # seconds; interval between two evaluations of the alert rules
WATCH_EVERY = 0.1  # seconds; interval between checks for tasks over their time limit, moves and deadlines
MAX_CLUSTER_MEMBERS = 9  # replicas; the most voters that a cluster may reach as daemons join
JOIN_AGAIN = 1.0  # seconds; interval at which a control daemon outside the cluster requests admission
JOIN_SEEK = 0.25  # seconds; the same interval while no leader sends it the log, equal to that of handshakes
# seconds; the successor of a lost voter must vote within this from its start, unless set otherwise
CATCH_UP = 4.0
# seconds; part of CATCH_UP until the leader sends a new member the log: two rounds of handshakes
JOIN_WITHIN = 0.5
CATCH_UP_WITHIN = 0.5  # seconds; part of CATCH_UP until the new member has the log
# seconds; part of CATCH_UP for a joint change, unless one took longer: four syncs and answers
CHANGE_WITHIN = 0.25
# seconds; a process stays this long after SIGTERM to hand over its voter membership, unless set otherwise
LEAVE_WITHIN = 1.2
LEAVE_PART = 0.6  # fraction of the time from SIGTERM to SIGKILL that a process may use on its own initiative
# seconds; a stopping voter waits this long for the leader's answer about its voter membership
VOTER_SEAT_ANSWER = 0.5
CAUGHT_UP = 64  # entries; a new member that lags by no more than this may become a voter
# bytes; the same limit in bytes, so that large entries don't delay what the new voter must confirm
CAUGHT_UP_BYTES = 2_000_000

# --- bootstrap and sessions ----------------------------------------------------------
BOOTSTRAP_MEMBERS = 3  # daemons; the fewest that may bootstrap a cluster unless the settings say otherwise
BOOTSTRAP_STABLE_TIME = 1.0  # seconds; the list of daemons must stay the same this long before a bootstrap
# seconds; a daemon that reported an existing cluster blocks a bootstrap for this long
BOOTSTRAP_VETO_LASTS = 30.0
# seconds; interval at which a daemon that may not found a cluster logs that it hears of none
NO_CLUSTER_REPORT_EVERY = 5.0
SEEDS = 3  # addresses; every daemon is configured with this many to find the others
GREET_EVERY = 0.25  # seconds; interval at which a daemon renews its session by a handshake
SESSION_LASTS = 1.5  # seconds; a session ends after this long without a handshake
# seconds; the same for a session relayed by another control daemon, which relays three times within it
RELAYED_SESSION_LASTS = 0.75
ADDRESS_FORGET = 600.0  # seconds; an address that no daemon has confirmed for this long is dropped
UPDATES_DEFERRAL = 0.5  # seconds; a request for updates is answered after this even if there are none
STALE_AFTER = 2.0  # seconds; a front daemon without updates for this long reports that it is stale

# --- cluster time --------------------------------------------------------------------
SLEW = 0.02  # seconds per second; the fastest rate at which cluster time is adjusted towards the median
TIME_BEHIND = 1.0  # seconds; cluster time that lags the agreed time by this much came from wrong clocks
CLOCK_FRESH = 2.0  # seconds; a clock reading older than this is left out of the median

# --- placing and orders --------------------------------------------------------------
PLACE_EVERY = 0.01  # seconds; interval between two placing rounds, so that many tasks share one entry
PLACE_IDLE = 0.1  # seconds; interval of rounds for what only time changes: not-before times, retries, workers
MAX_PLACED_TASKS = 200  # tasks; most in one placing entry
CAPACITY_RESERVE_AFTER = 5.0  # seconds; capacity is reserved for a start unit that found none for this long
# seconds; work with no deadline or a later one is ranked as due this long after acceptance
DEFAULT_DUE = 3600.0
SEND_WITHIN = 1.5  # seconds; an order may be sent until this long after its commit, and never later
ORDER_TIMEOUT = 1.5  # seconds; an order without an answer for this long has an unknown outcome
# seconds; the bytes of an order may arrive this long after its send-by time
SEND_MARGIN = ORDER_TIMEOUT + 1.0
ASKED_KEPT = 50  # requests for updates; the sending times of this many are retained for late answers
TAKEN_KEPT = 10_000  # orders; this many are remembered before old ones are searched for and dropped
TAKEN_LASTS = 60.0  # seconds; an order can't arrive again this long after its send-by time
RETRY_WAIT = 0.5  # seconds; delay before a failed task is placed again
MAX_RETRY_WAIT = 30.0  # seconds; upper bound of the doubling delay of failing feeds
REPORT_EVERY = 0.5  # seconds; the report interval requested from workers
PUSH_WORKER_TIMEOUT = 2.0  # seconds; a worker without a report for this long gets no work
# seconds; an unresponsive worker with nothing reserved is dropped after this
PUSH_WORKER_FORGET_AFTER = 3600.0
REPORT_GATHERING = 1.5  # seconds; a new leader waits this long for reports before it places tasks
LIVENESS_HALF = 8  # outcomes; half-life of a worker's failure rate
LIVENESS_POOR = 0.6  # failure rate; above it a worker is distrusted and gets one task at a time
FAILURE_HALF_LIFE = 10.0  # seconds; in which failures come to weigh half, as a worker may have recovered
OUTCOMES_KEPT = 32  # outcomes; the newest of a worker, from which its failure rate is computed anew
# failures; of the same work on one worker that count against it while the work has succeeded nowhere
UNPROVEN_FAILURES = 3
FAILED_WORK_KEPT = 1_000  # steps of jobs; the newest ones that have failed are remembered
TRIAL_EVERY = 10.0  # seconds; interval between two trials of a worker that fails its tasks
MAX_PREEMPTING_TASKS = 20  # tasks; most of one shape that preempt others in one round
PREEMPT_WAIT = 0.5  # seconds; urgent work waits this long for capacity before it preempts other tasks

# --- limits on input from callers ----------------------------------------------------
MAX_BODY_BYTES = 2_000_000  # bytes; twice the size of the largest allowed job
MAX_DEPTH = 32  # levels; nesting of a JSON body, far below the limit of any of our parsers
MAX_NUMBER = 2**53  # the largest integer that every JSON parser represents exactly
MAX_HEAD_BYTES = 16_384  # bytes; request line and headers together
MAX_CONNECTIONS = 2_000  # sockets; most that callers have open, whatever the settings allow
DESCRIPTORS = 4_096  # descriptors; what a daemon may open unless the settings say otherwise
MIN_DESCRIPTORS = 256  # descriptors; the smallest limit that the settings accept
FILE_DESCRIPTORS = 200  # descriptors; kept for what is neither a socket nor a data file
# fraction of the other descriptors; for callers' connections, the rest for our own connections and data files
CALLER_PART_OF_DESCRIPTORS = 0.75
# fraction of the other descriptors; for callers' connections that are being closed to make room
CLOSING_PART_OF_DESCRIPTORS = 0.1
CALLER_PART_OF_MEMORY = 4  # divisor; what callers have sent and wait for may use this fraction of the memory
CONNECTION_PART_OF_MEMORY = 4  # divisor; open connections may use this fraction (1/4) of the memory
IDLE_CONNECTION_BYTES = 16_384  # bytes; of a connection's task, parser and socket
RECEIVE_BUFFER = 16_384  # bytes; requested of the kernel for what a caller sent and nobody has read yet
# times RECEIVE_BUFFER; the most unread bytes that the kernel takes, as it rounds up
RECEIVE_BUFFER_TIMES = 1.5
# bytes; requested of the kernel for answers that a caller has not taken yet; with less than a segment of the
# loopback device (64 KiB) large answers would wait for delayed acknowledgements
SEND_BUFFER = 65_536
# bytes; what needs no more may use all of the callers' memory, anything larger only LARGE_PART of it
SMALL_REQUEST_BYTES = 65_536
LARGE_PART = 0.75  # fraction of the callers' memory
# fraction of the callers' memory; a request that alone needs more is refused for good
REQUEST_PART = 0.5
# divisor; while less than this fraction (1/4) of the callers' memory is held, the values of small bodies are
# not counted but estimated
PLENTY_PART = 4
# bytes; memory for each value or member of a JSON or CBOR body, decoded, checked and translated
DECODED_VALUE_BYTES = 128
WIDE_CHARACTER_BYTES = 4  # bytes; of each character of a decoded text that isn't ASCII
# values; decoding a body of more takes so long that such bodies take turns
MANY_VALUES = 20_000
TURN_WITHIN = 1.0  # seconds; a request that can't have its turn by then is refused
# seconds; of processor time, of a read; reads that take longer take turns
COSTLY_READ = 0.002
PRESUMED_READ = 0.005  # seconds; of processor time, of a read that is costly as far as is known
MAX_COSTLY_READS = 64  # kinds of reads; most that are known to take long
# seconds; after which a loop that decides requests lets other tasks have their turn
LOOP_TURN = 0.05
# seconds; a message of the cluster that has waited for so long goes before callers' requests; a small part of
# the time after which followers elect another leader
CLUSTER_WAIT = 0.2
VALUE_SECONDS = 1e-6  # seconds; decoding and checking one value of a body
SMALL_PART_BYTES = 1_024  # bytes; a smaller part of a body costs more to parse than to receive
PARTS_IN_A_ROW = 64  # small parts of a body, parsed before other connections have their turn
PART_SECONDS = 40e-6  # seconds; parsing one part of a body
REQUEST_BYTES = 4_096  # bytes; of a request that waits, beside its body
ANSWER_STALLED = 5.0  # seconds; a caller that takes nothing of its answer for this long is cut off
ANSWER_SLICE = 65_536  # bytes; of an answer that are passed to a socket at once
LISTEN_BACKLOG = 100  # connections; most that wait to be accepted on one port
CLOSING_WAIT = 0.01  # seconds; delay before a port with too many closing connections looks again
ACCEPT_AGAIN = 0.1  # seconds; delay before connections are accepted again after the system refused one
CALLERS_WATCH_EVERY = 0.5  # seconds; interval at which a daemon looks for callers that take nothing
# containers; made and not freed since the search for reference cycles that comes before the next one
OBJECTS_BETWEEN_COLLECTIONS = 10_000
CALLERS_REPORT_EVERY = 10.0  # seconds; interval at which a daemon logs that it turned callers away
LARGE_FRAME_BYTES = 262_144  # bytes; the values in a larger frame are counted before it is decoded
MAX_ANSWER_BYTES = 64_000_000  # bytes; most read of an answer, far above the largest page of a listing
# seconds; from a request's first byte to its last, so that slow senders occupy nothing
MAX_REQUEST_SECONDS = 20.0
# seconds; the connection of a refused caller is still read for this long, so that the answer reaches it
LINGER = 1.0
MAX_CONNECTION_IDLE = 30.0  # seconds; a connection without a request for this long is closed
MAX_TASKS = 5_000  # tasks; most in one pushed job
MAX_ITEM_FAULTS = 32  # items; most that are named as faulty of one list
MAX_NAME_LENGTH = 128  # characters; longest name, key or label
MAX_URGENCY = 9  # the highest urgency; 0 is the lowest
ATTEMPTS_EXPLAINED = 4  # attempts; the newest of a task that are retained for `explain`
MAX_ATTEMPTS = 100  # attempts; a larger number is a mistake
MAX_UNITS = 1_000_000  # units; the most capacity that one task may request
MAX_PENDING_TASKS = 20_000  # tasks; default bound of a queue's pending tasks
# divisor; 1/10 of a queue's pending bound is reserved for jobs that no known worker could run
UNPLACEABLE_PART = 10
MAX_PUSHED_JOBS = 200_000  # pushed jobs; most in the whole cluster state; new ones beyond it are rejected
# pushed jobs; the newest finished ones stay outside the archive because they are read most
FINISHED_LIVE = 1_000
SEGMENT_JOBS = 256  # pushed jobs; in one archive segment, which takes some milliseconds to seal
SEGMENT_CHUNK = 16  # pushed jobs; compressed together in a segment, and decompressed together by a read
CHUNKS_OPEN = 32  # chunks; stay decompressed in memory after a read
SEGMENT_PRESS = 3  # zlib level; higher levels save a tenth more space for twice the time
FINISHED_KEPT = 20_000  # pushed jobs; at least this many of the newest finished ones stay readable
KEYS_KEPT = 86_400.0  # seconds; an idempotency key is honoured for at least this long
MARKS_KEPT = 1_000  # changes; the outcomes of this many are retained for a front daemon that asks again
# queue configurations; at least one in this many is stored in full, which bounds the cost of reading one
QUEUE_CONFIGURATION_FULL_EVERY = 256
# bytes; patches smaller than this in total don't justify storing a full copy
QUEUE_CONFIGURATION_SMALL = 4_096
MAX_QUEUE_CONFIGURATION_BYTES = 1_000_000  # bytes; size of a queue configuration as JSON
MAX_QUEUES = 2_000  # queues; most in one configuration
MAX_PAGE_ROWS = 500  # rows; most in one listing
FORWARD_TIMEOUT = 2.5  # seconds; a front daemon tries to get an answer from the leader for this long
FORWARD_RETRY = 0.25  # seconds; delay before a forwarded request is sent again (requests are idempotent)
PAUSED_RETRY_AFTER = 10  # seconds; Retry-After while an alert pauses approvals
RETRY_AFTER = 1  # seconds; Retry-After when a queue is full or no leader is known
LINK_QUEUE = 4_096  # frames; most that wait for one destination; beyond it the oldest are dropped
LINK_PART = 64  # divisor; frames that wait for one destination may use 1/64 of the memory
MIN_LINK_BYTES = 2_000_000  # bytes; this much may wait for one destination, however little memory there is
LINK_SLICE = 16_384  # bytes; passed to a socket at once; each slice must be accepted within ELECTION_TIMEOUT
LINK_BUFFER = 65_536  # bytes; the kernel's buffer for a connection of large frames
LINK_BULK = 32_768  # bytes; frames of at least this size are sent over a separate connection
LINK_BACKOFF = 0.1  # seconds; delay between two attempts to connect
MAX_FRAME_BYTES = 16_000_000  # bytes; the largest frame between two of our processes
STOP_WITHIN = 2.0  # seconds; from SIGTERM to exit
STOP_PART = 0.6  # fraction of STOP_WITHIN spent waiting for answers and writes in progress
SETTINGS_EVERY = 1.0  # seconds; interval between two checks whether the settings changed

# --- rehearsal -----------------------------------------------------------------------
# seconds; traffic is stored and sampled in blocks of this length, so that a burst stays intact
SAMPLE_BLOCK = 10.0
SAMPLE_JOBS = 200  # pushed jobs; a block that receives more ends there
SAMPLE_NEWEST = 24  # blocks; the newest, which are all retained
SAMPLE_WINDOW = 86_400.0  # seconds; one day, so that the sample includes every daily peak
SAMPLE_STRATUM = 3_600.0  # seconds; older blocks are sampled per period of this length (an hour)
SAMPLE_EACH = 2  # blocks; retained from each older stratum: at most 72 blocks of 200 jobs in all
MIN_TRAFFIC_JOBS = 30  # pushed jobs; with fewer, a rehearsal reports "not measured"
TRAFFIC_BLOCKS = 2  # blocks; with fewer, chance can't be distinguished from a pattern in the traffic
REPLAY_LASTS = 60.0  # seconds; of traffic in one replay, long enough for a backlog to build up
REPLAY_JOBS = 400  # pushed jobs; most in one replay, which takes some seconds
REPLAY_SLICE = 20  # events; between two pauses of a rehearsal, so that heartbeats get the interpreter
# seconds; a rehearsal pauses after each slice for as long as the slice took, at most this long
MAX_REST = 0.02
REHEARSAL_PAIRS = 8  # replays of each queue table; 7 of 8 agree by chance in 1 of 28 cases
REHEARSAL_AGREE = 7  # pairs; this many must agree on the direction
MIN_REHEARSAL_DIFFERENCE = 0.01  # fraction of the cost; a smaller difference counts as none
REHEARSAL_LONGEST = 120.0  # seconds; virtual time after the last arrival
MAX_DRAFTS = 100  # drafts; beyond it the oldest are dropped

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
)  # seconds; bounds of histograms, from disk syncs to long waits

# --- versions ------------------------------------------------------------------------
# Version of frames; frames of any other version are refused. 2: handshakes state the level, chunks state
# what is stored. 3: leased jobs. 4: requests carry their attempt and their end, answers the key of their
# request; leadership transfer.
WIRE_VERSION = 4
# Version of files on disk; files of any other version are left untouched. 2: bases name segments.
# 3: images contain leased jobs. 4: images contain the newest orders for zones and the forgotten change
# watermarks.
FILE_VERSION = 4
# Level of operations; a cluster proposes only operations known at the lowest level that a member reports.
# 3: evacuation. 4: jobs of tenants, configurations whose tenants are checked. 5: tombstones.
RECORD_LEVEL = 5

# --- leased jobs ---------------------------------------------------------------------
MAX_SPEC_LENGTH = 4_000  # characters; the specification that a job passes to its tasks
MAX_STEPS = 64  # steps; most in one job
MAX_STEP_TASKS = 5_000  # tasks; most in one step
MAX_TIMES = 1_000  # times; most that one job may fall due
MAX_JOB_TASKS = 10_000  # tasks; most in one job over all its repetitions
# times; most of one step of a job whose tasks wait for workers at once, beside those that waited before
MAX_READY_TIMES = 16
OUTDATED_STEPS = 1_000  # entries; that may be left in the schedule of due steps though their jobs are over
JOB_BYTES = 3_000  # bytes; memory of an open job, beside its steps and batches
STEP_BYTES = 1_000  # bytes; of a step of a job, beside its batches
DEPENDENCY_BYTES = 32  # bytes; for each step that a step comes after
TEXT_BYTES = 64  # bytes; of a text, beside its characters
TASK_BATCH_BYTES = 700  # bytes; of a batch, beside its tasks
TASK_BYTES = 300  # bytes; of a task of a batch
PLACEMENT_BYTES = 800  # bytes; of a placed run
FINAL_JOB_BYTES = 500  # bytes; of a job that is over
MAX_LEASED_JOBS = 20_000  # jobs; most that are not yet final; new ones beyond it are refused
# seconds; the state of a final job stays readable this long, twice what callers are promised
FINAL_LASTS = 240.0
MAX_FINAL_JOBS = 60_000  # jobs; the most final ones that stay readable
FINAL_SWEEP = 20  # jobs; examined for removal each time one becomes final
# seconds; a copy of a submission may be on its way this long: MAX_REQUEST_SECONDS until it is read,
# CALL_PATIENCE until it is accepted, and as much again for a daemon that did not run or a link that was cut
SUBMISSION_LASTS = 45.0
TOMBSTONE_RENEWED_AFTER = 15.0  # seconds; a repeated cancellation renews an older tombstone
TOMBSTONE_LASTS = SUBMISSION_LASTS + TOMBSTONE_RENEWED_AFTER  # seconds
MAX_TOMBSTONES = 10_000  # tombstones; cancellations of unknown jobs beyond it are refused
MAX_TENANT_TOMBSTONES = 5_000  # tombstones; most of one tenant, and of all callers without a tenant
TOMBSTONE_BYTES = 600  # bytes; memory of a tombstone
TOMBSTONES_EVERY = 0.05  # seconds; interval between two entries with tombstones
MAX_ENTRY_TOMBSTONES = 500  # tombstones; most in one entry
MAX_PREFIX_LENGTH = 512  # characters; longest prefix of a route
MAX_KEY_LENGTH = 512  # characters; longest key of a tenant
# Raise this only with a new level, because a full list shows that older versions were forgotten.
# versions; their calls are remembered, so that a repeated call gets the same answer
CONFIGURATIONS_KEPT = 1_000
# zones; evacuated at the same time; as many other zones have their newest order remembered
MAX_EVACUATED_ZONES = 1_000
LEASE_DURATION = 4.0  # seconds; a lease lasts this long beyond a heartbeat unless the settings allow less
CLOCK_DRIFT = 0.025  # seconds per second; a worker's clock may run 2 % slow
LAPSE_MARGIN = 0.1  # seconds; added to a lease before what ran under it counts as ended
HEARTBEAT_INTERVAL = 0.1  # seconds; delay before a worker with free capacity sends its next heartbeat
# seconds per worker; lower bound of that interval, which limits a leader to some 1,250 heartbeats a second
HEARTBEAT_INTERVAL_PER_WORKER = 0.0008
# seconds; an idle worker's heartbeat stays open this long, well within the second that the worker waits
IDLE_HEARTBEAT_DEFERRAL = 0.5
# seconds; heartbeat delay of a worker without capacity: it sends one at once when a task ends
HEARTBEAT_INTERVAL_FULL = 0.5
# ends; the most that a worker lists in one heartbeat; the next ones follow once these are acknowledged
MAX_LISTED_ENDS = 500
# characters; of the starts in one answer, as workers take 4 MiB and JSON needs up to 12 bytes for each
MAX_STARTS_TEXT = 250_000
START_OVERHEAD = 60  # characters; of a start beside its specification and saved progress
HEARTBEAT_INTERVAL_MORE_ENDS = 0.05  # seconds; heartbeat delay of a worker that may have more ends to list
HEARTBEAT_STALE = 0.9  # seconds; a heartbeat older than this proves nothing and gets no starts
# characters; longer texts from outside aren't remembered, so that what is remembered stays small
MAX_REMEMBERED_LENGTH = 256
ARRIVALS_KEPT = 4_000  # workers; whose newest heartbeat a daemon remembers, whoever leads
WORKER_TIMEOUT = 1.2  # seconds; an unresponsive worker gets no new work after this
# seconds; a heartbeat is answered within this while agreement on what it reported is pending
HEARTBEAT_DEFERRAL = 0.06
# heartbeats; a leader retains the sending times of this many, about ten seconds of them
LEADER_HEARTBEATS_KEPT = 64
# seconds; a leader may issue starts if its commit quorum answered within this: below ELECTION_TIMEOUT
LEADER_LEASE = 0.4
# ratio; a lease timed by a slow clock lasts this much longer on a fast one
LEASE_STRETCH = (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
WORKER_FORGET_AFTER = 30.0  # seconds; an unresponsive worker with nothing placed is dropped after this
MAX_ASSIGNED_TASKS = 200  # tasks; most in one assigning entry
# seconds; the log index of an operator's order is requested while its caller, who waits 1 s, listens
CONFIRM_WITHIN = 0.75
# seconds; a daemon that was paused for longer subtracts the pause; four ticks, in which all input is read
CONFIRM_PAUSE = 0.1
CALL_PATIENCE = 2.5  # seconds; a request that states no time limit is forwarded for this long
LEAVE_MARGIN = 0.5  # seconds; after a worker reported that it stops, before what it ran counts as ended
AVOID_AFTER_REFUSAL = 0.5  # seconds; a worker that refused a start gets no other for this long
SPEED_WEIGHT = 0.2  # weight of one run in the estimate of a worker's speed
MAX_SPEED_RATIO = 8.0  # ratio; the slowest or fastest that a worker's speed is estimated to be
SPEED_STEPS = 4  # steps; from normal speed to half of it; workers within one step count as equal
# fraction of a rack's capacity that work near its data can rely on, given the other work there
NEAR_PART = 0.7
# seconds; a task waits at most this long for capacity near its data: less than MAX_IDLE_WAIT
MAX_NEAR_WAIT = 2.0
# batches and runs; those of finished jobs are dropped once twice this many are stored
LENGTHS_KEPT = 1_000
LENGTH_WEIGHT = 0.1  # weight of one run in the estimate of a queue's durations
MIN_PROGRESS = 5  # per cent; lower progress says nothing about a run's duration
# seconds; the progress of a run younger than this says nothing about its duration either
PROGRESS_AFTER = 0.5
STALLED = 2.0  # seconds; a run without progress for this long is stopped
STALLED_STEPS = 3  # steps of one per cent; extra time beyond STALLED, because long runs take seconds for each
AVOID_AFTER_STALL = 6.0  # seconds; a worker whose runs stalled gets no new work for this long
# per cent, reported as integers; from here on a member of a gang may be waiting for the others
GANG_FINISHED = 99
SLOW = 4.0  # ratio; a worker whose runs take this many times as long as comparable ones is slow
SLOW_WEIGHT = 0.5  # weight of one such ratio in the estimate of a worker's speed
SLOW_ALONE = 8.0  # ratio; the same if only a single run shows it
SLOW_LIKE = 2  # runs; the fewest of the same batch on other workers that tell a slow worker from a long run
SLOW_GAIN = 1.5  # ratio; the remainder of a slow run must take this many times as long as a new run
SLOW_COST = 0.5  # seconds; the remainder must also take this much longer than a new run
RACK_WAIT = 1.0  # seconds; a gang waits at most this long for a single rack with capacity for all its members
# seconds; a pause of a daemon this long is a stall: callers try another one after 1 s without an answer
STALL = 0.9
# seconds; after a stall, time in which requests that waited in sockets are still being read
STALL_AFTERMATH = 0.25
# fraction of its time limit that a request that may have been executed waits in a long outage
LEADERLESS_SHARE = 0.55
# seconds without updates from a leader; an outage that lasts longer is no restart of processes
OUTAGE_SHORT = 2.2
LEADERLESS_SEEK = 0.2  # seconds; in a long outage, enough to ask one or two control daemons for the leader
# seconds; delay before a request that nobody accepted is sent to the leader known by then
FORWARD_RETRY_UNTAKEN = 0.1
HEARTBEAT_BATCH_DELAY = 0.005  # seconds; reports from heartbeats are collected this long into one entry
HINT_EVERY = 10.0  # seconds; interval between two hints to a worker about the leader's address
PEER_TIMEOUT_MS = 1_500  # milliseconds; a connection whose peer acknowledges no byte for this long is closed
FAR = 2.0  # ratio; a task takes this many times as long away from its data, unless the settings say otherwise
RESERVE_AFTER = 0.4  # seconds; capacity is reserved for a batch that found none for this long
MAX_RESERVED_BATCHES = 3  # batches; the most of one service that have capacity reserved at once
RESERVE_PART = 0.5  # fraction of a service's slots that may be reserved
# seconds; slots stay reserved for a batch at most this long at a stretch while most capacity is idle
RESERVE_LASTS = 2.0
# fraction of a service's capacity in use from which slots are reserved for as long as needed
RESERVE_BUSY = 0.5
PEAK_HALF = 10.0  # seconds; half-life of the remembered peak of capacity used by urgent work
BUDGET_PART = 0.5  # fraction of a service's capacity that work of any urgency may use
# fraction of the time that work can wait for capacity and still finish in time; longer work must not use
# its slots
WAIT_PART = 0.5
# fraction of a service's capacity that its less urgent work gets, in equal parts for each urgency, once it
# has waited as long as it can
GUARANTEED_SHARE = 0.4
# seconds; jobs may arrive this far ahead of the rate due to their tenant's weight, unless set otherwise
TENANT_BURST = 1.0
MAX_IDLE_WAIT = 3.0  # seconds; a job with nothing placed may wait this long while ample capacity is idle
IDLE_LOOK_EVERY = 0.5  # seconds; interval between searches for such jobs
# fraction of a service's capacity; a step that needs more is expected to run in several batches
WIDE_PART = 0.25
LATE_TARGETS = 3  # targets; a job that ends later than so many times its target is of no use to its caller
# steps; from a rack without demand for its data to the one most in demand, for work that needs none
HOT_STEPS = 2
YIELD_WASTE = 30.0  # core-seconds; the most unsaved work that may be discarded to free capacity for one batch
# runs; a task that ran more often than this is not preempted again unless it saves its progress
YIELD_RUNS = 2
GPU_CORES = 8  # cores; an accelerator counts as this many
ROUND_REST = 25e-6  # seconds; pause between rounds per worker and waiting batch, four times the cost of each
MANY_BATCHES = 500  # batches; more that wait are a backlog, of which the leader has to rest
BACKLOG_REST = 75e-6  # seconds; such a pause for each batch beyond MANY_BATCHES
MAX_ROUND_BATCHES = 2_000  # batches; most that a round looks at, which takes it some 60 ms on a slow core
