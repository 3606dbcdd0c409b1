"""A stand-in for a worker whose tasks run under a lease: a decider that the simulator runs.

It keeps a history of its runs, of their ends and of which ends were acknowledged, for checks after the
fact. Effects: ("beat", address, number, identity, document), ("leave", address, identity). The spec of a
job, a JSON text with one object for each step, states what its tasks do.
"""

import json
import random

ANSWER_TIMEOUT = 1.0  # seconds by its clock; a later answer is dropped, and the next daemon is called
MAX_LEASE = 5.0  # seconds by its clock; a longer lease is cut back to this
HEARTBEAT_PERIOD = 1.0  # seconds; between heartbeats unless an answer asks for another period
HEARTBEAT_SOON = 0.05  # seconds; a heartbeat follows an end, or a failed heartbeat, this soon
GANG_WAIT = 3.0  # seconds; a gang's member waits for the others this long
STOP_GRACE = 0.6  # seconds; a stop takes at most this
SAVE_EVERY = 0.5  # seconds of work; between two checkpoints
RESTORE = 0.1  # seconds; the delay of a run that resumes from a checkpoint
DRAIN = 2.0  # seconds; it keeps serving this long once its draining was acknowledged
DRAIN_MARGIN = 0.2  # seconds; added to DRAIN
DRAIN_TIMEOUT = 4.0  # seconds; it ends after this if its draining is not acknowledged
MAX_LISTED_ENDS = 500  # ends; most in one heartbeat
SLOWEST_CLOCK = 0.02  # fraction; by which its steady clock may run slow


