"""Injected faults: each breaks one guarantee in the code under trial, so that the checks can
be seen to find it. An injected fault is a list of (owner, attribute, replacement).
"""

import contextlib
from unittest import mock

import cbor2

from ..common import constants
from ..common.effects import SaveChange
from ..consensus import cluster_clock, election, handlers, messages
from ..control.front_updates import FrontUpdates
from ..control.leadership import Leadership
from ..control.requests import pushed_jobs
from ..control.worker_reports import WorkerReports
from ..front import daemon as verge_core
from ..front.daemon import FrontDaemon
from ..front.orders import Orders
from ..model import push_worker, pushed_job
from ..model import queue_settings as rows
from ..model.queue_settings import QueueSettings
from ..state import (
    configuration_history,
    configuration_operations,
    ending_operations,
    pushed_job_operations,
    registry,
)
from ..state.cluster_state import ClusterState
from . import simulator


def _tasks(**changed):
    def injected(plain, retries, feed):
        return {
            name: task._replace(**changed)
            for name, task in pushed_job.tasks_from(plain, retries, feed).items()
        }

    return [(pushed_job_operations, "tasks_from", injected)]


def _unresponsive_report(self, report, listed):
    """Takes one silent report for a proof, however early it was begun."""
    for ref in sorted(self.daemon.cluster_state.reserved.get(report.worker, {})):
        standing = self.daemon.cluster_state.find(ref)[2]
        if (ref, standing.attempt) not in listed:
            yield (ref, standing.attempt, "never")


def _unresponsive_workers(self, now):
    """Places again what a silent worker ran."""
    original_check_runs(self, now)
    for name, known in self.daemon.push_workers.items():
        if now - known.heard_at > constants.PUSH_WORKER_TIMEOUT:
            self.daemon.worker_reports.gather_ends(
                [
                    (ref, self.daemon.cluster_state.find(ref)[2].attempt, "never")
                    for ref in self.daemon.cluster_state.reserved.get(name, {})
                ],
                None,
                now,
            )


original_check_runs = Leadership._check_runs


def _early_saved(self, node, sequence, change):
    """Tells a save durable before it is."""
    node.disk.jobs.append(("save", sequence, ["raft", change]))
    self._disk_next(node)
    self.at(0.0, "give", node.name, node.incarnation, ("saved", sequence))


def _keep_identity(self, name):
    """A lost disk that comes back with its old name: the amnesia that a new identity prevents."""
    node = self.nodes[name]
    _, steps, _ = node.disk.load()
    kept = [step for step in steps if any(kind == "note" for kind, _ in step)]
    node.disk = simulator.Disk()
    node.disk.steps = [cbor2.dumps(step) for step in kept]


def _own_clock(self, now, agreed, needed):
    offset, _ = next(iter(self.readings.values()))
    return now + offset


def _repeated_updates(self, *arguments):
    """Forgets what it has taken, and so sends again what is told again."""
    self.orders.accepted.clear()
    original_updates(self, *arguments)


original_updates = FrontDaemon._on_updates
original_change = configuration_operations.apply_change
original_end = ending_operations.conclude_attempt
original_checked = push_worker.checked


def _no_base(state, operation):
    return original_change(state, operation._replace(base=None))


def _as_if_done(state, job, task, standing, how):
    return original_end(state, job, task, standing, "done" if how == "failed" else how)


def _repeats_lost(state, job, task, standing, how):
    return original_end(state, job, task, standing, "failed" if how == "lost" else how)


def _double_capacity(document):
    report, faults = original_checked(document)
    return (report and report._replace(capacity=2 * report.capacity)), faults


def _forgetful(state, document, who, why):
    """Acknowledges a change that it does not keep."""
    return ("setup", state.version + 1)


def _takes_refused(state, operation):
    outcome = original_change(state, operation)
    if outcome[0] == "conflict":
        original_change(state, operation._replace(base=None))
    return outcome


def _votes_again(replica, sender, message, now):
    replica.history.pop(message.term, None)
    replica.last_known_term = min(replica.last_known_term, message.term - 1)
    original_vote(replica, sender, message, now)


original_vote = election.on_vote


def _cancel_in_word(state, operation):
    found = state.pushed_jobs.get(operation.identity)
    return ("missing",) if found is None else ("ok",)


def _all_orders(self, front, now):
    """Tells every placement of a front daemon again and again, sent or not."""
    orders_again = []
    for references in self.daemon.cluster_state.reserved.values():
        for ref in references:
            standing = self.daemon.cluster_state.find(ref)[2]
            known = self.daemon.push_workers.get(standing.worker)
            if standing.front_daemon == front and known is not None:
                self.queue_order(ref, now)
                orders_again.append(self.outbox[front][(ref, standing.attempt)])
    return tuple(orders_again)


def _confirms_when_full(self, node, what, job, incarnation):
    """Tells a save durable though the disk refused it."""
    return node.disk.full or original_durable(self, node, what, job, incarnation)


