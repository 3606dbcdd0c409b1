"""Planted faults: each breaks one promise in the code under trial, so that the checks can
be seen to find it. A plant is a list of (owner, attribute, replacement)."""

import contextlib
from unittest import mock

import cbor2

from ..common import constants
from ..consensus import cluster_clock, replica
from ..consensus.replica import Consensus
from ..control import daemon, requests
from ..front import daemon as verge_core
from ..front.daemon import Verge
from ..model import push_worker, pushed_job
from ..model import queue_settings as rows
from ..model.queue_settings import Row
from ..state import cluster_state, configuration_history
from ..state.cluster_state import Record
from . import simulator


def _tasks(**changed):
    def planted(plain, retries, feed):
        return {
            name: task._replace(**changed)
            for name, task in pushed_job.tasks_from(plain, retries, feed).items()
        }

    return [(cluster_state, "tasks_from", planted)]


def _silence(self, report, listed):
    """Takes one silent report for a proof, however early it was begun."""
    for ref in sorted(self.record.reserved.get(report.minion, {})):
        standing = self.record.find(ref)[2]
        if (ref, standing.attempt) not in listed:
            yield (ref, standing.attempt, "never")


def _silent_minions(self, now):
    """Places again what a silent minion ran."""
    original_watch(self, now)
    for name, known in self.minions.items():
        if now - known.heard_at > constants.MINION_SILENT:
            self._propose_ends(
                [
                    (ref, self.record.find(ref)[2].attempt, "never")
                    for ref in self.record.reserved.get(name, {})
                ],
                None,
                now,
            )


original_watch = daemon.Accord._watch


def _early_saved(self, node, sequence, change):
    """Tells a save durable before it is."""
    node.disk.jobs.append(("save", sequence, ["raft", change]))
    self._disk_next(node)
    self.at(0.0, "give", node.name, node.life, ("saved", sequence))


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


def _late_told(self, *arguments):
    """Forgets what it has taken, and so sends again what is told again."""
    self.taken.clear()
    original_told(self, *arguments)


original_told = Verge._on_told
original_change = Record._change
original_end = Record._end
original_checked = push_worker.checked


def _no_base(self, base, manner, document, who, why):
    return original_change(self, None, manner, document, who, why)


def _as_if_done(self, found, task, standing, how):
    return original_end(self, found, task, standing, "done" if how == "failed" else how)


def _repeats_lost(self, found, task, standing, how):
    return original_end(self, found, task, standing, "failed" if how == "lost" else how)


def _double_room(document):
    report, faults = original_checked(document)
    return (report and report._replace(room=2 * report.room)), faults


def _forgetful(self, document, who, why, base):
    """Acknowledges a change that it does not keep."""
    return ("setup", self.version + 1)


def _takes_refused(self, base, manner, document, who, why):
    outcome = original_change(self, base, manner, document, who, why)
    if outcome[0] == "conflict":
        original_change(self, None, manner, document, who, why)
    return outcome


def _votes_again(self, sender, term, last_index, last_term, now):
    self.history.pop(term, None)
    self.leader_term = min(self.leader_term, term - 1)
    original_vote(self, sender, term, last_index, last_term, now)


original_vote = Consensus._on_vote


def _cancel_in_word(self, identity):
    found = self.tickets.get(identity)
    return ("missing",) if found is None else ("ok",)


def _all_orders(self, verge, now):
    """Tells every placement of a verge again and again, sent or not."""
    told = []
    for held in self.record.reserved.values():
        for ref in held:
            standing = self.record.find(ref)[2]
            known = self.minions.get(standing.minion)
            if standing.verge == verge and known is not None:
                self._order(ref, now)
                told.append(self.outbox[verge][(ref, standing.attempt)])
    return tuple(told)


def _promises_when_full(self, node, what, job, life):
    """Tells a save durable though the disk refused it."""
    return node.disk.full or original_durable(self, node, what, job, life)


original_durable = simulator.Simulator._durable


def _any_clock(self, now, agreed, needed):
    """Takes the time from whatever clock is heard first."""
    return original_read(self, now, agreed, 1)


original_read = cluster_clock.CohortTime.read


