"""History checks, written apart from the code that they check: they see only what
callers were answered and what workers did. Each returns a list of faults in words.
"""

from ..model.queue_settings import merged


def starts_and_ends(worker_history):
    """(starts by task, ends by (task, attempt)) of the workers' histories."""
    starts, ends = {}, {}
    for event in sorted(worker_history, key=lambda one: one[1]):
        if event[0] == "start":
            _, when, worker, incarnation, ref, attempt, units = event
            starts.setdefault(ref, []).append((when, worker, incarnation, attempt, units))
        elif event[0] == "end":
            _, when, worker, incarnation, ref, attempt, how = event
            ends.setdefault((ref, attempt), []).append((when, how, incarnation))
        elif event[0] == "gone":
            _, when, worker, incarnation, ref, attempt = event
            ends.setdefault((ref, attempt), []).append((when, "gone", incarnation))
    return starts, ends


def ended_well(ends):
    """Task -> when it first ended well."""
    well = {}
    for (ref, _), over in ends.items():
        for when, how, _ in over:
            if how == "done":
                well[ref] = min(when, well.get(ref, when))
    return well


def never_twice(worker_history, repeating=()):
    """No task runs twice at once, none starts again after it has ended well. An end that
    its worker took along when it died is excused for the jobs in `repeating` alone.
    """
    starts, ends = starts_and_ends(worker_history)
    unsaid = {
        (event[4], event[5])
        for event in worker_history
        if event[0] == "unsaid" and event[4].partition("/")[0] in repeating
    }
    faults = []
    for ref, runs in starts.items():
        seen = set()
        previous_end = previous = None
        for when, _worker, _incarnation, attempt, _ in runs:
            if attempt in seen:
                faults.append(f"{ref} attempt {attempt} started twice")
            seen.add(attempt)
            if previous_end is not None:
                ended_at, how = previous_end
                if ended_at is None or ended_at > when:
                    faults.append(f"{ref} attempt {attempt} started at {when:.3f} while another ran")
                elif how == "done" and (ref, previous) not in unsaid:
                    faults.append(f"{ref} attempt {attempt} started after it had ended well")
            over = ends.get((ref, attempt))
            previous_end = (over[0][0], over[0][1]) if over else (None, None)
            previous = attempt
    return faults


def in_order(worker_history, documents):
    """No task starts before its forerunners ended well, nor a tenth of a second early."""
    starts, ends = starts_and_ends(worker_history)
    well, faults = ended_well(ends), []
    for pushed_job, document in documents.items():
        for task in document["tasks"]:
            for when, *_ in starts.get(f"{pushed_job}/{task['name']}", ()):
                for one in task.get("after", ()):
                    if well.get(f"{pushed_job}/{one}", 1e18) > when:
                        faults.append(f"{pushed_job}/{task['name']} started before {one} ended well")
                if when < max(task.get("not_before", 0), document.get("not_before", 0)) - 0.1:
                    faults.append(f"{pushed_job}/{task['name']} started early")
    return faults


def attempts_kept(worker_history, documents, queue_settings, withdrawn=()):
    """No task but a feed starts again after as many failures as it may have: an end that
    failed, a run over its time limit, or one lost with its worker, unless an operator gave
    his word that the machine is withdrawn.
    """
    starts, ends = starts_and_ends(worker_history)
    faults = []
    for pushed_job, document in documents.items():
        if document.get("kind") == "feed":
            continue
        for task in document["tasks"]:
            ref = f"{pushed_job}/{task['name']}"
            allowed = queue_settings[document["queue"]].get("retries", 0) + 1
            if task.get("attempts"):
                allowed = min(allowed, task["attempts"])
            failed = 0
            for when, worker, _, attempt, _ in starts.get(ref, ()):
                if failed >= allowed:
                    faults.append(f"{ref} started after {failed} failures")
                for ended, how, _ in ends.get((ref, attempt), ()):
                    over = how == "killed" and task.get("limit") and ended - when > task["limit"]
                    failed += how == "failed" or bool(over) or (how == "gone" and worker not in withdrawn)
    return faults


