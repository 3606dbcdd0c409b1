"""History checks of jobs under holds, written apart from the code that they check: they see only
what callers were told and what tenants did. Each returns a list of faults in words."""

from .limits import ATTEMPTS, EARLY, FINAL, IN_FLIGHT, ROOM


def runs_of(history):
    """Every run: (began, ended or None, how, tenant, identity, reference, number, start event)."""
    ends = {}
    for event in history:
        if event[0] == "end":
            ends.setdefault((event[3], event[4], event[5]), (event[1], event[6]))
        elif event[0] == "gone":
            ends.setdefault((event[3], event[4], event[5]), (event[1], "gone"))
    runs = []
    for event in history:
        if event[0] == "start":
            ended, how = ends.get((event[3], event[4], event[5]), (None, None))
            runs.append((event[1], ended, how, event[2], event[3], event[4], event[5], event))
    return sorted(runs, key=lambda one: one[:1])


def noted_ends(history):
    """reference -> [(when it ended, how, run)] of the ends that were taken note of with no
    lapse of the hold in between."""
    listed, lapses, noted = {}, {}, {}
    for event in history:
        if event[0] == "end":
            listed[(event[3], event[4], event[5])] = event[1]
        elif event[0] == "lapse":
            lapses.setdefault(event[3], []).append(event[1])
        elif event[0] == "noted":
            _, when, _, identity, reference, run, how = event
            ended = listed[(identity, reference, run)]
            if not any(ended <= one <= when for one in lapses.get(identity, ())):
                noted.setdefault(reference, []).append((ended, how, run))
    return noted


def never_twice(history):
    """No task runs twice at once, none starts after a run of it ended done that was noted."""
    faults, last = [], {}
    noted = noted_ends(history)
    for began, ended, _how, worker, _identity, reference, run, _ in runs_of(history):
        for other in last.get(reference, ()):
            if other[0] is None or other[0] > began:
                faults.append(
                    f"{reference} run {run} started on {worker} at {began:.3f} while run {other[1]} ran "
                    f"on {other[2]}"
                )
        last.setdefault(reference, []).append((ended, run, worker))
        for over, ended_how, earlier in noted.get(reference, ()):
            if ended_how == "done" and over < began:
                faults.append(
                    f"{reference} run {run} started at {began:.3f} "
                    f"after run {earlier} had ended done, as noted"
                )
    return faults


