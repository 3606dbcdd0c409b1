"""Histories of every kind of entry, drawn by hypothesis, with amounts at 0, 1 and their largest."""

import hypothesis
from leased_job_documents import QUEUE, document, plain_of, tenant
from leased_job_histories import WORKERS, TenantChance

from pinepitch.common import constants
from pinepitch.model import pushed_job, queue_settings
from pinepitch.scheduling import configuration

AMOUNTS = (0, 1, constants.MAX_NUMBER)
UNITS = (1, 2, constants.MAX_UNITS)
PUSH_QUEUES = ("default", "other")
ZONES = ("north", "south", "east", "west")
PUSH_HOWS = ("done", "done", "failed", "killed", "refused", "never", "lost")
# Limits of lists, lowered so that short histories come to them.
LOWERED = {
    "MAX_LEASED_JOBS": 12,
    "MAX_FINAL_JOBS": 4,
    "MAX_TOMBSTONES": 3,
    "MAX_TENANT_TOMBSTONES": 2,
    "CONFIGURATIONS_KEPT": 3,
    "MAX_EVACUATED_ZONES": 1,
    "MARKS_KEPT": 3,
    "MAX_DRAFTS": 2,
    "FINISHED_LIVE": 3,
    "SEGMENT_JOBS": 2,
    "FINISHED_KEPT": 3,
    "KEYS_KEPT": 5.0,
    "SAMPLE_JOBS": 2,
    "SAMPLE_NEWEST": 2,
    "QUEUE_CONFIGURATION_FULL_EVERY": 3,
    "ATTEMPTS_EXPLAINED": 1,
}
BOUNDED = hypothesis.settings(
    derandomize=False,
    database=None,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


class EntryChance(TenantChance):
    """Draws entries of every kind that fit the state `record`, and some that don't.

    Invariant: what callers submit has passed the same checks as at admission.
    """

    KINDS = {
        "take": 6,
        "assign": 12,
        "end": 10,
        "late": 2,
        "again": 1,
        "cancel": 1,
        "cancel_unknown": 1.5,
        "stop": 1,
        "configure": 1.5,
        "amend": 1,
        "evacuate": 2,
        "duty": 0.5,
        "ticket": 4,
        "place": 4,
        "ended": 4,
        "cancel_pushed": 1,
        "yields": 1,
        "drain": 0.7,
        "area": 0.7,
        "withdraw": 0.7,
        "leaves_for_good": 1,
        "setup": 1,
        "draft": 0.7,
        "rehearse": 0.7,
        "measure": 0.7,
        "approve": 0.7,
        "drop": 0.4,
        "hold": 0.4,
        "level": 0.2,
        "noop": 0.1,
    }

    def __init__(self, drawn):
        super().__init__(0)
        self.random = drawn
        self.tokens = 0

    def draw(self, record):
        kind = self.random.choices(list(self.KINDS), list(self.KINDS.values()))[0]
        draw = getattr(self, kind)
        return draw(record.leased_jobs, record)

    def one_of(self, *choices):
        return self.random.choice(choices)

    def often(self):
        return self.random.random() < 0.8

    # --- leased jobs --------------------------------------------------------------------
    def take(self, leased_jobs, record):
        if leased_jobs.tombstones and self.random.random() < 0.2:
            identity = self.random.choice(list(leased_jobs.tombstones.left_at)).identity
        elif leased_jobs.jobs and self.random.random() < 0.1:
            identity = self.random.choice(list(leased_jobs.jobs))
        else:
            self.count += 1
            identity = f"{self.count:016x}"
        steps = [self._step(place) for place in range(self.random.randint(1, 3))]
        times = self.one_of(0, 0, 1, 2)
        plain = plain_of(
            steps=steps,
            times=times,
            first_ms=self.random.choice(AMOUNTS),
            every_ms=self.random.choice(AMOUNTS),
        )
        queue = QUEUE if self.random.random() < 0.95 else "nowhere"
        name = self.random.choice(self.NAMES)
        self.tenant_of.setdefault(identity, name)
        if not name and self.often():
            return ("job", identity, queue, plain)
        return ("tenant-job", identity, queue, plain, name)

    def cancel_unknown(self, leased_jobs, record):
        items = []
        for _ in range(self.random.randint(1, 3)):
            known = [*leased_jobs.jobs, *leased_jobs.final]
            coming = f"{self.count + self.random.randint(1, 3):016x}"
            identity = self.random.choice(known) if known and not self.often() else coming
            items.append((identity, self.random.choice(self.NAMES), self.one_of("", QUEUE)))
        return ("job-cancel-unknown", tuple(items))

    def _step(self, place):
        return {
            "count": self.one_of(1, 1, 2, 3),
            "cpu": self.random.choice(AMOUNTS),
            "mem_mb": self.one_of(0, 0, *AMOUNTS),
            "gpu": self.one_of(0, 0, *AMOUNTS),
            "est_ms": self.random.choice(AMOUNTS),
            "apart": self.one_of(0, 0, *AMOUNTS),
            "near": self.one_of("", "r1"),
            "gang": self.random.random() < 0.3,
            "tight": self.random.random() < 0.2,
            "lasts": self.random.random() < 0.1,
            "saves": self.random.random() < 0.5,
            "twice": self.random.random() < 0.5,
            "after": [one for one in range(place) if self.random.random() < 0.5],
        }

    def end(self, leased_jobs, record):
        name, items = super().end(leased_jobs, record)
        if self.random.random() < 0.1:
            # a worker may report any reference; the leader proposes those of runs that were released
            items = (*items, (self.random.choice(WORKERS), f"{self.count:016x}.0.9.0", 1, "done", "", True))
        return (name, items)

    def configure_whole(self, base, version):
        changed = self._configuration(version)
        if self.random.random() < 0.2:
            return ("configure", base, changed, configuration.digest_of([base, changed]))
        return ("configure-tenants", base, changed, configuration.digest_of([base, changed]), True)

    def _configuration(self, version):
        route = {
            **document()["routes"][0],
            "attempts": self.random.choice(AMOUNTS),
            "priority": self.random.choice(AMOUNTS),
            "aim_ms": self.random.choice(AMOUNTS),
            "stretch": self.random.choice(AMOUNTS),
        }
        tenants = [self._tenant(name) for name in self.NAMES if name and self.often()]
        return {**document(version=version), "routes": [route], "tenants": tenants}

    def _tenant(self, name):
        maximum = {
            resource: self.random.choice(AMOUNTS) for resource in ("cpu", "mem_mb", "gpu") if self.often()
        }
        return {**tenant(name, self.one_of(None, maximum, maximum)), "weight": self.random.choice(AMOUNTS)}

    def amend(self, leased_jobs, record):
        base = leased_jobs.configuration.version
        version = base + self.one_of(0, 1, constants.MAX_NUMBER // 2)
        upserts = {"tenants": [self._tenant(self.one_of("small", "large"))]} if self.often() else {}
        removes = {"tenants": [self.one_of("small", "large", "nobody")]} if not upserts else {}
        fields = (base, version, upserts, removes)
        digest = configuration.digest_of(fields)
        if self.random.random() < 0.2:
            return ("amend", *fields, digest)
        return ("amend-tenants", *fields, digest, True)

    def evacuate(self, leased_jobs, record):
        order = (self.random.choice(ZONES), self.often())
        if self.random.random() < 0.4:
            return ("evacuate", *order)  # as members of level 2 propose it
        return ("evacuation", *order, record.index - self.one_of(0, 0, 5))

    def duty(self, leased_jobs, record):
        return ("duty", self.one_of("placing", "placing", "rehearsal"), self.one_of("one", "two"))

    # --- pushed jobs --------------------------------------------------------------------
    def ticket(self, leased_jobs, record):
        self.count += 1
        tasks = [self._pushed_task(place) for place in range(self.random.randint(1, 3))]
        submitted = {
            "queue": self.random.choice(PUSH_QUEUES),
            "kind": self.one_of("batch", "batch", "feed"),
            "urgency": self.one_of(-1, 0, constants.MAX_URGENCY),
            "not_before": self.one_of(0, 0, 1),
            "tasks": tasks,
        }
        if all(task["not_before"] < pushed_job.LATEST_TIME for task in tasks):
            submitted["due"] = self.one_of(0, pushed_job.LATEST_TIME)
        checked, faults = pushed_job.checked(submitted)
        assert not faults, faults
        key = f"key {self.random.randint(1, self.count)}"
        return (
            "ticket",
            key,
            pushed_job.digest_of(checked),
            checked,
            self.one_of("", "", "", "no such label"),
        )

    def _pushed_task(self, place):
        return {
            "name": f"n{place}",
            "units": self.random.choice(UNITS),
            "after": [f"n{one}" for one in range(place) if self.random.random() < 0.4],
            "not_before": self.one_of(0, 0, 1, pushed_job.LATEST_TIME),
            "attempts": self.one_of(0, 1, constants.MAX_ATTEMPTS),
            "limit": self.one_of(0, 1, pushed_job.LATEST_TIME),
            "gang": "g" if not place and self.random.random() < 0.2 else "",
        }

    def _task(self, record, state):
        """A reference of a pushed task in a state and the number of its newest attempt, or of none."""
        found = [
            (f"{identity}/{name}", standing.attempt)
            for identity, job in sorted(record.pushed_jobs.items())
            for name, standing in sorted(job.standings.items())
            if standing.state == state
        ]
        return self.random.choice(found) if found and self.often() else ("t1/n0", 1)

    def place(self, leased_jobs, record):
        items = []
        for _ in range(self.random.randint(1, 3)):
            ref, _ = self._task(record, "waiting")
            match = record.find(ref)
            queue, units = (match[0].queue, match[1].units) if match else ("default", 1)
            charges = (
                ((queue, units),) if self.often() else self.one_of((), (("other", units),), ((queue, 0),))
            )
            capacity = self.one_of(0, 1, constants.MAX_UNITS)
            items.append(
                (
                    ref,
                    self.random.choice(WORKERS),
                    self.random.choice(ZONES),
                    capacity,
                    "i",
                    "f",
                    charges,
                    "a",
                )
            )
        return ("place", record.epoch("placing"), record.version, tuple(items))

    def ended(self, leased_jobs, record):
        count = self.random.randint(0, 3)
        return (
            "ended",
            tuple((*self._task(record, "placed"), self.random.choice(PUSH_HOWS)) for _ in range(count)),
        )

    def cancel_pushed(self, leased_jobs, record):
        return ("cancel", self._task(record, self.one_of("waiting", "placed", "done"))[0].partition("/")[0])

    def yields(self, leased_jobs, record):
        reason = self.one_of("move", "limit", self._task(record, "waiting")[0])
        return ("yield", record.epoch("placing"), ((*self._task(record, "placed"), reason),))

    # --- workers, zones, configurations and drafts of pushed jobs -----------------------
    def drain(self, leased_jobs, record):
        return ("drain", self.random.choice(WORKERS), self.one_of(True, False))

    def area(self, leased_jobs, record):
        return ("area", self.random.choice(ZONES), self.one_of(True, False))

    def withdraw(self, leased_jobs, record):
        return ("withdraw", self.random.choice(WORKERS), self.one_of(0, record.time, pushed_job.LATEST_TIME))

    def leaves_for_good(self, leased_jobs, record):
        return ("gone", self.random.choice(WORKERS))

    def _token(self):
        self.tokens += self.one_of(0, 1, 1, 1)
        return f"front-{self.one_of('a', 'b')}-{self.tokens}"

    def _queues(self):
        columns = {
            "share": self.one_of(0, 1, constants.MAX_UNITS),
            "limit": constants.MAX_UNITS,
            "retries": self.one_of(0, constants.MAX_ATTEMPTS - 1),
            "pending": self.one_of(1, 10 * constants.MAX_PENDING_TASKS),
            "repeats": self.one_of(True, False),
            "preempts": self.one_of(True, False),
        }
        return {
            self.one_of("other", "third"): self.one_of(columns, columns, columns, None),
            "default": columns,
        }

    def setup(self, leased_jobs, record):
        base = self.one_of(None, record.version, 0)
        if self.often():
            return ("setup", self._token(), base, "merge", {"queues": self._queues()}, "ann", "why")
        whole, faults = queue_settings.checked({"queues": {"default": {}, "other": {}}})
        assert not faults, faults
        return ("setup", self._token(), base, "whole", whole, "ann", "why")

    def draft(self, leased_jobs, record):
        return ("draft", self._token(), record.version, {"queues": self._queues()}, "ann", "why")

    def _draft(self, record):
        return f"d{self.random.randint(1, max(1, record.draft_count))}"

    def rehearse(self, leased_jobs, record):
        return ("rehearse", self._draft(record), list(self.one_of((), (0,), (1, constants.MAX_UNITS))))

    def measure(self, leased_jobs, record):
        measured = {"verdict": self.one_of("better", "better", "worse", "not measured")}
        return ("measure", record.epoch("rehearsal"), self._draft(record), self.one_of(0, 1, 1, 2), measured)

    def approve(self, leased_jobs, record):
        return ("approve", self._token(), self._draft(record), "ann", self.one_of("", "why"))

    def drop(self, leased_jobs, record):
        return ("drop", self._draft(record))

    def hold(self, leased_jobs, record):
        return ("hold", record.epoch("placing"), self.one_of("slow", "full"), self.one_of(None, "why"))

    def level(self, leased_jobs, record):
        return ("level", self.one_of(1, 3, 4))

    def noop(self, leased_jobs, record):
        return self.one_of(("noop",), ("members", [["a", "b"], []]))