def limits_kept(worker_history, documents, changes, within=2.0):
    """No queue starts work beyond its limit later than `within` after the change that set
    it was acknowledged. Changes, in order of version: (asked, acknowledged or None, {queue:
    limit}).
    """
    queue_of = {pushed_job: document["queue"] for pushed_job, document in documents.items()}
    _, ends = starts_and_ends(worker_history)
    moments = []
    for event in worker_history:
        if event[0] == "start" and event[4].partition("/")[0] in queue_of:
            queue = queue_of[event[4].partition("/")[0]]
            moments.append((event[1], 1, queue, event[6], event[4]))
            over = ends.get((event[4], event[5]))
            if over:
                moments.append((over[0][0], 0, queue, -event[6], event[4]))
    used, faults = {}, []
    for when, starts, queue, units, ref in sorted(moments):
        used[queue] = used.get(queue, 0) + units
        if not starts:
            continue
        allowed = []
        for asked, acknowledged, limits in reversed(changes):
            if queue in limits and asked <= when:
                allowed.append(limits[queue])
                if acknowledged is not None and acknowledged <= when - within:
                    break
        if allowed and used[queue] > max(allowed):
            faults.append(
                f"{ref} started at {when:.3f} with {used[queue]} units of {queue}, over {max(allowed)}"
            )
    return faults


def capacity_kept(worker_history, capacities):
    """No worker holds more than its capacity at any time."""
    moments = []
    _, ends = starts_and_ends(worker_history)
    for event in worker_history:
        if event[0] == "start":
            _, when, worker, incarnation, ref, attempt, units = event
            moments.append((when, 1, worker, units))
            over = ends.get((ref, attempt))
            if over:
                moments.append((over[0][0], 0, worker, -units))
    used, faults = {}, []
    for when, _, worker, units in sorted(moments):
        used[worker] = used.get(worker, 0) + units
        if used[worker] > capacities[worker]:
            faults.append(f"{worker} held {used[worker]} of {capacities[worker]} at {when:.3f}")
    return faults


def never_forgotten(caller_history, within=3.0):
    """No accepted job is unknown to a read more than `within` after acceptance, and a
    final state never changes.
    """
    accepted, final, faults = {}, {}, []
    for event in caller_history:
        if event[0] == "accepted":
            accepted.setdefault(event[3], event[1])
        elif event[0] == "unknown" and event[1] > accepted.get(event[2], 1e18) + within:
            faults.append(f"{event[2]} was unknown {event[1] - accepted[event[2]]:.1f} s after acceptance")
        elif event[0] == "final":
            if final.setdefault(event[2], event[3]) != event[3]:
                faults.append(f"{event[2]} was {final[event[2]]}, then {event[3]}")
    keys = {}
    for event in caller_history:
        if event[0] == "accepted" and keys.setdefault(event[2], event[3]) != event[3]:
            faults.append(f"key {event[2]} became both {keys[event[2]]} and {event[3]}")
    return faults


def finished_truly(caller_history, worker_history):
    """A job shown finished has every task ended well on a worker, before it was shown."""
    _, ends = starts_and_ends(worker_history)
    well, faults = ended_well(ends), []
    for event in caller_history:
        if event[0] == "final" and event[3] == "finished":
            for task in event[4]:
                if well.get(f"{event[2]}/{task['name']}", 1e18) > event[1]:
                    faults.append(f"{event[2]} was shown finished, but {task['name']} had not ended well")
    return faults


