"""A fleet without daemons: rounds of the assigner over leased jobs, workers and runs in virtual time."""

import collections

from heartbeats import heartbeat

from pinepitch.scheduling import job_document as jobs
from pinepitch.scheduling import policy as policies
from pinepitch.scheduling.assigner import Assigner
from pinepitch.scheduling.leased_job_state import LeasedJobState
from pinepitch.scheduling.run_speed import RunTimeEstimator
from pinepitch.scheduling.worker import Worker

SERVICE = "imaging"
ROUND_EVERY = 0.1  # seconds; between rounds
STOP_TAKES = 0.4  # seconds; from the order to stop a run to its end
WORKER_CAPACITY = (32_000, 64_000, 8)  # thousandths of a core, megabytes, accelerators
TASK_REQUEST = {"cpu": 2_000, "mem_mb": 4_000}  # beside the accelerators that a task asks for
HALF = 0.5
LATENCY_TARGET_MS, STRETCH = (
    4000,
    3,
)  # of both queues: a job is in time within its aim and so many times its length
INSPECTION = 2.0  # seconds; of one task, where nothing else is said
URGENCIES = {"scans": 1, "inspections": 2}  # queue -> priority, 0 the most urgent


class AssignmentsStandIn:
    """What the assigner reads of the assignment manager. Invariant: no stop of a run is pending."""

    stopping = frozenset()