def steps_kept(history, jobs):
    """Order, time, labels, places apart, text and checkpoints of every start are the job's."""
    faults, done, texts, brought, here = [], {}, {}, {}, {}
    runs = runs_of(history)
    for _, ended, how, _, _, reference, _, _ in runs:
        job, time, number, index = reference.split(".")
        if how == "done":
            done.setdefault((job, time, number), {}).setdefault(index, ended)
    for event in history:
        if event[0] == "end" and event[8]:
            texts.setdefault(event[8].rpartition(":")[0], set()).add(event[8])
    for began, ended, _, worker, identity, reference, run, event in runs:
        job, time, number, index = reference.split(".")
        standing = jobs.get(job)
        if standing is None:
            faults.append(f"{reference} started, that no one handed in")
            continue
        step = standing["document"]["steps"][int(number)]
        for other in step.get("after", ()):
            before = standing["document"]["steps"][other]
            over = done.get((job, time, str(other)), {})
            members = [when for when in over.values() if when <= began]
            if not members if before.get("gang") else len(members) < before["count"]:
                faults.append(f"{reference} started at {began:.3f} before step {other} was done")
        if standing["document"].get("times"):
            due = (standing["document"]["first_ms"] + int(time) * standing["document"]["every_ms"]) / 1000
            if began < due - EARLY:
                faults.append(f"{reference} started {due - began:.3f} s early")
        if event[9] != standing["document"]["spec"]:
            faults.append(f"{reference} was started with another text")
        place = int(worker[1:])
        if step.get("needs") and step["needs"] != "ab"[place // 2 % 2]:
            faults.append(f"{reference} started where its label is missing")
        if standing["queue"] != ("bare" if place % 2 else "held"):
            faults.append(f"{reference} started at another service")
        if step.get("apart"):
            beside = [
                one for one in here.get((identity, job, time, number), ()) if one is None or one > began
            ]
            if len(beside) >= step["apart"]:
                faults.append(f"{reference} started beside {len(beside)} of its step")
            here.setdefault((identity, job, time, number), []).append(ended)
        saved = event[8]
        owner = f"{job}.{time}.{number}" if step.get("gang") else reference
        if saved and saved.rpartition(":")[0] != owner:
            faults.append(f"{reference} was started from what another saved: {saved}")
        if step.get("gang") and brought.setdefault((job, time, number, run), saved) != saved:
            faults.append(f"members of gang {owner} run {run} were started from different checkpoints")
    return faults


def attempts_kept(history, jobs):
    """No task starts after as many failures, taken note of, as it may have."""
    faults, noted = [], noted_ends(history)
    failures = {}
    for reference, ends in noted.items():
        job, time, number, index = reference.split(".")
        if job in jobs:
            gang = jobs[job]["document"]["steps"][int(number)].get("gang")
            owner = f"{job}.{time}.{number}" if gang else reference
            for ended, how, run in ends:
                if how == "failed":
                    failures.setdefault(owner, {})[run] = ended
    for began, _, _, _, _, reference, run, _ in runs_of(history):
        job, time, number, index = reference.split(".")
        step = jobs[job]["document"]["steps"][int(number)] if job in jobs else {"lasts": True}
        if step.get("lasts"):
            continue
        owner = f"{job}.{time}.{number}" if step.get("gang") else reference
        before = [one for one, ended in failures.get(owner, {}).items() if ended < began]
        if len(before) >= ATTEMPTS:
            faults.append(f"{reference} run {run} started after {len(before)} failures")
    return faults


def room_kept(history):
    """No start takes a tenant beyond its room, what is being stopped counted too."""
    faults = []
    for event in history:
        if event[0] == "start":
            _, when, worker, _, reference, run, _, capacity, _, _, used = event
            if any(used[place] + capacity[place] > ROOM[place] for place in range(3)):
                faults.append(
                    f"{reference} run {run} took {worker} beyond its room at {when:.3f}: "
                    f"{used} and {capacity}"
                )
    return faults


def cancels_kept(history, jobs, running_most):
    """After a cancel nothing starts but from an answer under way, and nothing runs on for long."""
    faults = []
    for began, ended, _, worker, _, reference, run, _ in runs_of(history):
        standing = jobs.get(reference.split(".")[0])
        if standing is None or standing["cancelled"] is None:
            continue
        since = standing["cancelled"]
        if began > since + IN_FLIGHT:
            faults.append(f"{reference} run {run} started {began - since:.2f} s after its cancel")
        if ended is None or ended > max(began, since) + running_most:
            faults.append(f"{reference} run {run} on {worker} ran on after its cancel")
    return faults


def closed_kept(history, spans, zones):
    """Draining tenants and evacuated zones get nothing new; there one answer may be under way."""
    faults, drained = [], {}
    for event in sorted(history, key=lambda one: one[1]):
        if event[0] == "drained":
            drained[event[3]] = event[1]
        elif event[0] == "start":
            if event[1] > drained.get(event[3], 1e18):
                faults.append(f"{event[4]} started on {event[2]}, known to drain")
            for zone, begun, ended in spans:
                if zone == zones[event[2]] and begun + IN_FLIGHT < event[1] < (ended or 1e18):
                    faults.append(
                        f"{event[4]} started on {event[2]} "
                        f"{event[1] - begun:.2f} s after {zone} was evacuated"
                    )
    return faults


def outcomes_true(history, client):
    """What callers are told of jobs agrees with what ran."""
    faults, done, failed = list(client.faults), {}, {}
    runs = runs_of(history)
    for _, ended, how, _, _, reference, run, _ in runs:
        job, time, number, index = reference.split(".")
        if how == "done":
            place = done.setdefault((job, time, number), {})
            place[index] = min(ended, place.get(index, ended))
        elif how == "failed":
            failed.setdefault((job, time, number), []).append((index, run))
    for _, _, _, _, _, reference, _, _ in runs:
        standing = client.jobs.get(reference.split(".")[0])
        if standing is not None and standing["refused"] is not None:
            faults.append(f"{reference} started, though its job was refused")
    finals = {}
    for _, sent, answered, identity, status, state in sorted(client.history, key=lambda one: one[2]):
        standing = client.jobs[identity]
        document = standing["document"]
        if status == 410:
            faults.append(f"{identity} is unknown {sent - standing['accepted']:.2f} s after it was accepted")
        if status != 200:
            continue
        if identity in finals and finals[identity][0] != state and sent > finals[identity][1]:
            faults.append(f"{identity} was {finals[identity][0]}, then {state}")
        if state not in FINAL:
            continue
        first = identity not in finals
        finals.setdefault(identity, (state, answered))
        if state == "cancelled" and standing["cancel_sent"] is None:
            faults.append(f"{identity} is told cancelled, but no one asked")
        if state == "failed" and first:
            if not _causes(identity, document, failed):
                faults.append(f"{identity} is told failed without cause")
        if state == "completed" and first:
            for time in range(max(1, document.get("times", 0))):
                for number, step in enumerate(document["steps"]):
                    over = [
                        one
                        for one in done.get((identity, str(time), str(number)), {}).values()
                        if one <= answered
                    ]
                    if not over if step.get("gang") else len(over) < step["count"]:
                        faults.append(
                            f"{identity} is told completed, but step {number} of time {time} is not done"
                        )
    for began, _, _, _, _, reference, run, _ in runs:
        state, since = finals.get(reference.split(".")[0], ("", 1e18))
        if state and began > since + IN_FLIGHT:
            faults.append(
                f"{reference} run {run} started {began - since:.2f} s after its job was told {state}"
            )
    return faults


def _causes(identity, document, failed):
    """Whether some task or gang of a job failed as often as it may."""
    for (job, _time, number), runs in failed.items():
        if job != identity:
            continue
        gang = document["steps"][int(number)].get("gang")
        counts = {}
        for index, run in runs:
            counts.setdefault("" if gang else index, set()).add(run)
        if any(len(one) >= ATTEMPTS for one in counts.values()):
            return True
    return False


def gangs_met(history, jobs):
    """In calm weather no member of a gang waits in vain."""
    return [
        f"{event[4]} run {event[5]} ended alone"
        for event in history
        if event[0] == "end" and event[6] == "alone" and jobs[event[4].split(".")[0]]["cancelled"] is None
    ]


def refused_without_rival(changes):
    """No change is refused while it alone was sent on top of a version that was in force."""
    faults = []
    taken = {one.version for one in changes if one.acknowledged() is not None}
    for one in changes:
        rivals = [other for other in changes if other.base == one.base and other is not one]
        if one.was_refused() and one.base in taken and not rivals:
            faults.append(f"version {one.version} was refused, though it alone built on {one.base}")
    return faults