def cancelled_truly(caller_history, worker_history, away=(), starts_within=3.0, runs_within=5.0):
    """After a cancel nothing starts for long, and nothing keeps running for long. Nothing
    is owed of a worker while it was away, as (worker, from, to): cut off, frozen or down.
    """
    starts, ends = starts_and_ends(worker_history)
    cancelled = {event[2]: event[1] for event in reversed(caller_history) if event[0] == "cancelled"}
    faults = []
    for ref, runs in starts.items():
        since = cancelled.get(ref.partition("/")[0])
        if since is None:
            continue
        for when, worker, _, attempt, _ in runs:
            over = ends.get((ref, attempt))
            owed = since
            for name, begun, ended in sorted(away, key=lambda one: one[1]):
                if name == worker and begun <= owed + runs_within and ended > owed:
                    owed = ended
            if when > owed + starts_within:
                faults.append(f"{ref} started {when - since:.1f} s after its cancel")
            elif not over or over[0][0] > max(owed, when) + runs_within:
                faults.append(f"{ref} ran on after its cancel")
    return faults


def gangs_together(worker_history, documents, within=1.0):
    """While all is healthy, every member of a gang starts within a moment of the others."""
    starts, _ = starts_and_ends(worker_history)
    faults = []
    for pushed_job, document in documents.items():
        gangs = {}
        for task in document["tasks"]:
            if task.get("gang"):
                runs = starts.get(f"{pushed_job}/{task['name']}")
                gangs.setdefault(task["gang"], []).append(runs[0][0] if runs else None)
        for gang, moments in gangs.items():
            begun = [one for one in moments if one is not None]
            if begun and (len(begun) < len(moments) or max(begun) - min(begun) > within):
                faults.append(f"gang {gang} of {pushed_job} did not start together")
    return faults


def closed_kept(worker_history, spans, zones):
    """No closed worker gets new work 2 s after it was closed, no emptied zone 5 s after.
    Spans: (kind, subject, from, to or None); zones: worker -> zone.
    """
    faults = []
    for kind, subject, begun, ended in spans:
        grace = 2.0 if kind == "minion" else 5.0
        for event in worker_history:
            if event[0] != "start" or not begun + grace < event[1] < (ended or 1e18):
                continue
            if subject == (event[2] if kind == "minion" else zones[event[2]]):
                faults.append(
                    f"{event[4]} started on {event[2]} {event[1] - begun:.1f} s after {subject} closed"
                )
    return faults


def queue_configurations_kept(histories, documents, changes, refused):
    """Every acknowledged change is in the history that each front daemon tells, holds just its own
    change, and nothing of a refused one is there. Documents: version -> queue configuration; changes:
    (asked, acknowledged, version, manner, document, base or None, reason).
    """
    faults = []
    if any(one != histories[0] for one in histories):
        faults.append("verges tell different histories")
    stored = {one["version"]: one for one in histories[0]["setups"]}
    for version, one in stored.items():
        if one["why"] in refused:
            faults.append(f"version {version} is a change that was refused")
    seen = set()
    for _, _, version, manner, document, base, reason in changes:
        if (
            version not in stored
            or stored[version]["why"] != reason
            or (base is not None and stored[version]["base"] != base)
        ):
            faults.append(f"acknowledged version {version} is missing at day's end")
            continue
        if version in seen:
            faults.append(f"version {version} was acknowledged twice")
        seen.add(version)
        wanted = merged(documents[version - 1], document) if manner == "merge" else document
        found = documents[version]["queues"]
        if found.keys() != wanted["queues"].keys() or any(
            found[queue][column] != value
            for queue, settings in wanted["queues"].items()
            for column, value in settings.items()
        ):
            faults.append(f"version {version} does not hold just its own change")
    return faults


def all_checks(caller_history, worker_history, documents, queue_settings, capacities, away=(), withdrawn=()):
    """Every check that needs no moment of its own; `rows` are those of the table."""
    repeating = {
        pushed_job
        for pushed_job, document in documents.items()
        if queue_settings[document["queue"]].get("repeats", False)
    }
    return [
        *never_twice(worker_history, repeating),
        *in_order(worker_history, documents),
        *attempts_kept(worker_history, documents, queue_settings, withdrawn),
        *capacity_kept(worker_history, capacities),
        *never_forgotten(caller_history),
        *finished_truly(caller_history, worker_history),
        *cancelled_truly(caller_history, worker_history, away),
    ]
