"""The stand-in client that sends keys of tenants with its calls, and at times a wrong one."""

import json

from .kinds import step_of
from .limits import HOST, READ_EVERY
from .stand_in_client import StandInClient
from .tenant_keys import (
    GUEST_PREFIX,
    PERMANENT_TENANTS,
    certain_owners,
    newest_acknowledged,
    owners,
    possible_owners,
    revoked_owners,
)

TICK = 0.05  # seconds; between two turns of the client
PROBES_PER_SECOND = 6.0
CERTAIN_KEY_PROBABILITY = 0.7  # of a call with a key that no pending change removes
KEY_REFUSALS = (401, 403)  # statuses of a call whose key was removed in the meantime
QUEUE_CALLS = ("job", "job-read", "job-cancel")
UNKNOWN, MISSING, REVOKED, FOREIGN, GUEST = PROBES = ("unknown", "missing", "revoked", "foreign", "guest")
PROBE_IDENTITY = ""  # in the tags of probes, which belong to no job of the client


class KeyedClient(StandInClient):
    """A StandInClient for several tenants. Each job belongs to one tenant, and its calls carry a key of that
    tenant.

    Probes are calls that must be refused, and reads of a queue by guest tenants, which are added and removed
    during the trial. Invariant: probes counts the definite answers to each kind of probe.
    """

    def __init__(self, seed, changes):
        super().__init__(seed)
        self.changes = changes  # of the configuration; the list of the operator
        self.probes = dict.fromkeys(PROBES, 0)

    # --- a tenant's own calls ---------------------------------------------------------
    def _make(self, kind, now):
        super()._make(kind, now)
        job = next(reversed(self.jobs.values()))
        job["tenant"] = self.random.choice(PERMANENT_TENANTS)

    def _on_tick(self, now):
        effects = [self._with_key(effect) for effect in super()._on_tick(now)]
        if not self.stopped and self.random.random() < PROBES_PER_SECOND * TICK:
            effects.extend(self._probe(now))
        return effects

    def _with_key(self, effect):
        """Adds a key of the tenant of the job to a call."""
        name, selector, call, arguments, tag = effect
        return (name, selector, call, (*arguments, self._key(self.jobs[tag[0]]["tenant"])), tag)

    def _key(self, tenant):
        """A key of a tenant by the changes that the operator has sent; at times one that a pending change
        adds or removes.
        """
        certain = _keys_of(certain_owners(self.changes), tenant)
        if certain and self.random.random() < CERTAIN_KEY_PROBABILITY:
            return self.random.choice(certain)
        return self.random.choice(_keys_of(possible_owners(self.changes), tenant))

    def _on_answered(self, tag, status, document, now):
        identity, call, sent = tag
        if identity == PROBE_IDENTITY:
            self.probes[call] += 0 < status < 500 and status != 429
            return []
        if status in KEY_REFUSALS:
            job = self.jobs[identity]
            job["out"], job["next_at"] = False, now + READ_EVERY * self.random.uniform(0.1, 0.5)
            return []
        return super()._on_answered(tag, status, document, now)

    # --- probes -----------------------------------------------------------------------
    def _probe(self, now):
        """A call that must be refused, or one of a guest; none if there is no such key or job at present."""
        kind = self.random.choice(PROBES)
        request = {
            UNKNOWN: self._with_unknown_key,
            MISSING: self._without_key,
            REVOKED: self._with_revoked_key,
            FOREIGN: self._at_foreign_job,
            GUEST: self._by_guest,
        }[kind]()
        if request is None:
            return []
        call, arguments = request
        return [("call", self.random.randrange(100), call, arguments, (PROBE_IDENTITY, kind, now))]

    def _with_unknown_key(self):
        return self._any_call(f"never-{self.random.randrange(16**12):012x}")

    def _without_key(self):
        return self._any_call()

    def _with_revoked_key(self):
        revoked = revoked_owners(self.changes)
        if not revoked:
            return None
        key = self.random.choice(sorted(revoked))
        return self._any_call(key, tenant=revoked[key])

    def _at_foreign_job(self):
        """A call about a job of another tenant."""
        job = self._accepted_job()
        if job is None:
            return None
        others = [key for key, name in certain_owners(self.changes).items() if name != job["tenant"]]
        return self._about(job, self.random.choice(QUEUE_CALLS), (self.random.choice(sorted(others)),))

    def _by_guest(self):
        """A read of a queue by a guest tenant."""
        guest_owners = owners(newest_acknowledged(self.changes).document)
        keys = sorted(key for key, name in guest_owners.items() if name.startswith(GUEST_PREFIX))
        if not keys:
            return None
        return ("job-read", (HOST, f"/{self._queue()}/", self.random.choice(keys)))

    def _any_call(self, *key, tenant=None):
        """A random call with that key or without one: about a new job, an accepted job of the tenant, or a
        queue.
        """
        call = self.random.choice((*QUEUE_CALLS, "job"))
        job = self._accepted_job(tenant)
        if call == "job" and (job is None or self.random.random() < 0.7):
            step, description = step_of(1, 0.2, 100)
            document = {"spec": json.dumps({"steps": [description]}), "steps": [step]}
            path = f"/{self._queue()}/{self.random.randrange(16**16):016x}"
            return ("job", (HOST, path, document, *key))
        if call == "job-read" and (job is None or self.random.random() < 0.3):
            return ("job-read", (HOST, f"/{self._queue()}/", *key))
        return None if job is None else self._about(job, call, key)

    def _about(self, job, call, key):
        """A call about an existing job."""
        document = (job["document"],) if call == "job" else ()
        return (call, (HOST, job["path"], *document, *key))

    def _accepted_job(self, tenant=None):
        """A random accepted job, of that tenant if one is given, or None."""
        jobs = [
            job
            for job in self.jobs.values()
            if job["accepted"] is not None and tenant in (None, job["tenant"])
        ]
        return self.random.choice(jobs) if jobs else None

    def _queue(self):
        return self.random.choice(("held", "bare"))


def _keys_of(key_owners, tenant):
    """The keys of one tenant, sorted."""
    return sorted(key for key, name in key_owners.items() if name == tenant)
