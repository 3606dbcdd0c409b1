"""Trials of tenants with a maximum of running resources: the simulated fleet runs jobs under a fault scenario
while the maxima change. A trial is replayed by its scenario and seed.
"""

import contextlib
import json
import sys
import time as clocks
import traceback
from unittest import mock

from ...scheduling import resource_usage
from ...scheduling import tenants as tenant_rules
from ...scheduling.assignment_manager import AssignmentManager
from ...scheduling.leased_job_state import LeasedJobState
from .. import leased_job_trial
from . import checks, injected_faults, quota_checks
from .fleet import Tenancy
from .limits import IN_FLIGHT, LEASE_LONGEST
from .scenarios import SCENARIOS, control_daemon_names, worker_names
from .stand_in_client import StandInClient
from .stand_in_operator import Change, StandInOperator

STOP_TAKES = 0.6  # seconds; upper bound of the time in which a worker stops a run
CHANGE_EVERY = 2.5  # seconds; between two changes of maxima
CHANGES = 6  # of maxima in one trial
RATE = 2.0  # job rate relative to the other trials
REPEATABLE_PROBABILITY = 0.5  # of a job whose steps may run a second time without harm
MAXIMA = {
    "small": {"cpu": 4000, "gpu": 1},
    "large": {"cpu": 7000, "mem_mb": 4000},
    "free": None,
}
LOWERED = {  # values that the maxima are lowered to temporarily
    "small": ({"cpu": 1000, "gpu": 1}, {"cpu": 2500}),
    "large": ({"cpu": 2000}, {"mem_mb": 1000}),
    "free": ({"cpu": 1500}, {"cpu": 0}),
}


def _tenant(name, maximum):
    return {"name": name, "keys": [_key(name)], "weight": 5, "maximum": maximum}


def _key(name):
    return f"key-of-{name}"


class QuotaClient(StandInClient):
    """The stand-in client with jobs of several tenants; each call carries the key of its tenant."""

    def _make(self, kind, now):
        super()._make(kind, now)
        job = list(self.jobs.values())[-1]
        job["tenant"] = self.random.choice(list(MAXIMA))
        if self.random.random() < REPEATABLE_PROBABILITY:
            for step in job["document"]["steps"]:
                step["twice"] = True

    def _on_tick(self, now):
        return [
            ("call", selector, call, (*arguments, _key(self.jobs[tag[0]]["tenant"])), tag)
            for _, selector, call, arguments, tag in super()._on_tick(now)
        ]


class QuotaOperator(StandInOperator):
    """The stand-in operator with tenants in every configuration, whose maxima it changes.

    Invariant: first_sent_at has the time at which each change was first sent.
    """

    def __init__(self, simulator):
        super().__init__(simulator)
        self.first_sent_at = {}  # id of a change -> seconds

    def _submit(self, change):
        change.document.setdefault("tenants", [_tenant(*item) for item in MAXIMA.items()])
        self.first_sent_at[id(change)] = self.now()
        return super()._submit(change)

    def change_maximum(self, name, maximum):
        """Sends a new maximum of a tenant, on top of the configuration that is read now."""

        def change(before):
            version = self._next_version(before)
            tenant = _tenant(name, maximum)
            tenants = [tenant if other["name"] == name else other for other in before["tenants"]]
            document = {**before, "version": version, "tenants": tenants}
            arguments = (before["version"], version, {"tenants": [tenant]}, {})
            self._submit(Change("amend", before["version"], document, arguments))

        self._request_read(change)

    def change_random_maximum(self):
        """Lowers the maximum of a random tenant, or restores it."""
        name = self.random.choice(list(MAXIMA))
        self.change_maximum(name, self.random.choice((MAXIMA[name], *LOWERED[name])))

    def maxima_spans(self):
        """The spans in which each configuration may have been in force: from when it was first sent until a
        newer one was acknowledged, plus the time for which an answer may be in flight.
        """
        accepted = [other for other in self.changes if other.acknowledged() is not None]
        spans = []
        for change in self.changes:
            if change.acknowledged() is None and change.was_refused():
                continue
            newer = [other.acknowledged() for other in accepted if other.version > change.version]
            maxima = {tenant["name"]: tenant["maximum"] for tenant in change.document["tenants"]}
            ended = min(newer) + IN_FLIGHT if newer else None
            spans.append(quota_checks.Span(self.first_sent_at[id(change)], ended, maxima))
        return spans


