"""History checks of tenants' keys, written apart from the code that they check: they see only what the
operator sent and was told, and how calls at queues were answered. Each returns a list of faults in words.
"""

SUCCESS = range(200, 300)
UNKNOWN_KEY, FOREIGN_JOB, NO_ROUTE = 401, 403, 404  # statuses


def _owners(change):
    """Key -> name of its tenant, in a change's configuration."""
    return {key: tenant["name"] for tenant in change.document["tenants"] for key in tenant["keys"]}


def _ever_held(changes):
    """The keys of all configurations that were ever sent."""
    return {key for change in changes for key in _owners(change)}


def _possible(changes, sent, answered):
    """The changes that may have been in force at some time between a call and its answer: the newest one
    that was acknowledged before, and those that were given by the answer, build on it directly or over
    others, and were not refused.
    """
    known = [one for one in changes if one.acknowledged() is not None and one.acknowledged() < sent]
    newest = max(known, key=lambda one: one.version)
    found, versions = [newest], {newest.version}
    candidates = [one for one in changes if one.base >= newest.version]
    for one in sorted(candidates, key=lambda one: one.version):
        if one.base in versions and one.given <= answered and not one.was_refused():
            found.append(one)
            versions.add(one.version)
    return found


def never_held_refused(calls, changes):
    """ROUTE: no call with a key that no configuration ever held, or with none, is answered with success."""
    ever = _ever_held(changes)
    return [
        f"{one.call} {one.identity} ran at {one.answered:.3f} by {one.daemon} "
        f"{'without a key' if one.key is None else 'with a key that no configuration ever held'}"
        for one in calls
        if one.status in SUCCESS and one.key not in ever
    ]


def configuration_heeded(calls, changes, jobs):
    """CONFIG: no call is handled as only a configuration allows that was replaced before it was sent."""
    faults, ever = [], _ever_held(changes)
    for one in calls:
        owned = [_owners(change) for change in _possible(changes, one.sent, one.answered)]
        where = f"{one.call} {one.identity} sent at {one.sent:.3f} to {one.daemon}"
        if one.status in SUCCESS and one.key in ever and not any(one.key in keys for keys in owned):
            faults.append(f"{where} ran with {one.key}, that was taken away before")
        if one.status == UNKNOWN_KEY and all(one.key in keys for keys in owned):
            faults.append(f"{where} was refused, though its key {one.key} was in force")
        job = jobs.get(one.identity)
        if one.status == FOREIGN_JOB and (
            job is None or all(keys.get(one.key) == job["tenant"] for keys in owned)
        ):
            faults.append(f"{where} was refused as another tenant's, though {one.key} is its own's")
        if one.status == NO_ROUTE:
            faults.append(f"{where} found no route")
    return faults


def jobs_kept_apart(calls, changes, jobs):
    """No job is read, cancelled or handed in again with a key of another tenant's."""
    tenants = {key: name for change in changes for key, name in _owners(change).items()}
    return [
        f"{one.call} {one.identity} of {jobs[one.identity]['tenant']} sent at {one.sent:.3f} to {one.daemon} "
        f"ran with {one.key} of another tenant"
        for one in calls
        if one.status in SUCCESS
        and one.identity in jobs
        and tenants.get(one.key, jobs[one.identity]["tenant"]) != jobs[one.identity]["tenant"]
    ]


def probes_answered(probes):
    """Every kind of probe was clearly answered at least once, so that the checks have looked at it."""
    return [
        f"no probe of the kind {kind} was clearly answered" for kind, count in probes.items() if not count
    ]


def key_faults(simulator):
    """The faults that all checks of keys find in a trial."""
    calls, client = simulator.keyed_calls, simulator.client_stand_in
    changes = simulator.operator_stand_in.changes
    return [
        *never_held_refused(calls, changes),
        *configuration_heeded(calls, changes, client.jobs),
        *jobs_kept_apart(calls, changes, client.jobs),
        *probes_answered(client.probes),
    ]
