"""The record: the deterministic state machine of the log.

apply(time, operation) gives an outcome, a tuple whose first word says how it went. It
reads no clock and draws no chance, so every accord comes to the same record.
"""

import bisect
import heapq

import cbor2
import immutables

from ..common import constants
from ..model import queue_settings as queue_documents
from ..model.pushed_job import PushedJob, tasks_from
from ..model.task import FINAL, Standing, Task, reference, unit_of
from ..scheduling.leased_job_state import LeasedJobState
from .archive import Archive
from .change_watermarks import ChangeWatermarks
from .configuration_history import ConfigurationHistory
from .queue_table import OK, QueueTable
from .traffic_sample import Sample


class ClusterState(QueueTable):
    """Invariants, checked by audit(): a task's reservation on a minion stands exactly
    while it is placed; outstanding[q] is the sum of credits lent by q to placed tasks;
    used[q] is the sum of units of q's placed tasks; waiting[q] counts its waiting tasks
    but those of parked tickets, which parked[q] counts.
    A unit is what starts together: a task, or the waiting members of a gang, named by "/"
    and the gang. spots holds every unit whose forerunners are all done; one whose time had
    come by ripe_at is in ready[queue][urgency][shape], a list in order of (due, ticket,
    unit), the others are in early, a heap by time that may also hold what has gone.
    time never falls; epochs only grow; setup versions grow by one."""

    actions = {}  # the registry of operations, filled at the end of this file
    levels = {}  # operation -> the level that knows it, for those above level 1

    def __init__(self):
        self.time = 0.0
        self.index = 0
        self.pushed_jobs = immutables.Map()
        self.keys = immutables.Map()
        self.count = 0
        self.finished = ()  # pairs (identity, ended_at) are kept in order of their end
        self.version = 1
        self.queue_configuration = queue_documents.checked(queue_documents.FIRST)[0]
        self.queue_configurations = ConfigurationHistory()
        self.queue_configurations.add(
            1, self.queue_configuration, "founding", "the setup every cohort begins with", 0.0, 0
        )
        self.epochs = {}
        self.drained = {}
        self.emptied = {}
        self.withdrawn = {}  # minion -> (due, gone)
        self.approval_pauses = {}  # alert -> (since, why), while it holds approvals back
        self.drafts = immutables.Map()
        self.draft_count = 0
        self.archive = Archive()
        self.leased_jobs = LeasedJobState()
        self.level = 1  # of operations; agreed once all members knew it, never falls
        self.sealed = []  # (number, bytes) of segments sealed since the decider took them
        self.sample = Sample()
        self.marks = ChangeWatermarks()
        self.promoted_until = 0.0  # not part of the image: it moves with who asks
        self._derive()

    # --- image ------------------------------------------------------------------------
    def image(self):
        """A value that later changes leave alone; encode() turns it to bytes."""
        return (
            self.time,
            self.index,
            self.pushed_jobs,
            self.keys,
            self.count,
            tuple(self.finished),
            self.version,
            self.queue_configuration,
            self.queue_configurations.image(),
            dict(self.epochs),
            dict(self.drained),
            dict(self.emptied),
            dict(self.withdrawn),
            self.drafts,
            self.draft_count,
            self.marks.image(),
            self.sample.image(),
            self.archive.image(),
            dict(self.approval_pauses),
            self.leased_jobs.image(),
            self.level,
        )

    @staticmethod
    def encode(image):
        return cbor2.dumps(image, default=_plain)

    @classmethod
    def decode(cls, data, segments=None):
        """The record of an image and the segments that it stands on."""
        cluster_state = cls()
        (
            cluster_state.time,
            cluster_state.index,
            jobs,
            keys,
            cluster_state.count,
            finished,
            cluster_state.version,
            cluster_state.queue_configuration,
            queue_configurations,
            epochs,
            cluster_state.drained,
            cluster_state.emptied,
            withdrawn,
            drafts,
            cluster_state.draft_count,
            marks,
            sample,
            lines,
            approval_pauses,
            leased_jobs,
            cluster_state.level,
        ) = cbor2.loads(data)
        cluster_state.leased_jobs = LeasedJobState.from_image(leased_jobs)
        cluster_state.approval_pauses = {alert: tuple(one) for alert, one in approval_pauses.items()}
        cluster_state.archive = Archive(lines, segments)
        cluster_state.sample = Sample(sample)
        cluster_state.marks = ChangeWatermarks(*marks)
        cluster_state.pushed_jobs = immutables.Map({one: _job_of_image(image) for one, image in jobs.items()})
        cluster_state.keys = immutables.Map(keys)
        cluster_state.finished = [tuple(one) for one in finished]
        cluster_state.queue_configurations = ConfigurationHistory(queue_configurations)
        cluster_state.epochs = {role: tuple(one) for role, one in epochs.items()}
        cluster_state.withdrawn = {worker: tuple(one) for worker, one in withdrawn.items()}
        cluster_state.drafts = immutables.Map(drafts)
        cluster_state._derive()
        return cluster_state

    def _derive(self):
        """Builds what follows from the rest."""
        self.finished = list(self.finished)
        self.queue_settings = {
            queue: queue_documents.queue_settings_of(queue_settings)
            for queue, queue_settings in self.queue_configuration["queues"].items()
        }
        self.reserved = {}  # minion -> {reference: units}
        self.used_units, self.outstanding_credits, self.waiting_counts, self.unplaceable = {}, {}, {}, {}
        self.ready_units, self.future_units, self.slots = {}, [], {}
        self.live_counts = {}  # queue -> live tickets
        self.unfinished_predecessors = {}  # ticket -> {task: forerunners not done}
        self.successors = {}  # ticket -> {task: tasks that wait for it}
        self.unfinished_counts = {}  # ticket -> tasks not final
        self.yielding = {}  # reference -> attempt
        for identity in sorted(self.pushed_jobs, key=lambda one: int(one[1:])):
            job = self.pushed_jobs[identity]
            if job.state in ("pending", "cancelling", "failing"):
                self._index(job)

    def _index(self, job):
        self.live_counts[job.queue] = self.live_counts.get(job.queue, 0) + 1
        successors, unfinished_predecessors, unfinished, units = {}, {}, 0, {}
        self.successors[job.identity], self.unfinished_predecessors[job.identity] = (
            successors,
            unfinished_predecessors,
        )
        for name, task in job.tasks.items():
            standing = job.standings[name]
            unfinished_predecessors[name] = sum(job.standings[one].state != "done" for one in task.after)
            for one in task.after:
                successors.setdefault(one, []).append(name)
            unfinished += standing.state not in FINAL
            if standing.state == "waiting":
                self._count(job, 1)
                units[unit_of(task)] = name
            elif standing.state == "placed":
                self._reserve(job, task, standing)
                if standing.yields_to:
                    self.yielding[reference(job.identity, name)] = standing.attempt
        self.unfinished_counts[job.identity] = unfinished
        for name in units.values():
            self._put_in_slot(job, name)

    def _count(self, job, step):
        """Counts a waiting task of a ticket in or out."""
        counted = self.unplaceable if job.unplaceable else self.waiting_counts
        counted[job.queue] = counted.get(job.queue, 0) + step

    def members(self, job, unit):
        """The waiting tasks of a unit, in the ticket's order."""
        if unit[0] != "/":
            return (unit,) if job.standings[unit].state == "waiting" else ()
        return tuple(
            name
            for name, task in job.tasks.items()
            if task.gang == unit[1:] and job.standings[name].state == "waiting"
        )

    def _put_in_slot(self, job, name):
        """Puts the unit of a task where it belongs now: ready, early, or nowhere."""
        unit = unit_of(job.tasks[name])
        self._remove_from_slot(job, unit)
        members, unfinished_predecessors = self.members(job, unit), self.unfinished_predecessors[job.identity]
        if not members or any(unfinished_predecessors[one] for one in members):
            return
        begins = max(max(job.tasks[one].not_before, job.standings[one].earliest) for one in members)
        shape = (job.kind, *sorted((job.tasks[one].units, job.tasks[one].labels) for one in members))
        number = int(job.identity[1:])
        patience = job.accepted + constants.DEFAULT_DUE
        entry = (min(job.due or patience, patience), number, unit)
        self.slots[(job.identity, unit)] = (begins, job.queue, job.urgency, shape, entry)
        if begins <= self.promoted_until:
            self._add_ready(job.queue, job.urgency, shape, entry)
        else:
            heapq.heappush(self.future_units, (begins, number, unit))

    def _add_ready(self, queue, urgency, shape, entry):
        shapes = self.ready_units.setdefault(queue, {}).setdefault(urgency, {})
        bisect.insort(shapes.setdefault(shape, []), entry)

    def _remove_from_slot(self, job, unit):
        slot = self.slots.pop((job.identity, unit), None)
        if slot is None or slot[0] > self.promoted_until:
            return
        _, queue, urgency, shape, entry = slot
        shapes = self.ready_units[queue][urgency]
        del shapes[shape][bisect.bisect_left(shapes[shape], entry)]
        if not shapes[shape]:
            del shapes[shape]
            if not shapes:
                del self.ready_units[queue][urgency]
                if not self.ready_units[queue]:
                    del self.ready_units[queue]

    def promote_due_units(self, time):
        """Moves the units whose time has come by `time` from the early to the ready; when
        the next one's comes, or None."""
        self.promoted_until = max(self.promoted_until, time)
        last = None
        while self.future_units:
            begins, number, unit = self.future_units[0]
            slot = self.slots.get((f"t{number}", unit))
            if slot is not None and slot[0] == begins and self.future_units[0] != last:
                if begins > self.promoted_until:
                    return begins
                self._add_ready(*slot[1:])
            last = heapq.heappop(self.future_units)
        return None

    def _reserve(self, job, task, standing):
        self.reserved.setdefault(standing.worker, {})[reference(job.identity, task.name)] = task.units
        self.used_units[job.queue] = self.used_units.get(job.queue, 0) + task.units
        for queue, credits in standing.charges:
            self.outstanding_credits[queue] = self.outstanding_credits.get(queue, 0) + credits

    def _release(self, job, task, standing):
        reserved = self.reserved[standing.worker]
        del reserved[reference(job.identity, task.name)]
        if not reserved:
            del self.reserved[standing.worker]
        self.used_units[job.queue] -= task.units
        for queue, credits in standing.charges:
            self.outstanding_credits[queue] -= credits
        self.yielding.pop(reference(job.identity, task.name), None)

    # --- reading ----------------------------------------------------------------------
    def balance(self, queue):
        """Credits a queue holds now: its share less what is out, lent or used itself."""
        queue_settings = self.queue_settings.get(queue)
        return (queue_settings.share if queue_settings else 0) - self.outstanding_credits.get(queue, 0)

    def find(self, ref):
        """(ticket, task, standing) of a reference to a ticket not yet archived, or None."""
        identity, _, name = ref.partition("/")
        job = self.pushed_jobs.get(identity)
        if job is None or name not in job.tasks:
            return None
        return job, job.tasks[name], job.standings[name]

    def pushed_job(self, identity):
        """A ticket, live, finished or archived, or None."""
        found = self.pushed_jobs.get(identity)
        if found is None:
            image = self.archive.read(identity)
            found = _job_of_image(image) if image is not None else None
        return found

    def closed(self, worker, zone):
        """Why a minion may get no new work, or ''."""
        if worker in self.withdrawn:
            return "withdrawn"
        if worker in self.drained:
            return "draining"
        return "area emptied" if zone in self.emptied else ""

    # --- applying ---------------------------------------------------------------------
    def apply(self, index, time, operation):
        """The outcome of one committed operation."""
        self.index = index
        self.time = max(self.time, time)
        action = self.actions.get(operation[0])
        if action is None:
            raise AssertionError(
                f"entry {index} holds {operation[0]!r}, which this version does not know: "
                "to go on without it would make another record than the cohort's"
            )
        return action(self, *operation[1:])

    def _put(self, job, name, standing):
        self.pushed_jobs = self.pushed_jobs.set(
            job.identity, job._replace(standings=job.standings.set(name, standing))
        )
        return self.pushed_jobs[job.identity]

    def job_refusal(self, plain, unplaceable=""):
        """Why a checked document can't be taken now, or None; the leader asks it first.
        `parked` says why no minion known to the leader could take it, or nothing."""
        queue_settings = self.queue_settings.get(plain["queue"])
        if queue_settings is None:
            return ("invalid", (("queue", f"no queue {plain['queue']!r}"),))
        over = tuple(
            (
                f"tasks.{place}.units",
                f"{task['units']} units, over the queue's limit of {queue_settings.limit}",
            )
            for place, task in enumerate(plain["tasks"])
            if task["units"] > queue_settings.limit
        )
        gangs = {}
        for task in plain["tasks"]:
            if task["gang"]:
                gangs[task["gang"]] = gangs.get(task["gang"], 0) + task["units"]
        over += tuple(
            (f"gang {gang}", f"{units} units together, over the queue's limit of {queue_settings.limit}")
            for gang, units in gangs.items()
            if units > queue_settings.limit
        )
        if over:
            return ("invalid", over)
        if unplaceable:
            most = queue_settings.pending // constants.UNPLACEABLE_PART
            if self.unplaceable.get(plain["queue"], 0) + len(plain["tasks"]) > most:
                return (
                    "shed",
                    f"{unplaceable}; the {most} waiting tasks that a queue keeps for such tickets are taken",
                )
        elif self.waiting_counts.get(plain["queue"], 0) + len(plain["tasks"]) > queue_settings.pending:
            return ("shed", "queue full")
        if len(self.pushed_jobs) - len(self.finished) >= constants.MAX_PUSHED_JOBS:
            return ("shed", "record full")
        return None

    def known(self, key, digest):
        """The outcome for a key seen before, or None."""
        identity = self.keys.get(key)
        if identity is not None:
            reserved = self.pushed_jobs[identity].digest
        else:
            image = self.archive.known(key)
            if image is None:
                return None
            identity, reserved = image[0], image[2]
        return ("known", identity) if reserved == digest else ("mismatch", identity)

    def _accept_job(self, key, digest, plain, unplaceable=""):
        before = self.known(key, digest)
        if before is not None:
            return before
        refusal = self.job_refusal(plain, unplaceable)
        if refusal is not None:
            return refusal
        self.count += 1
        identity = f"t{self.count}"
        queue_settings = self.queue_settings[plain["queue"]]
        tasks = tasks_from(plain, queue_settings.retries, plain["kind"] == "feed")
        urgency = queue_settings.urgency if plain["urgency"] < 0 else plain["urgency"]
        job = PushedJob(
            identity,
            key,
            digest,
            plain["queue"],
            plain["kind"],
            urgency,
            plain["due"],
            self.time,
            tasks,
            immutables.Map({name: Standing(since=self.time) for name in tasks}),
            urgency_given=plain["urgency"] >= 0,
            unplaceable=unplaceable,
        )
        self.pushed_jobs = self.pushed_jobs.set(identity, job)
        self.keys = self.keys.set(key, identity)
        self._index(job)
        self.sample.accepted(job, self._running)
        return ("accepted", identity)

    def _running(self):
        """What runs now, counted by (queue, kind, units, labels)."""
        counts = {}
        for reserved in self.reserved.values():
            for ref in reserved:
                job, task, _ = self.find(ref)
                kind = (job.queue, job.kind, task.units, task.labels)
                counts[kind] = counts.get(kind, 0) + 1
        return tuple((*kind, count) for kind, count in sorted(counts.items()))

    def _cancel(self, identity):
        job = self.pushed_job(identity)
        if job is None:
            return ("missing",)
        if job.state in ("cancelling", "cancelled"):
            return OK  # asked again, or by two
        if job.state != "pending":
            return ("ended", job.state)
        job = job._replace(state="cancelling", cancelled_at=self.time)
        self.pushed_jobs = self.pushed_jobs.set(identity, job)
        self._stop(job, "cancel")
        return OK

    def _stop(self, job, why):
        """Nothing more of a ticket starts; what runs is to be killed."""
        for name in job.tasks:  # in the document's order: a Map's differs from process to process
            standing = job.standings[name]
            if standing.state == "waiting":
                job = self._finish(job, name, standing, "cancelled")
            elif standing.state == "placed" and standing.yields_to != why:
                job = self._put(job, name, standing._replace(yields_to=why))
                self.yielding[reference(job.identity, name)] = standing.attempt
        self._close_job(job.identity)

    def _finish(self, job, name, standing, state):
        """A task becomes final."""
        if standing.state == "waiting":
            self._count(job, -1)
            self._remove_from_slot(job, unit_of(job.tasks[name]))
        job = self._put(job, name, standing._replace(state=state, yields_to="", charges=(), since=self.time))
        self.unfinished_counts[job.identity] -= 1
        if state == "done":
            unfinished_predecessors = self.unfinished_predecessors[job.identity]
            for other in self.successors[job.identity].get(name, ()):
                unfinished_predecessors[other] -= 1
                if not unfinished_predecessors[other] and job.standings[other].state == "waiting":
                    self._put_in_slot(job, other)
        return job

    def _close_job(self, identity):
        """A ticket none of whose tasks is left becomes final."""
        job = self.pushed_jobs[identity]
        if self.unfinished_counts.get(identity, 1):
            return
        state = {"cancelling": "cancelled", "failing": "failed", "pending": "finished"}[job.state]
        if state == "finished" and any(one.state != "done" for one in job.standings.values()):
            raise AssertionError(f"{identity} would finish with a task that has not ended well")
        self.pushed_jobs = self.pushed_jobs.set(identity, job._replace(state=state, ended_at=self.time))
        self.live_counts[job.queue] -= 1
        for derived in (self.unfinished_counts, self.unfinished_predecessors, self.successors):
            del derived[identity]
        self.sample.final(self.pushed_jobs[identity])
        self.finished.append((identity, self.time))
        if len(self.finished) >= constants.FINISHED_LIVE + constants.SEGMENT_JOBS:
            self._seal()

    def _seal(self):
        """Moves the oldest finished tickets into a segment of the archive."""
        old = [self.pushed_jobs[identity] for identity, _ in self.finished[: constants.SEGMENT_JOBS]]
        ended = self.finished[constants.SEGMENT_JOBS - 1][1]
        del self.finished[: constants.SEGMENT_JOBS]
        self.sealed.append(self.archive.seal(old, ended))
        for job in old:
            self.pushed_jobs = self.pushed_jobs.delete(job.identity)
            self.keys = self.keys.delete(job.key)
        self.archive.prune(self.time - constants.KEYS_KEPT)

    def _take_role(self, role, role_holder):
        epoch = self.epochs.get(role, (0, ""))[0] + 1
        self.epochs[role] = (epoch, role_holder)
        return ("epoch", epoch)

    def _place(self, epoch, version, items):
        """Items: (reference, minion, area, room, incarnation, verge, charges, address)."""
        if epoch != self.epochs.get("placing", (0, ""))[0]:
            return ("refused", "epoch")
        if version != self.version:
            return ("refused", "setup version")
        gangs = {}
        for item in items:
            found = self.find(item[0])
            if found and found[1].gang:
                gangs.setdefault((found[0].identity, found[1].gang), []).append(item)
        outcomes, decided = {}, set()
        for item in items:
            if item[0] in decided:
                continue
            found = self.find(item[0])
            group = [item]
            if found and found[1].gang:
                group = gangs[(found[0].identity, found[1].gang)]
            decided.update(one[0] for one in group)
            outcome = self._place_group(group)
            for one in group:
                outcomes[one[0]] = outcome
        return ("placed", tuple((item[0], outcomes[item[0]]) for item in items))

    def _place_group(self, group):
        """One task, or a whole gang; all of it or nothing. '' when placed."""
        needed, charged, used, queue = {}, {}, 0, None
        for ref, worker, zone, capacity, _incarnation, _front_daemon, charges, _address in group:
            found = self.find(ref)
            if found is None:
                return "unknown"
            job, task, standing = found
            queue = job.queue
            queue_settings = self.queue_settings.get(queue)
            if job.state != "pending" or standing.state != "waiting":
                return "not waiting"
            if self.unfinished_predecessors[job.identity][task.name]:
                return "forerunners"
            if job.kind != "feed" and standing.failures >= task.attempts:
                return "attempts"
            if self.time < max(task.not_before, standing.earliest):
                return "too early"
            if self.closed(worker, zone):
                return self.closed(worker, zone)
            if task.gang:
                waiting = {reference(job.identity, one) for one in self.members(job, unit_of(task))}
                if waiting != {one[0] for one in group}:
                    return "gang not whole"
            needed[worker] = needed.get(worker, sum(self.reserved.get(worker, {}).values())) + task.units
            if needed[worker] > capacity:
                return "room"
            used += task.units
            if self.used_units.get(queue, 0) + used > queue_settings.limit:
                return "limit"
            if sum(credits for _, credits in charges) != task.units:
                return "charges"
            for lender, credits in charges:
                charged[lender] = charged.get(lender, 0) + credits
                if lender != queue and (
                    job.kind == "feed"
                    or not (lender in self.queue_settings and self.queue_settings[lender].lends)
                ):
                    return "lender"  # a feed has no end that would bring the credits back
                if credits <= 0 or charged[lender] > self.balance(lender):
                    return "credits"
        for ref, worker, _zone, _capacity, incarnation, front_daemon, charges, address in group:
            job, task, standing = self.find(ref)
            standing = standing._replace(
                state="placed",
                attempt=standing.attempt + 1,
                worker=worker,
                incarnation=incarnation,
                address=address,
                placed_under=(self.epochs["placing"][0], self.version),
                front_daemon=front_daemon,
                send_by=self.time + constants.SEND_WITHIN,
                yields_to="",
                charges=tuple(tuple(one) for one in charges),
                since=self.time,
            )
            self._count(job, -1)
            self._remove_from_slot(job, unit_of(task))
            job = self._put(job, task.name, standing)
            self._reserve(job, task, standing)
        return ""

    def _ended(self, items):
        """Items: (reference, attempt, how). How: done, failed, killed, refused, never, lost."""
        outcomes = []
        for ref, attempt, how in items:
            found = self.find(ref)
            if found is None or found[2].state != "placed" or found[2].attempt != attempt:
                outcomes.append("stale")
                continue
            job, task, standing = found
            self._release(job, task, standing)
            run = (
                attempt,
                standing.worker,
                standing.front_daemon,
                how,
                standing.since,
                self.time,
                standing.placed_under,
                standing.charges,
            )
            standing = standing._replace(
                took=self.time - standing.since, past=(*standing.past, run)[-constants.ATTEMPTS_EXPLAINED :]
            )
            outcomes.append(self._end(job, task, standing, how))
            self._close_job(job.identity)
        return ("ended", tuple(outcomes))

    def _end(self, job, task, standing, how):
        if how == "done":
            self._finish(job, task.name, standing, "done")
            return "done"
        cost = how in ("failed", "lost") or (how == "killed" and standing.yields_to in ("", "limit"))
        failures = standing.failures + cost
        standing = standing._replace(lost=standing.lost + cost * standing.took)
        if how == "lost" and job.kind != "feed" and not self.queue_settings[job.queue].repeats:
            failures = max(failures, task.attempts)  # it may have finished: no second time
        if job.state != "pending":
            self._finish(job, task.name, standing._replace(failures=failures), "cancelled")
            return "cancelled"
        if cost and job.kind != "feed" and failures >= task.attempts:
            job = self._finish(job, task.name, standing._replace(failures=failures), "failed")
            job = job._replace(state="failing")
            self.pushed_jobs = self.pushed_jobs.set(job.identity, job)
            self._stop(job, "failing")
            return "failed"
        wait = 0.0
        if cost:
            wait = min(constants.RETRY_WAIT * 2 ** min(failures - 1, 10), constants.MAX_RETRY_WAIT)
        elif how == "refused":
            wait = constants.RETRY_WAIT
        standing = standing._replace(
            state="waiting",
            failures=failures,
            earliest=self.time + wait,
            yields_to="",
            charges=(),
            since=self.time,
        )
        job = self._put(job, task.name, standing)
        self._count(job, 1)
        if task.gang and how in ("never", "refused"):
            self._regather(job, task)
        self._put_in_slot(job, task.name)
        return "again"

    def _regather(self, job, task):
        """A member of a gang did not start: the others stop, so that all start together."""
        for name, other in job.tasks.items():
            standing = job.standings[name]
            if other.gang == task.gang and standing.state == "placed" and not standing.yields_to:
                job = self._put(job, name, standing._replace(yields_to="gang"))
                self.yielding[reference(job.identity, name)] = standing.attempt

    def _yield(self, epoch, items):
        """Items: (reference, attempt, for whom). Who yields to whom is decided here."""
        if epoch != self.epochs.get("placing", (0, ""))[0]:
            return ("refused", "epoch")
        outcomes = []
        for ref, attempt, whom in items:
            found = self.find(ref)
            if (
                found is None
                or found[2].state != "placed"
                or found[2].attempt != attempt
                or found[2].yields_to
            ):
                outcomes.append("stale")
                continue
            job, task, standing = found
            if whom not in ("move", "limit"):
                other = self.find(whom)
                if other is None or other[2].state != "waiting":
                    outcomes.append("nobody waits")
                    continue
                if not (
                    self.queue_settings[other[0].queue].preempts
                    and self.queue_settings[job.queue].yields
                    and other[0].urgency > job.urgency
                ):
                    outcomes.append("not allowed")
                    continue
            self._put(job, task.name, standing._replace(yields_to=whom))
            self.yielding[ref] = attempt
            outcomes.append("")
        return ("yields", tuple(outcomes))

    def _drain(self, worker, closed):
        if closed:
            self.drained[worker] = self.time
        else:
            self.drained.pop(worker, None)
            self.withdrawn.pop(worker, None)
        return OK

    def _empty_zone(self, zone, emptied):
        if emptied:
            self.emptied[zone] = self.time
        else:
            self.emptied.pop(zone, None)
        return OK

    def _withdraw(self, worker, due):
        if worker not in self.withdrawn or not self.withdrawn[worker][1]:
            self.withdrawn[worker] = (due, False)
        return OK

    def _withdrawal_due(self, worker):
        """The operator's word that a machine is withdrawn has come due."""
        due, gone = self.withdrawn.get(worker, (0.0, True))
        if gone or self.time < due:
            return ("refused", "not due")
        self.withdrawn[worker] = (due, True)
        items = []
        for ref in sorted(self.reserved.get(worker, {})):
            items.append((ref, self.find(ref)[2].attempt, "never"))
        return self._ended(items)

    # --- checking ---------------------------------------------------------------------
    def audit(self):
        """Raises unless what is derived step by step equals what follows from the rest."""
        names = (
            "reserved",
            "used_units",
            "outstanding_credits",
            "waiting_counts",
            "unplaceable",
            "ready_units",
            "slots",
            "live_counts",
            "unfinished_predecessors",
            "unfinished_counts",
            "yielding",
        )
        kept = [getattr(self, name) for name in names]
        self._derive()
        for name, one in zip(names, kept, strict=False):
            other = getattr(self, name)
            if _bare(one) != _bare(other):
                raise AssertionError(f"{name} has drifted: {_bare(one)!r} is not {_bare(other)!r}")