def _no_strays(self, report, now):
    ends, acknowledged, _ = original_report(self, report, now)
    return ends, acknowledged, []


original_report = daemon.Accord.take_report


def _short_history(self, *line):
    """Forgets all but the newest versions."""
    original_add(self, *line)
    if len(self.lines) > 4:
        self.lines[2] = (*self.lines[2][:2], "forgotten", *self.lines[2][3:])


original_add = configuration_history.History.add


def _free_tries(self, pushed_job, task, standing, how):
    """Does not count what was lost with its minion."""
    return original_end(self, pushed_job, task, standing, "never" if how == "lost" else how)


PLANTS = {
    "promises-when-full": [(simulator.Simulator, "_durable", _promises_when_full)],
    "any-clock": [(cluster_clock.CohortTime, "read", _any_clock)],
    "impossible-unseen": [(requests, "_impossible", lambda daemon, plain, now: "")],
    "bound-ignored": [(Record, "ticket_refusal", lambda self, plain, parked="": None)],
    "limit-ignored": [(rows, "row_of", lambda document: Row(**{**document, "limit": 1000}))],
    "killed-once": [(constants, "KILL_AGAIN", 1e9), (daemon.Accord, "take_report", _no_strays)],
    "history-cut": [(configuration_history.History, "add", _short_history)],
    "lost-not-counted": [(Record, "_end", _free_tries)],
    "early-proof": [(daemon.Accord, "_absent", _silence)],
    "silence-is-an-end": [(daemon.Accord, "_watch", _silent_minions)],
    "sent-again": [(Verge, "_on_told", _late_told), (daemon.Accord, "_due_orders", _all_orders)],
    "saved-too-soon": [(simulator.Simulator, "_save", _early_saved)],
    "forerunners-ignored": _tasks(after=()),
    "not-before-ignored": _tasks(not_before=0.0),
    "attempts-unbounded": _tasks(attempts=100),
    "own-clock": [(cluster_clock.CohortTime, "read", _own_clock)],
    "cancel-in-word": [(Record, "_cancel", _cancel_in_word)],
    "closed-ignored": [
        (Record, "closed", lambda self, name, area: ""),
        (Verge, "_closed", lambda self, order: False),
    ],
    "room-doubled": [(push_worker, "checked", _double_room)],
    "gangs-apart": _tasks(gang=""),
    "base-ignored": [(Record, "_change", _no_base)],
    "refused-takes-effect": [(Record, "_change", _takes_refused)],
    "change-not-kept": [(Record, "_take_setup", _forgetful)],
    "news-kept-back": [(daemon.Accord, "_news_version", lambda self: (self.consensus.term, 0))],
    "failed-counts-as-done": [(Record, "_end", _as_if_done)],
    "lost-is-tried-again": [(Record, "_end", _repeats_lost)],
    "slow-elections": [
        (constants, "ELECTION_TIMEOUT", 15.0),
        (constants, "CHECK_QUORUM", 15.0),
        (constants, "LEAD_LEASE", 15.0),
    ],
    "amnesia": [(simulator.Simulator, "wipe", _keep_identity)],
    # No fault but a condition under which nothing may break: the log is compacted all the time.
    "frequent-snapshots": [
        (constants, "SNAPSHOT_ENTRIES", 50),
        (constants, "SNAPSHOT_TAIL", 10),
        (constants, "FINISHED_LIVE", 5),
        (constants, "SEGMENT_TICKETS", 4),
        (constants, "SNAPSHOT_PIECE", 20_000),
    ],
    "votes-twice": [(Consensus, "_on_vote", _votes_again), (constants, "ELECTION_JITTER", 0.01)],
}


@contextlib.contextmanager
def planted(name):
    """The fault of that name in place; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in PLANTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        if name:
            registries = [
                (simulator.EFFECTS, "save", simulator.Simulator._save),
                (cluster_state.ACTIONS, "cancel", Record._cancel),
            ]
            registries += [
                (replica.HANDLERS, "vote", Consensus._on_vote),
                (verge_core.INPUTS, "told", Verge._on_told),
            ]
            for registry, key, value in registries:
                stack.enter_context(mock.patch.dict(registry, {key: value}))
        yield