class Fleet:
    """Workers, queues and a leased job state in virtual time; each run takes the length given for its job.

    Invariants: every run starts as soon as it is placed, and its end is applied before the next round.
    `maxima` maps the name of a tenant to the most it may have running, as in a configuration.
    """

    def __init__(
        self,
        count,
        urgencies=URGENCIES,
        policy=policies.DEFAULT,
        rack_size=3,
        zone_size=None,
        maxima=None,
        tenants=(),
    ):
        self.rack_size, self.zone_size = rack_size, zone_size  # workers; all are in one zone where None
        self.now, self.made, self.sequence = 100.0, 0, 0
        self.leased_jobs, self.assignments = LeasedJobState(), AssignmentsStandIn()
        self.assigner = Assigner(RunTimeEstimator(2.0), policy)
        self.lengths = {}  # job -> seconds that each of its tasks takes
        self.ends_at = {}  # (minion, reference, run) -> when it ends
        self.stops_at = {}  # the same of runs that are being stopped
        self.workers = {f"w{place}": Worker(f"w{place}", self.now) for place in range(count)}
        self.empty_since = {}  # worker -> since when it runs nothing while a waiting task would fit
        self.longest_empty = 0.0  # seconds
        self.idle_since = {}  # job -> since when it waits with nothing running beside ample free capacity
        self.longest_idle = 0.0  # seconds
        self.silent = set()  # workers
        self.came, self.done = {}, {}  # job -> when it came, when it was completed
        self.capacity_used = {}  # queue -> accelerator-seconds that its runs have had
        self.refused = 0  # tasks that a round placed and the leased job state did not
        self.maxima = maxima or {}
        self.most_used = {}  # tenant -> the most accelerators that its runs had at once
        limited = [
            {"name": name, "keys": [f"key-{name}"], "maximum": maximum}
            for name, maximum in self.maxima.items()
        ]
        self._configure(urgencies, [*tenants, *limited])
        for _ in range(2):
            self._beat()

    def _configure(self, urgencies, tenants):
        """Configures a queue for each name and priority, all of one service, and the tenants if any."""
        routes = [
            {
                "name": name,
                "host": "a.example",
                "prefix": f"/{name}/",
                "service": SERVICE,
                "attempts": 3,
                "priority": urgency,
                "aim_ms": LATENCY_TARGET_MS,
                "stretch": STRETCH,
            }
            for name, urgency in urgencies.items()
        ]
        document = {"version": 1, "services": [{"name": SERVICE}], "routes": routes}
        if tenants:
            document["tenants"] = tenants
        taken = self.leased_jobs.configure(self.now, 0, document, "first", bool(tenants))
        assert taken == ("configured", 1), taken

    def put(self, queue, count, accelerators, seconds, tenant=None, **more):
        """Submits a job of one step, of a tenant or none; each of its tasks takes `seconds`."""
        self.made += 1
        step = {"count": count, "gpu": accelerators, "est_ms": seconds * 1000, **TASK_REQUEST, **more}
        plain, faults = jobs.checked({"steps": [step]})
        assert not faults, faults
        identity = f"{self.made:016x}"
        self.lengths[identity] = seconds
        outcome = self.leased_jobs.accept(self.now, identity, queue, plain, tenant)
        assert outcome == ("accepted", identity), outcome
        self.came[identity] = self.now
        return identity

    def in_use(self):
        """The fraction of all accelerators that is in use."""
        taken = sum(WORKER_CAPACITY[2] - self.free(identity)[2] for identity in self.workers)
        return taken / (len(self.workers) * WORKER_CAPACITY[2])

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += ROUND_EVERY
            self._beat()
            self._end_runs()
            self._round()
            self._look()

    def _beat(self):
        """Every responsive worker sends a heartbeat that lists its runs."""
        self.sequence += 1
        runs = collections.defaultdict(list)
        for worker_name, reference, run in (*self.ends_at, *self.stops_at):
            runs[worker_name].append([reference, run, "", 50])
        for identity, worker in self.workers.items():
            if identity in self.silent:
                continue
            labels = ["a", f"r{int(identity[1:]) // self.rack_size}"]
            heartbeat_arguments = heartbeat(
                self.sequence, self.now, SERVICE, identity, labels, WORKER_CAPACITY, runs[identity]
            )
            heartbeat_arguments["zone"] = self.zone_of(identity)
            worker.take_heartbeat(heartbeat_arguments, self.now)

    def zone_of(self, identity):
        """The zone of a worker."""
        return "north" if self.zone_size is None else f"zone-{int(identity[1:]) // self.zone_size}"

    def _end_runs(self):
        for ends, how in ((self.ends_at, "done"), (self.stops_at, "stopped")):
            for key in [key for key, at in ends.items() if at <= self.now]:
                del ends[key]
                worker_name, reference, run = key
                job, time, number, _ = reference.split(".")
                batch = (
                    self.leased_jobs.jobs[job].batches[(int(time), int(number))]
                    if job in self.leased_jobs.jobs
                    else None
                )
                self.assigner.estimator.record_end(
                    self.workers[worker_name], batch, reference, run, how, self.now
                )
                outcome = self.leased_jobs.end(self.now, ((*key, how, "", True),))[1][0]
                if outcome == "completed":
                    self.done[job] = self.now

    def _round(self):
        items, stops = self.assigner.run_round(
            self.leased_jobs, self.workers, self.assignments, self.now, self.now
        )
        placed = self.leased_jobs.assign(self.now, 1, items)
        self.refused += sum(len(group) for *_, group in items) - len(placed)
        for placement in placed:
            key = (placement.worker_id, placement.reference(), placement.run)
            lasts = self.leased_jobs.current_task(placement)[0].step.lasts
            self.assigner.estimator.record_start(*key, False, self.now)
            self.ends_at[key] = 1e9 if lasts else self.now + self.lengths[placement.job]
        self.leased_jobs.stop(self.now, stops)
        for worker_name, reference, run, _ in stops:
            if (worker_name, reference, run) in self.ends_at:
                del self.ends_at[(worker_name, reference, run)]
                self.stops_at[(worker_name, reference, run)] = self.now + STOP_TAKES

    # --- what is judged ---------------------------------------------------------------
    def free(self, identity):
        taken = self.leased_jobs.used_by_worker.get(identity, (0, 0, 0))
        return [total - less for total, less in zip(WORKER_CAPACITY, taken, strict=True)]

    def _takes(self, identity, batch):
        """How many more tasks of a batch a worker has capacity for, beside all that is placed on it."""
        free, step = self.free(identity), batch.step
        fits = min(have // capacity for have, capacity in zip(free, step.resources, strict=True) if capacity)
        placed_here = self.leased_jobs.placements.get(identity, {}).values()
        beside = sum((one.job, one.number) == (batch.job.identity, batch.number) for one in placed_here)
        return max(0, min(fits, step.apart - beside) if step.apart else fits)

    def _look(self):
        """Records how long free capacity and waiting work that fits into it have existed side by side."""
        for placed_here in self.leased_jobs.placements.values():
            for one in placed_here.values():
                queue = "scans" if one.priority == URGENCIES["scans"] else "inspections"
                self.capacity_used[queue] = (
                    self.capacity_used.get(queue, 0.0) + one.resources[2] * ROUND_EVERY
                )
        used = self._note_tenants()
        batches = [batch for batch in self.leased_jobs.ready.values() if self._may_run(batch, used)]
        singles = [batch for batch in batches if not batch.step.gang]
        for identity in self.workers:
            idle = identity not in self.leased_jobs.placements and any(
                self._takes(identity, batch) for batch in singles
            )
            since = self.empty_since.setdefault(identity, self.now) if idle else self.now
            if not idle:
                self.empty_since.pop(identity, None)
            self.longest_empty = max(self.longest_empty, self.now - since)
        waiting = {batch.job.identity: batch for batch in batches if self._ample(batch)}
        self.idle_since = {job: self.idle_since.get(job, self.now) for job in waiting}
        for since in self.idle_since.values():
            self.longest_idle = max(self.longest_idle, self.now - since)

    def _note_tenants(self):
        """Tenant -> the resources of its placements. Also records the most accelerators it ever had."""
        used = {}
        for placed_here in self.leased_jobs.placements.values():
            for one in placed_here.values():
                sums = used.setdefault(one.tenant, [0, 0, 0])
                used[one.tenant] = [had + asked for had, asked in zip(sums, one.resources, strict=True)]
        for tenant, amount in used.items():
            self.most_used[tenant] = max(self.most_used.get(tenant, 0), amount[2])
        return used

    def _may_run(self, batch, used):
        """Whether the maximum of a batch's tenant admits the tasks of it that must start together."""
        maximum = self.maxima.get(batch.job.tenant) or {}
        count = len(batch.waiting) if batch.step.gang else 1
        has = used.get(batch.job.tenant, (0, 0, 0))
        return all(
            not maximum.get(name) or had + count * asked <= maximum[name]
            for name, had, asked in zip(("cpu", "mem_mb", "gpu"), has, batch.step.resources, strict=True)
        )

    def _ample(self, batch):
        """Whether nothing of a batch's job is placed, the tasks that must start together would fit twice, and
        less than half of the service's capacity is in use.
        """
        placed = {
            one.job for placed_here in self.leased_jobs.placements.values() for one in placed_here.values()
        }
        wanted = len(batch.waiting) if batch.step.gang else 1
        capacity = sum(self._takes(identity, batch) for identity in self.workers)
        used = [sum(taken[kind] for taken in self.leased_jobs.used_by_worker.values()) for kind in range(3)]
        share = max(
            one / (total * len(self.workers)) for one, total in zip(used, WORKER_CAPACITY, strict=True)
        )
        return batch.job.identity not in placed and capacity >= 2 * wanted and share < HALF