def _bare(derived):
    """A derived map without its empty entries."""
    result = {}
    for key, value in derived.items():
        value = _bare(value) if isinstance(value, dict) else value
        if value not in (0, {}) or value is None:
            result[key] = value
    return result


def _plain(encoder, value):
    if isinstance(value, immutables.Map):
        encoder.encode(dict(value))
    else:
        raise TypeError(type(value).__name__)


def _pairs(lists):
    return tuple(tuple(one) for one in lists)


def _job_of_image(image):
    job = PushedJob(*image)
    tasks = {}
    for name, one in job.tasks.items():
        task = Task(*one)
        tasks[name] = task._replace(labels=tuple(task.labels), after=tuple(task.after))
    standings = {}
    for name, one in job.standings.items():
        standing = Standing(*one)
        standings[name] = standing._replace(
            charges=_pairs(standing.charges),
            placed_under=tuple(standing.placed_under),
            past=tuple((*run[:6], tuple(run[6]), _pairs(run[7])) for run in standing.past),
        )
    return job._replace(tasks=tasks, standings=immutables.Map(standings))


def _nothing(cluster_state, *rest):
    """An entry that is of consensus alone."""
    return OK


def _level(cluster_state, level):
    """All members know the operations up to `level`."""
    cluster_state.level = max(cluster_state.level, level)
    return OK