class QuotaFleet(Tenancy):
    """The simulated fleet that runs jobs, with tenants."""

    def __init__(self, seed):
        super().__init__(seed)
        self.client_stand_in, self.operator_stand_in = QuotaClient(seed), QuotaOperator(self)
        self.client_stand_in.rate = RATE


def unresponsive_workers(simulator):
    """Some workers at a time are partitioned off for less than a lease, and continue to run."""
    for _ in range(8):
        names = simulator.draw.sample(worker_names(simulator), 3)
        simulator.partition(names, [other for other in simulator.nodes if other not in names])
        simulator.run(simulator.draw.uniform(1.5, 4.0))
        simulator.heal()
        simulator.run(simulator.draw.uniform(0.2, 1.0))


def leader_restarts(simulator):
    """All control daemons are killed and restart from their images, while workers continue to run."""
    for _ in range(4):
        simulator.run(simulator.draw.uniform(1, 3))
        names = control_daemon_names(simulator)
        for name in names:
            simulator.kill(name)
        simulator.run(simulator.draw.uniform(0.1, 0.5))
        for name in names:
            simulator.start(name)
        simulator.run(simulator.draw.uniform(1, 3))


QUOTA_SCENARIOS = {
    **{
        name: SCENARIOS[name]
        for name in (
            "calm",
            "leader-killed",
            "leader-deaf",
            "all-killed",
            "tenants-crash",
            "tenants-cut",
            "tenants-leave",
            "tenants-leave-first",
            "answers-late",
            "beats-stale",
            "lives-mixed",
            "storm",
        )
    },
    "workers-unresponsive": unresponsive_workers,
    "leader-restarts": leader_restarts,
}


def _always_admits(self, batch, count):
    return True


def _never_over_maximum(self, placement):
    return False


def _allows_everything(self, name, task, wanted):
    return wanted


def _release_despite_maximum(self, now):
    """Releases the repeatable runs of an unresponsive worker even if their tenant has a maximum."""
    with mock.patch.object(tenant_rules.Tenants, "limited", return_value=None):
        original_release(self, now)


def _finish_uncounted(self, now, job, state):
    """Stops counting the runs of a finished job towards the usage of its tenant."""
    original_finish(self, now, job, state)
    for placements in self.placements.values():
        for placement in placements.values():
            if placement.job == job.identity and placement.tenant:
                resource_usage.release(self.used_by_tenant, placement.tenant, placement.resources)
                placement.tenant = ""


def _from_image_uncounted(cls, image):
    """Restores an image without the usage of tenants."""
    leased_jobs = original_from_image.__func__(cls, image)
    for placements in leased_jobs.placements.values():
        for placement in placements.values():
            placement.tenant = ""
    leased_jobs.used_by_tenant.clear()
    return leased_jobs


FREQUENT_SNAPSHOTS = injected_faults.INJECTED_FAULTS["frequent-snapshots"]
original_release, original_finish = AssignmentManager._release_repeatable_runs, LeasedJobState._finish
original_from_image = LeasedJobState.from_image
INJECTED_FAULTS = {
    "maximum-unchecked": [
        (LeasedJobState, "_tenant_admits", _always_admits),
        (LeasedJobState, "over_maximum", _never_over_maximum),
        (tenant_rules.TenantCapacity, "allowance", _allows_everything),
    ],
    "twice-let-go": [(AssignmentManager, "_release_repeatable_runs", _release_despite_maximum)],
    "cancelled-uncounted": [(LeasedJobState, "_finish", _finish_uncounted)],
    "lowered-unheeded": [(LeasedJobState, "over_maximum", _never_over_maximum)],
    "counts-lost-on-restart": [
        (LeasedJobState, "from_image", classmethod(_from_image_uncounted)),
        *FREQUENT_SNAPSHOTS,
    ],
    # Not a fault, but a condition under which no check may fail: the log is compacted all the time.
    "frequent-snapshots": FREQUENT_SNAPSHOTS,
}


