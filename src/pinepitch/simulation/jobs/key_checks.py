"""Checks of tenants' keys. They are independent of the code under test: their only input is the changes
that the operator sent, the answers to these, and the answers to calls at queues. Each check returns a list
of fault descriptions.
"""

SUCCESS = range(200, 300)
UNKNOWN_KEY, FOREIGN_JOB, NO_ROUTE = 401, 403, 404  # statuses


def _owners(change):
    """Returns key -> name of its tenant, by the configuration of a change."""
    return {key: tenant["name"] for tenant in change.document["tenants"] for key in tenant["keys"]}


def _all_keys(changes):
    """The keys of all configurations that were ever sent."""
    return {key for change in changes for key in _owners(change)}


def _possibly_in_force(changes, sent, answered):
    """The changes that may have been in force at some time between a call and its answer.

    These are the newest change that was acknowledged before the call, and the changes that were sent before
    the answer, build on that one directly or through others, and were not refused.
    """
    known = [
        change for change in changes if change.acknowledged() is not None and change.acknowledged() < sent
    ]
    newest = max(known, key=lambda change: change.version)
    possible, versions = [newest], {newest.version}
    candidates = [change for change in changes if change.base >= newest.version]
    for change in sorted(candidates, key=lambda candidate: candidate.version):
        if change.base in versions and change.first_sent <= answered and not change.was_refused():
            possible.append(change)
            versions.add(change.version)
    return possible


def never_held_refused(calls, changes):
    """ROUTE: no call succeeds without a key or with a key that was in no configuration that was ever sent."""
    all_keys = _all_keys(changes)
    return [
        f"{call.call} {call.identity} ran at {call.answered:.3f} by {call.daemon} "
        f"{'without a key' if call.key is None else 'with a key that no configuration ever held'}"
        for call in calls
        if call.status in SUCCESS and call.key not in all_keys
    ]


def configuration_heeded(calls, changes, jobs):
    """CONFIG: every call is handled as some configuration requires that may have been in force between the
    call and its answer, never by one that was replaced before the call was sent.
    """
    faults, all_keys = [], _all_keys(changes)
    for call in calls:
        key_owners = [_owners(change) for change in _possibly_in_force(changes, call.sent, call.answered)]
        description = f"{call.call} {call.identity} sent at {call.sent:.3f} to {call.daemon}"
        if (
            call.status in SUCCESS
            and call.key in all_keys
            and not any(call.key in keys for keys in key_owners)
        ):
            faults.append(f"{description} ran with {call.key}, that was taken away before")
        if call.status == UNKNOWN_KEY and all(call.key in keys for keys in key_owners):
            faults.append(f"{description} was refused, though its key {call.key} was in force")
        job = jobs.get(call.identity)
        if call.status == FOREIGN_JOB and (
            job is None or all(keys.get(call.key) == job["tenant"] for keys in key_owners)
        ):
            faults.append(f"{description} was refused as another tenant's, though {call.key} is its own's")
        if call.status == NO_ROUTE:
            faults.append(f"{description} found no route")
    return faults


def jobs_kept_apart(calls, changes, jobs):
    """No job is read, cancelled or submitted again with the key of another tenant."""
    tenants = {key: name for change in changes for key, name in _owners(change).items()}
    return [
        f"{call.call} {call.identity} of {jobs[call.identity]['tenant']} "
        f"sent at {call.sent:.3f} to {call.daemon} ran with {call.key} of another tenant"
        for call in calls
        if call.status in SUCCESS
        and call.identity in jobs
        and tenants.get(call.key, jobs[call.identity]["tenant"]) != jobs[call.identity]["tenant"]
    ]


def probes_answered(probes):
    """Every kind of probe got a definite answer at least once, so that the checks have examined it."""
    return [
        f"no probe of the kind {kind} got a definite answer" for kind, count in probes.items() if not count
    ]


def key_faults(simulator):
    """The faults that the checks of keys find in a trial."""
    calls, client = simulator.keyed_calls, simulator.client_stand_in
    changes = simulator.operator_stand_in.changes
    return [
        *never_held_refused(calls, changes),
        *configuration_heeded(calls, changes, client.jobs),
        *jobs_kept_apart(calls, changes, client.jobs),
        *probes_answered(client.probes),
    ]