def _on_leased_jobs(name):
    """An operation of the board, told the agreed time."""

    def act(cluster_state, *arguments):
        return getattr(cluster_state.leased_jobs, name)(cluster_state.time, *arguments)

    return act


def _assign(cluster_state, epoch, items):
    """Placements of the board, under the placing epoch."""
    if epoch != cluster_state.epochs.get("placing", (0, ""))[0]:
        return ("refused", "epoch")
    return ("assigned", cluster_state.leased_jobs.assign(cluster_state.time, epoch, items))


def _evacuate(cluster_state, zone, begun, confirmed=None):
    """An order for a zone, with a confirmed index of the log since level 3."""
    return cluster_state.leased_jobs.evacuate(cluster_state.time, zone, begun, cluster_state.index, confirmed)


def _stop_runs(cluster_state, epoch, items):
    if epoch != cluster_state.epochs.get("placing", (0, ""))[0]:
        return ("refused", "epoch")
    return cluster_state.leased_jobs.stop(cluster_state.time, items)


# The registry of operations: a new one is an entry here.
ACTIONS = {
    "noop": _nothing,
    "members": _nothing,
    "ticket": ClusterState._accept_job,
    "cancel": ClusterState._cancel,
    "duty": ClusterState._take_role,
    "place": ClusterState._place,
    "ended": ClusterState._ended,
    "yield": ClusterState._yield,
    "drain": ClusterState._drain,
    "area": ClusterState._empty_zone,
    "withdraw": ClusterState._withdraw,
    "gone": ClusterState._withdrawal_due,
    "setup": ClusterState._change_queue_configuration,
    "draft": ClusterState._draft,
    "rehearse": ClusterState._rehearse,
    "measure": ClusterState._measure,
    "approve": ClusterState._approve,
    "drop": ClusterState._drop,
    "hold": ClusterState._pause_approvals,
    "level": _level,
    "job": _on_leased_jobs("accept"),
    "job-cancel": _on_leased_jobs("cancel"),
    "job-assign": _assign,
    "job-stop": _stop_runs,
    "job-ended": _on_leased_jobs("end"),
    "configure": _on_leased_jobs("configure"),
    "amend": _on_leased_jobs("amend"),
    "evacuate": _evacuate,
    "evacuation": _evacuate,
}
ClusterState.actions = ACTIONS
ClusterState.levels = {
    name: 2
    for name in (
        "level",
        "job",
        "job-cancel",
        "job-assign",
        "job-stop",
        "job-ended",
        "configure",
        "amend",
        "evacuate",
    )
}
ClusterState.levels["evacuation"] = 3