@contextlib.contextmanager
def injected(name):
    """Context in which the fault of that name is injected; "" for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield


def owners_consistent(simulator):
    """Every job that the leader knows belongs to the tenant that submitted it."""
    faults, leader = [], simulator.leader()
    leased_jobs = leader.core.cluster_state.leased_jobs if leader is not None else LeasedJobState()
    for identity, job in simulator.client_stand_in.jobs.items():
        known = leased_jobs.jobs.get(identity) or leased_jobs.final.get(identity)
        owner = known.tenant if known is not None else None
        if owner not in (None, job["tenant"]):
            faults.append(f"{identity} of {job['tenant']} is recorded as a job of {owner!r}")
    return faults


def trial(scenario, seed, injected_fault=""):
    """Returns (faults, simulator, usage) of one trial, with an injected fault if one is named."""
    with injected(injected_fault):
        return _trial(scenario, seed)


def _trial(scenario, seed):
    simulator, faults = QuotaFleet(seed), []
    operator, client = simulator.operator_stand_in, simulator.client_stand_in
    try:
        simulator.begin()
        simulator.run(2)
        for turn in range(CHANGES):
            simulator.at(
                CHANGE_EVERY * turn + simulator.draw.uniform(0, 1), "later", operator.change_random_maximum
            )
        QUOTA_SCENARIOS[scenario](simulator)
        for name, maximum in MAXIMA.items():
            operator.change_maximum(name, maximum)
            simulator.run(1)
        if not simulator.finish():
            faults.append("jobs never ended")
        faults.extend(operator.check())
    except Exception as error:  # reported as a fault, so that the trial can be replayed
        frame = traceback.extract_tb(error.__traceback__)[-1]
        faults.append(f"{type(error).__name__} at {frame.name}:{frame.lineno}: {error}")
    tenants = {identity: job["tenant"] for identity, job in client.jobs.items()}
    usage = quota_checks.usage(simulator.worker_history, tenants, operator.maxima_spans())
    faults.extend(excess.text() for excess in usage.excesses)
    running_most = IN_FLIGHT + LEASE_LONGEST + STOP_TAKES
    faults.extend(checks.capacity_kept(simulator.worker_history))
    faults.extend(checks.cancels_kept(simulator.worker_history, client.jobs, running_most))
    faults.extend(checks.outcomes_true(simulator.worker_history, client))
    faults.extend(owners_consistent(simulator))
    faults.extend(simulator.agreement())
    return faults, simulator, usage


def _run_one(arguments):
    faults, simulator, usage = trial(*arguments)
    return arguments, faults, (simulator.now, usage.limited_starts, usage.at_maximum)


def many(work):
    """Yields (arguments, faults, (virtual seconds, starts of limited tenants, those at a maximum)) of trials
    that run in parallel.
    """
    yield from leased_job_trial.many(work, _run_one)


def replay(scenario, seed, injected_fault=""):
    """The command that repeats one trial."""
    return f"python -m pinepitch.simulation.jobs.quota_trial {scenario} {seed} 1 {injected_fault}".strip()


def main(scenario="all", first="0", seeds="5", injected_fault=""):
    """Runs trials over a range of seeds and prints the command that replays each failed trial."""
    names = tuple(QUOTA_SCENARIOS) if scenario == "all" else scenario.split(",")
    seeds_tried = range(int(first), int(first) + int(seeds))
    work = [(name, seed, injected_fault) for seed in seeds_tried for name in names]
    begun, failed, limited, at_maximum = clocks.monotonic(), 0, 0, 0
    for arguments, faults, counts in many(work):
        limited, at_maximum = limited + counts[1], at_maximum + counts[2]
        if faults:
            failed += 1
            print(replay(*arguments) + "\n   " + "\n   ".join(faults[:5]), flush=True)
    summary = {"trials": len(work), "failed": failed, "limited_starts": limited, "at_maximum": at_maximum}
    print(json.dumps({**summary, "seconds": round(clocks.monotonic() - begun, 1)}))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
