"""History checks of jobs under leases, written apart from the code that they check: they see only
what callers were told and what tenants did. Each returns a list of faults in words.
"""

from typing import NamedTuple

from .limits import ATTEMPTS, CAPACITY, EARLY, FINAL, IN_FLIGHT


class Run(NamedTuple):
    """One run of a task at a worker, from its start to its end."""

    began: float  # seconds
    ended: float | None  # seconds; None while it runs
    how: str | None  # done, failed, stopped, lost, alone or gone
    worker: str
    identity: str  # the worker's, new at each start of it
    reference: str  # job.time.step.task
    number: int
    event: tuple  # that told its start

    @property
    def wave(self):
        """(job, time, step) that its task belongs to."""
        return tuple(self.reference.split(".")[:3])

    @property
    def task(self):
        """The task's number in its step."""
        return self.reference.split(".")[3]

    @property
    def job(self):
        """The job's identity."""
        return self.reference.split(".")[0]


def runs_of(history):
    """Every run, by when it began."""
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
            runs.append(Run(event[1], ended, how, event[2], event[3], event[4], event[5], event))
    return sorted(runs, key=lambda one: one[:1])


def noted_ends(history):
    """Reference -> [(when it ended, how, run)] of the ends that were taken note of with no
    lapse of the lease in between.
    """
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
    runs = runs_of(history)
    done = _first_done(runs)
    faults, brought, beside = [], {}, {}
    for run in runs:
        standing = jobs.get(run.job)
        if standing is None:
            faults.append(f"{run.reference} started, that no one handed in")
            continue
        step = standing["document"]["steps"][int(run.wave[2])]
        faults.extend(_started_too_soon(run, step, standing["document"], done))
        faults.extend(_started_in_wrong_place(run, step, standing))
        faults.extend(_started_too_close(run, step, beside))
        faults.extend(_started_from_wrong_checkpoint(run, step, brought))
    return faults


def _first_done(runs):
    """Wave -> task -> when the first run of it that ended done did so."""
    done = {}
    for run in runs:
        if run.how == "done":
            done.setdefault(run.wave, {}).setdefault(run.task, run.ended)
    return done


def _started_too_soon(run, step, document, done):
    """A run starts after the steps that it waits for, and not before its time."""
    job, time, _ = run.wave
    for other in step.get("after", ()):
        before = document["steps"][other]
        over = [when for when in done.get((job, time, str(other)), {}).values() if when <= run.began]
        if not over if before.get("gang") else len(over) < before["count"]:
            yield f"{run.reference} started at {run.began:.3f} before step {other} was done"
    if document.get("times"):
        due = (document["first_ms"] + int(time) * document["every_ms"]) / 1000
        if run.began < due - EARLY:
            yield f"{run.reference} started {due - run.began:.3f} s early"


def _started_in_wrong_place(run, step, standing):
    """A run starts with the job's text, at a worker of its queue that has the label it needs."""
    if run.event[9] != standing["document"]["spec"]:
        yield f"{run.reference} was started with another text"
    place = int(run.worker[1:])
    if step.get("needs") and step["needs"] != "ab"[place // 2 % 2]:
        yield f"{run.reference} started where its label is missing"
    if standing["queue"] != ("bare" if place % 2 else "held"):
        yield f"{run.reference} started at another service"


def _started_too_close(run, step, beside):
    """No more runs of a step are at one worker than it allows; `beside` gathers them."""
    if not step.get("apart"):
        return
    here = beside.setdefault((run.identity, *run.wave), [])
    still = [ended for ended in here if ended is None or ended > run.began]
    if len(still) >= step["apart"]:
        yield f"{run.reference} started beside {len(still)} of its step"
    here.append(run.ended)


def _started_from_wrong_checkpoint(run, step, brought):
    """A run starts from what it or its gang saved, all members of a gang from the same."""
    saved = run.event[8]
    gang = ".".join(run.wave)
    owner = gang if step.get("gang") else run.reference
    if saved and saved.rpartition(":")[0] != owner:
        yield f"{run.reference} was started from what another saved: {saved}"
    if step.get("gang") and brought.setdefault((*run.wave, run.number), saved) != saved:
        yield f"members of gang {gang} run {run.number} were started from different checkpoints"


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


def capacity_kept(history):
    """No start takes a tenant beyond its capacity, what is being stopped counted too."""
    faults = []
    for event in history:
        if event[0] == "start":
            _, when, worker, _, reference, run, _, capacity, _, _, used = event
            if any(used[place] + capacity[place] > CAPACITY[place] for place in range(3)):
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
    faults, runs = list(client.faults), runs_of(history)
    for run in runs:
        standing = client.jobs.get(run.job)
        if standing is not None and standing["refused"] is not None:
            faults.append(f"{run.reference} started, though its job was refused")
    finals = {}
    faults.extend(_wrong_answers(client, runs, finals))
    for run in runs:
        state, since = finals.get(run.job, ("", 1e18))
        if state and run.began > since + IN_FLIGHT:
            faults.append(
                f"{run.reference} run {run.number} started {run.began - since:.2f} s "
                f"after its job was told {state}"
            )
    return faults


def _wrong_answers(client, runs, finals):
    """Faults in the states that callers were told; `finals` gathers identity -> (state, when told)."""
    done, failed = _earliest_done(runs), _failures(runs)
    for _, sent, answered, identity, status, state in sorted(client.history, key=lambda one: one[2]):
        standing = client.jobs[identity]
        if status == 410:
            yield f"{identity} is unknown {sent - standing['accepted']:.2f} s after it was accepted"
        if status != 200:
            continue
        if identity in finals and finals[identity][0] != state and sent > finals[identity][1]:
            yield f"{identity} was {finals[identity][0]}, then {state}"
        if state not in FINAL:
            continue
        first = identity not in finals
        finals.setdefault(identity, (state, answered))
        if state == "cancelled" and standing["cancel_sent"] is None:
            yield f"{identity} is told cancelled, but no one asked"
        if state == "failed" and first and not _causes(identity, standing["document"], failed):
            yield f"{identity} is told failed without cause"
        if state == "completed" and first:
            yield from _not_done(identity, standing["document"], done, answered)


def _earliest_done(runs):
    """Wave -> task -> when it first ended done."""
    done = {}
    for run in runs:
        if run.how == "done":
            ends = done.setdefault(run.wave, {})
            ends[run.task] = min(run.ended, ends.get(run.task, run.ended))
    return done


def _failures(runs):
    """Wave -> [(task, run)] that failed."""
    failed = {}
    for run in runs:
        if run.how == "failed":
            failed.setdefault(run.wave, []).append((run.task, run.number))
    return failed


def _not_done(identity, document, done, answered):
    """The steps of a job that were not done when it was told completed."""
    for time in range(max(1, document.get("times", 0))):
        for number, step in enumerate(document["steps"]):
            ends = done.get((identity, str(time), str(number)), {}).values()
            over = [one for one in ends if one <= answered]
            if not over if step.get("gang") else len(over) < step["count"]:
                yield f"{identity} is told completed, but step {number} of time {time} is not done"


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
    """Without faults no member of a gang waits in vain."""
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