class StandInLeaseWorker:
    """Invariants: `running` contains every active run, also one that is being stopped; `ended` contains, by
    number, every end that no answer has acknowledged; at most one heartbeat is unanswered; the history is
    append-only; no run outlasts `lease_until` by the worker's clock; `fence` never decreases within one
    incarnation.

    `gangs` is shared by all workers: (job, time, step, run) -> the state of the gang.
    """

    def __init__(
        self, name, zone, address, capacity, labels, guards, seed, history, service, control_daemons, gangs
    ):
        self.name, self.zone, self.address, self.capacity = name, zone, address, tuple(capacity)
        self.labels, self.guards, self.service = list(labels), guards, service
        self.control_daemons, self.gangs, self.history, self.seed = control_daemons, gangs, history, seed
        self.random = random.Random(f"tenant-{name}-{seed}")
        self.rate = 1.0 - self.random.choice((0.0, SLOWEST_CLOCK / 2, SLOWEST_CLOCK))
        self.clock_ahead = self.random.uniform(0, 1e5)
        self.births = 0
        self.fail_rate = 0.0  # of runs, in addition to that in their spec
        self.slow = 1.0  # times the length of every task
        self.begin()

    def begin(self):
        """Starts a new incarnation, which has no runs and remembers nothing."""
        self.births += 1
        self.identity = f"i-{self.name}-{self.births}-{self.random.randrange(16**6):06x}"
        self.running = {}  # (reference, run) -> its state, a dict
        self.had = set()  # (reference, run) of all runs that were ever started or refused here
        self.barred = {}  # reference -> highest run that stopped or ended here
        self.ended = {}  # number -> (reference, run, how, saved)
        self.end_count = self.sequence = self.fence = 0
        self.home = None
        self.turn = self.random.randrange(len(self.control_daemons))
        self.out = None  # (number, address, own clock when sent, reported state) of the unanswered heartbeat
        self.next_at = -1e9
        self.urgent = False
        self.lease_until = None
        self.state, self.leaves_at, self.drained_at, self.over = "ready", None, None, False
        self.ticked = None
        self.says_leave = False  # whether it is to report that it leaves without having reported draining

    def own(self, now):
        """The time by its steady clock, seconds."""
        return self.clock_ahead + now * self.rate

    def crash(self, now):
        """Ends all runs at once. Ends that were not reported yet are lost."""
        for key in list(self.running):
            self._leave_gang(key, "gone")
            self.history.append(("gone", now, self.name, self.identity, *key))
        self.running, self.ended, self.out = {}, {}, None

    def drain(self, now):
        """Begins a planned end: the worker drains."""
        if self.state == "ready":
            self.state, self.leaves_at, self.next_at = "draining", now + DRAIN_TIMEOUT, now

    def leave_first(self, now):
        """Begins a planned end in which the worker reports that it leaves without having drained. Its runs go
        on for as long as those of one that drains.
        """
        if self.state == "ready" and self.leaves_at is None:
            self.says_leave, self.leaves_at = True, now + DRAIN + DRAIN_MARGIN

    def step(self, message, now):
        """Processes a message at a time in seconds of the simulator; returns effects."""
        kind, *rest = message
        return getattr(self, f"_on_{kind}")(*rest, now)

    # --- time -------------------------------------------------------------------------
    def _on_tick(self, now):
        if self.over:
            return []
        own = self.own(now)
        if self.lease_until is not None and own >= self.lease_until:
            self.lease_until = None
            self.history.append(("lapse", now, self.name, self.identity))
            for key in list(self.running):
                self._end(key, "lapsed", now)
        passed = 0.0 if self.ticked is None else now - self.ticked
        self.ticked = now
        for key in list(self.running):
            if key in self.running:
                self._advance(key, passed, now)
        if self.leaves_at is not None and now >= self.leaves_at:
            self.over = True
            self.crash(now)
            return [("end" if self.state == "ready" else "leave", self._target(), self.identity)]
        if self.says_leave:
            self.says_leave = False
            return [("leave", self._target(), self.identity)]
        if self.out is not None and own - self.out[2] > ANSWER_TIMEOUT:
            self._move_on(now)
        if self.out is None and now >= self.next_at:
            return [self._heartbeat(now)]
        return []

    def _advance(self, key, passed, now):
        """Advances one run by the seconds that passed; it may end."""
        one = self.running[key]
        if one["stop_at"] is not None:
            if now >= one["stop_at"]:
                self._end(key, "stopped", now)
            return
        gang = one["gang"]
        if gang is not None:
            standing = self.gangs[gang]
            if standing["over"] is not None:
                self._end(key, "done" if standing["over"] == "done" else "broken", now)
                return
            if standing["begun"] is None:
                if now - one["began"] >= GANG_WAIT:
                    self._end(key, "alone", now)
                return
        if now < one["works_from"]:
            return
        one["progress"] += passed / self.slow
        if one["saves"] and one["progress"] >= one["saved_at"] + SAVE_EVERY:
            self._save(one)
        if one["fails_at"] is not None and one["progress"] >= one["fails_at"]:
            self._end(key, "failed", now)
        elif one["seconds"] is not None and one["progress"] >= one["seconds"]:
            self._end(key, "done", now)

    def _save(self, one):
        one["saved_at"] = one["progress"]
        one["saved"] = f"{one['owner']}:{one['progress']:.3f}"

    def _end(self, key, how, now):
        one = self.running[key]
        if one["saves"] and how == "stopped" and one["progress"] > 0:
            self._save(one)
        self._leave_gang(key, how)
        del self.running[key]
        self._list_end(key, how, one["saved"], now)

    def _list_end(self, key, how, saved, now):
        self.end_count += 1
        self.ended[self.end_count] = (*key, how, saved)
        self.barred[key[0]] = max(self.barred.get(key[0], 0), key[1])
        self.history.append(("end", now, self.name, self.identity, *key, how, self.end_count, saved))
        self.urgent = True
        if self.out is None:
            self.next_at = min(self.next_at, now + HEARTBEAT_SOON)

    def _leave_gang(self, key, how):
        gang = self.running[key]["gang"]
        if gang is not None and self.gangs[gang]["over"] is None:
            self.gangs[gang]["over"] = how

    # --- heartbeats ------------------------------------------------------------------------
    def _target(self):
        return (
            self.home
            if self.home is not None
            else self.control_daemons[self.turn % len(self.control_daemons)]
        )

    def _move_on(self, now):
        """Sends the next heartbeat to another daemon, because the unanswered one failed."""
        self.out, self.home = None, None
        self.turn += 1
        self.next_at = now + HEARTBEAT_SOON

    def _heartbeat(self, now):
        self.sequence += 1
        self.urgent = False
        self.out = (self.sequence, self._target(), self.own(now), self.state)
        return ("beat", self._target(), self.sequence, self.identity, self.document(now))

    def document(self, now):
        """The document of a heartbeat."""
        leaves = None
        if self.state == "draining":
            leaves = DRAIN if self.drained_at is None else max(0.0, self.drained_at + DRAIN - now)
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "state": self.state,
            "sequence": self.sequence,
            "clock_ms": round(self.own(now) * 1000),
            "leaves_ms": None if leaves is None else round(leaves * 1000),
            "labels": self.labels,
            "room": self.capacity,
            "running": [[*key, one["saved"], self._percent(one)] for key, one in self.running.items()],
            "ended": [[number, *end] for number, end in list(self.ended.items())[:MAX_LISTED_ENDS]],
        }

    def _percent(self, one):
        return 0 if not one["seconds"] else min(99, int(100 * one["progress"] / one["seconds"]))

    def _on_told(self, number, status, document, now):
        """The answer to a heartbeat."""
        if self.out is None or self.out[0] != number:
            return []
        _, _, sent, state = self.out
        if status // 100 != 2 or self.own(now) - sent > ANSWER_TIMEOUT:
            self._move_on(now)
            return []
        self.out = None
        if state == "draining" and self.drained_at is None:
            self.drained_at, self.leaves_at = now, now + DRAIN + DRAIN_MARGIN
            self.history.append(("drained", now, self.name, self.identity))
        self.next_at = now + document.get("again_ms", HEARTBEAT_PERIOD * 1000) / 1000
        fence = document.get("fence", 0)
        if fence >= self.fence:
            self.fence = fence
            self._obey(document, sent, now)
        if self.urgent:
            self.next_at = min(self.next_at, now + HEARTBEAT_SOON)
        return []

    def _obey(self, document, sent, now):
        """Carries out an answer that has the newest fence."""
        self.home = document.get("home", self.home)
        seen = document.get("seen", 0)
        for number in [one for one in self.ended if one <= seen]:
            reference, run, how, _ = self.ended.pop(number)
            self.history.append(("noted", now, self.name, self.identity, reference, run, how))
        if "hold_ms" in document:
            until = sent + min(document["hold_ms"] / 1000, MAX_LEASE)
            self.lease_until = until if self.lease_until is None else max(self.lease_until, until)
        for reference, run in document.get("stop", ()):
            self._stop((reference, run), now)
        if "hold_ms" in document:
            for reference, run, spec, saved in document.get("start", ()):
                self._start((reference, run), spec, saved, now)

    def _stop(self, key, now):
        one = self.running.get(key)
        if one is None:
            if key not in self.had:
                self.barred[key[0]] = max(self.barred.get(key[0], 0), key[1])
        elif one["stop_at"] is None:
            one["stop_at"] = now + self.random.uniform(0, STOP_GRACE)

    def _start(self, key, spec, saved, now):
        reference, run = key
        if key in self.had:
            return
        self.had.add(key)
        try:
            what = json.loads(spec)["steps"][int(reference.split(".")[2])]
        except (ValueError, KeyError, IndexError, TypeError):
            self.history.append(("unreadable", now, self.name, self.identity, *key, spec))
            return
        capacity = tuple(what["room"])
        used = [sum(one["room"][place] for one in self.running.values()) for place in range(3)]
        full = any(used[place] + capacity[place] > self.capacity[place] for place in range(3))
        if run <= self.barred.get(reference, 0) or (self.guards and full):
            self._list_end(key, "refused", "", now)
            return
        self.history.append(
            (
                "start",
                now,
                self.name,
                self.identity,
                reference,
                run,
                self.fence,
                capacity,
                saved,
                spec,
                tuple(used),
            )
        )
        self.running[key] = self._begun(key, what, capacity, saved, now)

    def _begun(self, key, what, capacity, saved, now):
        """The state of a run that starts now."""
        reference, run = key
        job, time, number, index = reference.split(".")
        gang, owner = None, reference
        if what["gang"]:
            gang, owner = (job, time, number, run), f"{job}.{time}.{number}"
            standing = self.gangs.setdefault(gang, {"members": set(), "begun": None, "over": None})
            standing["members"].add(index)
            if len(standing["members"]) == what["gang"]:
                standing["begun"] = now
        progress = float(saved.rpartition(":")[2]) if saved else 0.0
        draw = random.Random(f"{self.seed}-{reference}-{run}")
        seconds = None if what["lasts"] else what["seconds"]
        fails = draw.random() < max(what["fail"], self.fail_rate)
        fails_at = (
            progress + draw.random() * (seconds - progress if seconds is not None else 8.0) if fails else None
        )
        return {
            "room": capacity,
            "gang": gang,
            "owner": owner,
            "began": now,
            "progress": progress,
            "saves": what["saves"],
            "saved": saved,
            "saved_at": progress,
            "works_from": now + (RESTORE if saved else 0.0),
            "seconds": seconds,
            "fails_at": fails_at,
            "stop_at": None,
        }