original_durable = simulator.Simulator._durable


def _any_clock(self, now, agreed, needed):
    """Takes the time from whatever clock is heard first."""
    return original_read(self, now, agreed, 1)


original_read = cluster_clock.ClusterClock.read


def _no_strays(self, report, now):
    ends, acknowledged, _ = original_report(self, report, now)
    return ends, acknowledged, []


original_report = WorkerReports.take_report


def _short_history(self, *line):
    """Forgets all but the newest versions."""
    original_add(self, *line)
    if len(self.records) > 4:
        self.records[2] = self.records[2]._replace(reason="forgotten")


original_add = configuration_history.ConfigurationHistory.add


def _free_tries(state, job, task, standing, how):
    """Does not count what was lost with its worker."""
    return original_end(state, job, task, standing, "never" if how == "lost" else how)


INJECTED_FAULTS = {
    "promises-when-full": [(simulator.Simulator, "_durable", _confirms_when_full)],
    "any-clock": [(cluster_clock.ClusterClock, "read", _any_clock)],
    "impossible-unseen": [(pushed_jobs, "_why_unplaceable", lambda daemon, plain, now: "")],
    "bound-ignored": [(ClusterState, "job_refusal", lambda self, plain, parked="": None)],
    "limit-ignored": [
        (rows, "queue_settings_of", lambda document: QueueSettings(**{**document, "limit": 1000}))
    ],
    "killed-once": [(constants, "KILL_AGAIN", 1e9), (WorkerReports, "take_report", _no_strays)],
    "history-cut": [(configuration_history.ConfigurationHistory, "add", _short_history)],
    "lost-not-counted": [(ending_operations, "conclude_attempt", _free_tries)],
    "early-proof": [(WorkerReports, "_ends_by_absence", _unresponsive_report)],
    "silence-is-an-end": [(Leadership, "_check_runs", _unresponsive_workers)],
    "sent-again": [
        (FrontDaemon, "_on_updates", _repeated_updates),
        (FrontUpdates, "_due_orders", _all_orders),
    ],
    "saved-too-soon": [(simulator.Simulator, "_save", _early_saved)],
    "forerunners-ignored": _tasks(after=()),
    "not-before-ignored": _tasks(not_before=0.0),
    "attempts-unbounded": _tasks(attempts=100),
    "own-clock": [(cluster_clock.ClusterClock, "read", _own_clock)],
    "cancel-in-word": [(pushed_job_operations, "cancel_job", _cancel_in_word)],
    "closed-ignored": [
        (ClusterState, "closed_reason", lambda self, name, zone: ""),
        (Orders, "_accepts_no_work", lambda self, order, body: False),
    ],
    "room-doubled": [(push_worker, "checked", _double_capacity)],
    "gangs-apart": _tasks(gang=""),
    "base-ignored": [(configuration_operations, "apply_change", _no_base)],
    "refused-takes-effect": [(configuration_operations, "apply_change", _takes_refused)],
    "change-not-kept": [(configuration_operations, "activate_configuration", _forgetful)],
    "news-kept-back": [(FrontUpdates, "_update_version", lambda self: (self.daemon.consensus.term, 0))],
    "failed-counts-as-done": [(ending_operations, "conclude_attempt", _as_if_done)],
    "lost-is-tried-again": [(ending_operations, "conclude_attempt", _repeats_lost)],
    "slow-elections": [
        (constants, "ELECTION_TIMEOUT", 15.0),
        (constants, "CHECK_QUORUM", 15.0),
        (constants, "LEADER_LEASE", 15.0),
    ],
    "amnesia": [(simulator.Simulator, "wipe", _keep_identity)],
    # No fault but a condition under which nothing may break: the log is compacted all the time.
    "frequent-snapshots": [
        (constants, "SNAPSHOT_ENTRIES", 50),
        (constants, "SNAPSHOT_TAIL", 10),
        (constants, "FINISHED_LIVE", 5),
        (constants, "SEGMENT_JOBS", 4),
        (constants, "SNAPSHOT_CHUNK", 20_000),
    ],
    "votes-twice": [(election, "on_vote", _votes_again), (constants, "ELECTION_JITTER", 0.01)],
}


@contextlib.contextmanager
def injected(name):
    """The fault of that name in place; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        if name:
            cancel = registry.ACTIONS["cancel"]._replace(apply=pushed_job_operations.cancel_job)
            registries = [
                (simulator.EFFECTS, SaveChange, simulator.Simulator._save),
                (registry.ACTIONS, "cancel", cancel),
            ]
            registries += [
                (handlers.HANDLERS, messages.VoteRequest, election.on_vote),
                (verge_core.INPUTS, "told", FrontDaemon._on_updates),
            ]
            for entries, key, value in registries:
                stack.enter_context(mock.patch.dict(entries, {key: value}))
        yield
