"""The record: the deterministic state machine of the log.

apply(time, operation) gives an outcome, a tuple whose first word says how it went. It
reads no clock and draws no chance, so every accord comes to the same record.
"""

import bisect
import heapq

import cbor2
import immutables

from ..common import constants
from ..model import queue_settings as rows
from ..model.pushed_job import Ticket, tasks_from
from ..model.task import FINAL, Standing, Task, reference, unit_of
from ..scheduling.leased_job_state import Board
from .archive import Archive
from .change_watermarks import Marks
from .configuration_history import History
from .queue_table import OK, Table
from .traffic_sample import Sample


class Record(Table):
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
        self.tickets = immutables.Map()
        self.keys = immutables.Map()
        self.count = 0
        self.finished = ()  # pairs (identity, ended_at) are kept in order of their end
        self.version = 1
        self.setup = rows.checked(rows.FIRST)[0]
        self.setups = History()
        self.setups.add(1, self.setup, "founding", "the setup every cohort begins with", 0.0, 0)
        self.epochs = {}
        self.drained = {}
        self.emptied = {}
        self.withdrawn = {}  # minion -> (due, gone)
        self.holds = {}  # alert -> (since, why), while it holds approvals back
        self.drafts = immutables.Map()
        self.draft_count = 0
        self.archive = Archive()
        self.board = Board()
        self.level = 1  # of operations; agreed once all members knew it, never falls
        self.sealed = []  # (number, bytes) of segments sealed since the decider took them
        self.sample = Sample()
        self.marks = Marks()
        self.ripe_at = 0.0  # not part of the image: it moves with who asks
        self._derive()

    # --- image ------------------------------------------------------------------------
    def image(self):
        """A value that later changes leave alone; encode() turns it to bytes."""
        return (
            self.time,
            self.index,
            self.tickets,
            self.keys,
            self.count,
            tuple(self.finished),
            self.version,
            self.setup,
            self.setups.image(),
            dict(self.epochs),
            dict(self.drained),
            dict(self.emptied),
            dict(self.withdrawn),
            self.drafts,
            self.draft_count,
            self.marks.image(),
            self.sample.image(),
            self.archive.image(),
            dict(self.holds),
            self.board.image(),
            self.level,
        )

    @staticmethod
    def encode(image):
        return cbor2.dumps(image, default=_plain)

    @classmethod
    def decode(cls, data, segments=None):
        """The record of an image and the segments that it stands on."""
        record = cls()
        (
            record.time,
            record.index,
            tickets,
            keys,
            record.count,
            finished,
            record.version,
            record.setup,
            setups,
            epochs,
            record.drained,
            record.emptied,
            withdrawn,
            drafts,
            record.draft_count,
            marks,
            sample,
            lines,
            holds,
            board,
            record.level,
        ) = cbor2.loads(data)
        record.board = Board.from_image(board)
        record.holds = {alert: tuple(one) for alert, one in holds.items()}
        record.archive = Archive(lines, segments)
        record.sample = Sample(sample)
        record.marks = Marks(*marks)
        record.tickets = immutables.Map({one: _ticket(image) for one, image in tickets.items()})
        record.keys = immutables.Map(keys)
        record.finished = [tuple(one) for one in finished]
        record.setups = History(setups)
        record.epochs = {duty: tuple(one) for duty, one in epochs.items()}
        record.withdrawn = {minion: tuple(one) for minion, one in withdrawn.items()}
        record.drafts = immutables.Map(drafts)
        record._derive()
        return record

    def _derive(self):
        """Builds what follows from the rest."""
        self.finished = list(self.finished)
        self.rows = {queue: rows.row_of(row) for queue, row in self.setup["queues"].items()}
        self.reserved = {}  # minion -> {reference: units}
        self.used, self.outstanding, self.waiting, self.parked = {}, {}, {}, {}
        self.ready, self.early, self.spots = {}, [], {}
        self.live = {}  # queue -> live tickets
        self.fronts = {}  # ticket -> {task: forerunners not done}
        self.behind = {}  # ticket -> {task: tasks that wait for it}
        self.left = {}  # ticket -> tasks not final
        self.yielding = {}  # reference -> attempt
        for identity in sorted(self.tickets, key=lambda one: int(one[1:])):
            ticket = self.tickets[identity]
            if ticket.state in ("pending", "cancelling", "failing"):
                self._index(ticket)

    def _index(self, ticket):
        self.live[ticket.queue] = self.live.get(ticket.queue, 0) + 1
        behind, fronts, left, units = {}, {}, 0, {}
        self.behind[ticket.identity], self.fronts[ticket.identity] = behind, fronts
        for name, task in ticket.tasks.items():
            standing = ticket.standings[name]
            fronts[name] = sum(ticket.standings[one].state != "done" for one in task.after)
            for one in task.after:
                behind.setdefault(one, []).append(name)
            left += standing.state not in FINAL
            if standing.state == "waiting":
                self._count(ticket, 1)
                units[unit_of(task)] = name
            elif standing.state == "placed":
                self._hold(ticket, task, standing)
                if standing.yields_to:
                    self.yielding[reference(ticket.identity, name)] = standing.attempt
        self.left[ticket.identity] = left
        for name in units.values():
            self._ready_in(ticket, name)

    def _count(self, ticket, step):
        """Counts a waiting task of a ticket in or out."""
        counted = self.parked if ticket.parked else self.waiting
        counted[ticket.queue] = counted.get(ticket.queue, 0) + step

    def members(self, ticket, unit):
        """The waiting tasks of a unit, in the ticket's order."""
        if unit[0] != "/":
            return (unit,) if ticket.standings[unit].state == "waiting" else ()
        return tuple(
            name
            for name, task in ticket.tasks.items()
            if task.gang == unit[1:] and ticket.standings[name].state == "waiting"
        )

    def _ready_in(self, ticket, name):
        """Puts the unit of a task where it belongs now: ready, early, or nowhere."""
        unit = unit_of(ticket.tasks[name])
        self._ready_out(ticket, unit)
        members, fronts = self.members(ticket, unit), self.fronts[ticket.identity]
        if not members or any(fronts[one] for one in members):
            return
        begins = max(max(ticket.tasks[one].not_before, ticket.standings[one].earliest) for one in members)
        shape = (ticket.kind, *sorted((ticket.tasks[one].units, ticket.tasks[one].labels) for one in members))
        number = int(ticket.identity[1:])
        patience = ticket.accepted + constants.DUE_UNNAMED
        entry = (min(ticket.due or patience, patience), number, unit)
        self.spots[(ticket.identity, unit)] = (begins, ticket.queue, ticket.urgency, shape, entry)
        if begins <= self.ripe_at:
            self._ripe(ticket.queue, ticket.urgency, shape, entry)
        else:
            heapq.heappush(self.early, (begins, number, unit))

    def _ripe(self, queue, urgency, shape, entry):
        shapes = self.ready.setdefault(queue, {}).setdefault(urgency, {})
        bisect.insort(shapes.setdefault(shape, []), entry)

    def _ready_out(self, ticket, unit):
        spot = self.spots.pop((ticket.identity, unit), None)
        if spot is None or spot[0] > self.ripe_at:
            return
        _, queue, urgency, shape, entry = spot
        shapes = self.ready[queue][urgency]
        del shapes[shape][bisect.bisect_left(shapes[shape], entry)]
        if not shapes[shape]:
            del shapes[shape]
            if not shapes:
                del self.ready[queue][urgency]
                if not self.ready[queue]:
                    del self.ready[queue]

    def ripen(self, time):
        """Moves the units whose time has come by `time` from the early to the ready; when
        the next one's comes, or None."""
        self.ripe_at = max(self.ripe_at, time)
        last = None
        while self.early:
            begins, number, unit = self.early[0]
            spot = self.spots.get((f"t{number}", unit))
            if spot is not None and spot[0] == begins and self.early[0] != last:
                if begins > self.ripe_at:
                    return begins
                self._ripe(*spot[1:])
            last = heapq.heappop(self.early)
        return None

    def _hold(self, ticket, task, standing):
        self.reserved.setdefault(standing.minion, {})[reference(ticket.identity, task.name)] = task.units
        self.used[ticket.queue] = self.used.get(ticket.queue, 0) + task.units
        for queue, credits in standing.charges:
            self.outstanding[queue] = self.outstanding.get(queue, 0) + credits

    def _release(self, ticket, task, standing):
        held = self.reserved[standing.minion]
        del held[reference(ticket.identity, task.name)]
        if not held:
            del self.reserved[standing.minion]
        self.used[ticket.queue] -= task.units
        for queue, credits in standing.charges:
            self.outstanding[queue] -= credits
        self.yielding.pop(reference(ticket.identity, task.name), None)

    # --- reading ----------------------------------------------------------------------
    def balance(self, queue):
        """Credits a queue holds now: its share less what is out, lent or used itself."""
        row = self.rows.get(queue)
        return (row.share if row else 0) - self.outstanding.get(queue, 0)

    def find(self, ref):
        """(ticket, task, standing) of a reference to a ticket not yet archived, or None."""
        identity, _, name = ref.partition("/")
        ticket = self.tickets.get(identity)
        if ticket is None or name not in ticket.tasks:
            return None
        return ticket, ticket.tasks[name], ticket.standings[name]

    def ticket(self, identity):
        """A ticket, live, finished or archived, or None."""
        found = self.tickets.get(identity)
        if found is None:
            image = self.archive.read(identity)
            found = _ticket(image) if image is not None else None
        return found

    def closed(self, minion, area):
        """Why a minion may get no new work, or ''."""
        if minion in self.withdrawn:
            return "withdrawn"
        if minion in self.drained:
            return "draining"
        return "area emptied" if area in self.emptied else ""

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

    def _put(self, ticket, name, standing):
        self.tickets = self.tickets.set(
            ticket.identity, ticket._replace(standings=ticket.standings.set(name, standing))
        )
        return self.tickets[ticket.identity]

    def ticket_refusal(self, plain, parked=""):
        """Why a checked document can't be taken now, or None; the leader asks it first.
        `parked` says why no minion known to the leader could take it, or nothing."""
        row = self.rows.get(plain["queue"])
        if row is None:
            return ("invalid", (("queue", f"no queue {plain['queue']!r}"),))
        over = tuple(
            (f"tasks.{place}.units", f"{task['units']} units, over the queue's limit of {row.limit}")
            for place, task in enumerate(plain["tasks"])
            if task["units"] > row.limit
        )
        gangs = {}
        for task in plain["tasks"]:
            if task["gang"]:
                gangs[task["gang"]] = gangs.get(task["gang"], 0) + task["units"]
        over += tuple(
            (f"gang {gang}", f"{units} units together, over the queue's limit of {row.limit}")
            for gang, units in gangs.items()
            if units > row.limit
        )
        if over:
            return ("invalid", over)
        if parked:
            most = row.pending // constants.PARKED_PART
            if self.parked.get(plain["queue"], 0) + len(plain["tasks"]) > most:
                return (
                    "shed",
                    f"{parked}; the {most} waiting tasks that a queue keeps for such tickets are taken",
                )
        elif self.waiting.get(plain["queue"], 0) + len(plain["tasks"]) > row.pending:
            return ("shed", "queue full")
        if len(self.tickets) - len(self.finished) >= constants.TICKETS_MOST:
            return ("shed", "record full")
        return None

    def known(self, key, digest):
        """The outcome for a key seen before, or None."""
        identity = self.keys.get(key)
        if identity is not None:
            held = self.tickets[identity].digest
        else:
            image = self.archive.known(key)
            if image is None:
                return None
            identity, held = image[0], image[2]
        return ("known", identity) if held == digest else ("mismatch", identity)

    def _ticket(self, key, digest, plain, parked=""):
        before = self.known(key, digest)
        if before is not None:
            return before
        refusal = self.ticket_refusal(plain, parked)
        if refusal is not None:
            return refusal
        self.count += 1
        identity = f"t{self.count}"
        row = self.rows[plain["queue"]]
        tasks = tasks_from(plain, row.retries, plain["kind"] == "feed")
        urgency = row.urgency if plain["urgency"] < 0 else plain["urgency"]
        ticket = Ticket(
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
            named=plain["urgency"] >= 0,
            parked=parked,
        )
        self.tickets = self.tickets.set(identity, ticket)
        self.keys = self.keys.set(key, identity)
        self._index(ticket)
        self.sample.accepted(ticket, self._running)
        return ("accepted", identity)

    def _running(self):
        """What runs now, counted by (queue, kind, units, labels)."""
        counts = {}
        for held in self.reserved.values():
            for ref in held:
                ticket, task, _ = self.find(ref)
                kind = (ticket.queue, ticket.kind, task.units, task.labels)
                counts[kind] = counts.get(kind, 0) + 1
        return tuple((*kind, count) for kind, count in sorted(counts.items()))

    def _cancel(self, identity):
        ticket = self.ticket(identity)
        if ticket is None:
            return ("missing",)
        if ticket.state in ("cancelling", "cancelled"):
            return OK  # asked again, or by two
        if ticket.state != "pending":
            return ("ended", ticket.state)
        ticket = ticket._replace(state="cancelling", cancelled_at=self.time)
        self.tickets = self.tickets.set(identity, ticket)
        self._stop(ticket, "cancel")
        return OK

    def _stop(self, ticket, why):
        """Nothing more of a ticket starts; what runs is to be killed."""
        for name in ticket.tasks:  # in the document's order: a Map's differs from process to process
            standing = ticket.standings[name]
            if standing.state == "waiting":
                ticket = self._finish(ticket, name, standing, "cancelled")
            elif standing.state == "placed" and standing.yields_to != why:
                ticket = self._put(ticket, name, standing._replace(yields_to=why))
                self.yielding[reference(ticket.identity, name)] = standing.attempt
        self._settle(ticket.identity)

    def _finish(self, ticket, name, standing, state):
        """A task becomes final."""
        if standing.state == "waiting":
            self._count(ticket, -1)
            self._ready_out(ticket, unit_of(ticket.tasks[name]))
        ticket = self._put(
            ticket, name, standing._replace(state=state, yields_to="", charges=(), since=self.time)
        )
        self.left[ticket.identity] -= 1
        if state == "done":
            fronts = self.fronts[ticket.identity]
            for other in self.behind[ticket.identity].get(name, ()):
                fronts[other] -= 1
                if not fronts[other] and ticket.standings[other].state == "waiting":
                    self._ready_in(ticket, other)
        return ticket

    def _settle(self, identity):
        """A ticket none of whose tasks is left becomes final."""
        ticket = self.tickets[identity]
        if self.left.get(identity, 1):
            return
        state = {"cancelling": "cancelled", "failing": "failed", "pending": "finished"}[ticket.state]
        if state == "finished" and any(one.state != "done" for one in ticket.standings.values()):
            raise AssertionError(f"{identity} would finish with a task that has not ended well")
        self.tickets = self.tickets.set(identity, ticket._replace(state=state, ended_at=self.time))
        self.live[ticket.queue] -= 1
        for derived in (self.left, self.fronts, self.behind):
            del derived[identity]
        self.sample.final(self.tickets[identity])
        self.finished.append((identity, self.time))
        if len(self.finished) >= constants.FINISHED_LIVE + constants.SEGMENT_TICKETS:
            self._seal()

    def _seal(self):
        """Moves the oldest finished tickets into a segment of the archive."""
        old = [self.tickets[identity] for identity, _ in self.finished[: constants.SEGMENT_TICKETS]]
        ended = self.finished[constants.SEGMENT_TICKETS - 1][1]
        del self.finished[: constants.SEGMENT_TICKETS]
        self.sealed.append(self.archive.seal(old, ended))
        for ticket in old:
            self.tickets = self.tickets.delete(ticket.identity)
            self.keys = self.keys.delete(ticket.key)
        self.archive.prune(self.time - constants.KEYS_KEPT)

    def _duty(self, duty, holder):
        epoch = self.epochs.get(duty, (0, ""))[0] + 1
        self.epochs[duty] = (epoch, holder)
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
        room, charged, used, queue = {}, {}, 0, None
        for ref, minion, area, size, _incarnation, _verge, charges, _address in group:
            found = self.find(ref)
            if found is None:
                return "unknown"
            ticket, task, standing = found
            queue = ticket.queue
            row = self.rows.get(queue)
            if ticket.state != "pending" or standing.state != "waiting":
                return "not waiting"
            if self.fronts[ticket.identity][task.name]:
                return "forerunners"
            if ticket.kind != "feed" and standing.failures >= task.attempts:
                return "attempts"
            if self.time < max(task.not_before, standing.earliest):
                return "too early"
            if self.closed(minion, area):
                return self.closed(minion, area)
            if task.gang:
                waiting = {reference(ticket.identity, one) for one in self.members(ticket, unit_of(task))}
                if waiting != {one[0] for one in group}:
                    return "gang not whole"
            room[minion] = room.get(minion, sum(self.reserved.get(minion, {}).values())) + task.units
            if room[minion] > size:
                return "room"
            used += task.units
            if self.used.get(queue, 0) + used > row.limit:
                return "limit"
            if sum(credits for _, credits in charges) != task.units:
                return "charges"
            for lender, credits in charges:
                charged[lender] = charged.get(lender, 0) + credits
                if lender != queue and (
                    ticket.kind == "feed" or not (lender in self.rows and self.rows[lender].lends)
                ):
                    return "lender"  # a feed has no end that would bring the credits back
                if credits <= 0 or charged[lender] > self.balance(lender):
                    return "credits"
        for ref, minion, _area, _size, incarnation, verge, charges, address in group:
            ticket, task, standing = self.find(ref)
            standing = standing._replace(
                state="placed",
                attempt=standing.attempt + 1,
                minion=minion,
                incarnation=incarnation,
                address=address,
                ground=(self.epochs["placing"][0], self.version),
                verge=verge,
                send_by=self.time + constants.SEND_WITHIN,
                yields_to="",
                charges=tuple(tuple(one) for one in charges),
                since=self.time,
            )
            self._count(ticket, -1)
            self._ready_out(ticket, unit_of(task))
            ticket = self._put(ticket, task.name, standing)
            self._hold(ticket, task, standing)
        return ""

    def _ended(self, items):
        """Items: (reference, attempt, how). How: done, failed, killed, refused, never, lost."""
        outcomes = []
        for ref, attempt, how in items:
            found = self.find(ref)
            if found is None or found[2].state != "placed" or found[2].attempt != attempt:
                outcomes.append("stale")
                continue
            ticket, task, standing = found
            self._release(ticket, task, standing)
            run = (
                attempt,
                standing.minion,
                standing.verge,
                how,
                standing.since,
                self.time,
                standing.ground,
                standing.charges,
            )
            standing = standing._replace(
                took=self.time - standing.since, past=(*standing.past, run)[-constants.ATTEMPTS_TOLD :]
            )
            outcomes.append(self._end(ticket, task, standing, how))
            self._settle(ticket.identity)
        return ("ended", tuple(outcomes))

    def _end(self, ticket, task, standing, how):
        if how == "done":
            self._finish(ticket, task.name, standing, "done")
            return "done"
        cost = how in ("failed", "lost") or (how == "killed" and standing.yields_to in ("", "limit"))
        failures = standing.failures + cost
        standing = standing._replace(lost=standing.lost + cost * standing.took)
        if how == "lost" and ticket.kind != "feed" and not self.rows[ticket.queue].repeats:
            failures = max(failures, task.attempts)  # it may have finished: no second time
        if ticket.state != "pending":
            self._finish(ticket, task.name, standing._replace(failures=failures), "cancelled")
            return "cancelled"
        if cost and ticket.kind != "feed" and failures >= task.attempts:
            ticket = self._finish(ticket, task.name, standing._replace(failures=failures), "failed")
            ticket = ticket._replace(state="failing")
            self.tickets = self.tickets.set(ticket.identity, ticket)
            self._stop(ticket, "failing")
            return "failed"
        wait = 0.0
        if cost:
            wait = min(constants.RETRY_WAIT * 2 ** min(failures - 1, 10), constants.RETRY_WAIT_MOST)
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
        ticket = self._put(ticket, task.name, standing)
        self._count(ticket, 1)
        if task.gang and how in ("never", "refused"):
            self._regather(ticket, task)
        self._ready_in(ticket, task.name)
        return "again"

    def _regather(self, ticket, task):
        """A member of a gang did not start: the others stop, so that all start together."""
        for name, other in ticket.tasks.items():
            standing = ticket.standings[name]
            if other.gang == task.gang and standing.state == "placed" and not standing.yields_to:
                ticket = self._put(ticket, name, standing._replace(yields_to="gang"))
                self.yielding[reference(ticket.identity, name)] = standing.attempt

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
            ticket, task, standing = found
            if whom not in ("move", "limit"):
                other = self.find(whom)
                if other is None or other[2].state != "waiting":
                    outcomes.append("nobody waits")
                    continue
                if not (
                    self.rows[other[0].queue].preempts
                    and self.rows[ticket.queue].yields
                    and other[0].urgency > ticket.urgency
                ):
                    outcomes.append("not allowed")
                    continue
            self._put(ticket, task.name, standing._replace(yields_to=whom))
            self.yielding[ref] = attempt
            outcomes.append("")
        return ("yields", tuple(outcomes))

    def _drain(self, minion, closed):
        if closed:
            self.drained[minion] = self.time
        else:
            self.drained.pop(minion, None)
            self.withdrawn.pop(minion, None)
        return OK

    def _area(self, area, emptied):
        if emptied:
            self.emptied[area] = self.time
        else:
            self.emptied.pop(area, None)
        return OK

    def _withdraw(self, minion, due):
        if minion not in self.withdrawn or not self.withdrawn[minion][1]:
            self.withdrawn[minion] = (due, False)
        return OK

    def _gone(self, minion):
        """The operator's word that a machine is withdrawn has come due."""
        due, gone = self.withdrawn.get(minion, (0.0, True))
        if gone or self.time < due:
            return ("refused", "not due")
        self.withdrawn[minion] = (due, True)
        items = []
        for ref in sorted(self.reserved.get(minion, {})):
            items.append((ref, self.find(ref)[2].attempt, "never"))
        return self._ended(items)

    # --- checking ---------------------------------------------------------------------
    def audit(self):
        """Raises unless what is derived step by step equals what follows from the rest."""
        names = (
            "reserved",
            "used",
            "outstanding",
            "waiting",
            "parked",
            "ready",
            "spots",
            "live",
            "fronts",
            "left",
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


def _ticket(image):
    ticket = Ticket(*image)
    tasks = {}
    for name, one in ticket.tasks.items():
        task = Task(*one)
        tasks[name] = task._replace(labels=tuple(task.labels), after=tuple(task.after))
    standings = {}
    for name, one in ticket.standings.items():
        standing = Standing(*one)
        standings[name] = standing._replace(
            charges=_pairs(standing.charges),
            ground=tuple(standing.ground),
            past=tuple((*run[:6], tuple(run[6]), _pairs(run[7])) for run in standing.past),
        )
    return ticket._replace(tasks=tasks, standings=immutables.Map(standings))


def _nothing(record, *rest):
    """An entry that is of consensus alone."""
    return OK


def _level(record, level):
    """All members know the operations up to `level`."""
    record.level = max(record.level, level)
    return OK


def _on_board(name):
    """An operation of the board, told the agreed time."""

    def act(record, *arguments):
        return getattr(record.board, name)(record.time, *arguments)

    return act


def _assign(record, epoch, items):
    """Placements of the board, under the placing epoch."""
    if epoch != record.epochs.get("placing", (0, ""))[0]:
        return ("refused", "epoch")
    return ("assigned", record.board.assign(record.time, epoch, items))


def _evacuate(record, zone, begun, confirmed=None):
    """An order for a zone, with a confirmed index of the log since level 3."""
    return record.board.evacuate(record.time, zone, begun, record.index, confirmed)


def _stop_runs(record, epoch, items):
    if epoch != record.epochs.get("placing", (0, ""))[0]:
        return ("refused", "epoch")
    return record.board.stop(record.time, items)


# The registry of operations: a new one is an entry here.
ACTIONS = {
    "noop": _nothing,
    "members": _nothing,
    "ticket": Record._ticket,
    "cancel": Record._cancel,
    "duty": Record._duty,
    "place": Record._place,
    "ended": Record._ended,
    "yield": Record._yield,
    "drain": Record._drain,
    "area": Record._area,
    "withdraw": Record._withdraw,
    "gone": Record._gone,
    "setup": Record._setup,
    "draft": Record._draft,
    "rehearse": Record._rehearse,
    "measure": Record._measure,
    "approve": Record._approve,
    "drop": Record._drop,
    "hold": Record._hold_approvals,
    "level": _level,
    "job": _on_board("accept"),
    "job-cancel": _on_board("cancel"),
    "job-assign": _assign,
    "job-stop": _stop_runs,
    "job-ended": _on_board("end"),
    "configure": _on_board("configure"),
    "amend": _on_board("amend"),
    "evacuate": _evacuate,
    "evacuation": _evacuate,
}
Record.actions = ACTIONS
Record.levels = {
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
Record.levels["evacuation"] = 3
