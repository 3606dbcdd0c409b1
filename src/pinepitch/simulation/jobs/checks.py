"""Checks of the histories of leased jobs. They are independent of the code under test: their only input
is the answers that callers received and the actions of the workers. Each check returns a list of fault
descriptions.
"""

from typing import NamedTuple

from .limits import ATTEMPTS, CAPACITY, FINAL, IN_FLIGHT, MAX_EARLY_START


class Run(NamedTuple):
    """One run of a task at a worker, from its start to its end."""

    began: float  # seconds
    ended: float | None  # seconds; None while the run is active
    how: str | None  # done, failed, stopped, lost, alone or gone
    worker: str
    identity: str  # of the worker; new at each of its starts
    reference: str  # job.time.step.task
    number: int
    event: tuple  # the history event of its start

    @property
    def batch(self):
        """The (job, time, step) of its task."""
        return tuple(self.reference.split(".")[:3])

    @property
    def task(self):
        """The index of the task in its step."""
        return self.reference.split(".")[3]

    @property
    def job(self):
        """The identity of the job."""
        return self.reference.split(".")[0]


def runs_of(history):
    """Returns every run of the history, sorted by its start time."""
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
    return sorted(runs, key=lambda run: run[:1])


def noted_ends(history):
    """Returns reference -> [(end time, how, run)] of the ends that were acknowledged to the worker, where its
    lease did not lapse between the end and the acknowledgement.
    """
    ended_at, lapses, noted = {}, {}, {}
    for event in history:
        if event[0] == "end":
            ended_at[(event[3], event[4], event[5])] = event[1]
        elif event[0] == "lapse":
            lapses.setdefault(event[3], []).append(event[1])
        elif event[0] == "noted":
            _, when, _, identity, reference, run, how = event
            ended = ended_at[(identity, reference, run)]
            if not any(ended <= lapse <= when for lapse in lapses.get(identity, ())):
                noted.setdefault(reference, []).append((ended, how, run))
    return noted


def never_twice(history):
    """No two runs of a task overlap, and no task starts again after a run of it ended as done and that end
    was noted.
    """
    faults, earlier_runs = [], {}
    noted = noted_ends(history)
    for began, ended, _how, worker, _identity, reference, run, _ in runs_of(history):
        for other in earlier_runs.get(reference, ()):
            if other[0] is None or other[0] > began:
                faults.append(
                    f"{reference} run {run} started on {worker} at {began:.3f} while run {other[1]} ran "
                    f"on {other[2]}"
                )
        earlier_runs.setdefault(reference, []).append((ended, run, worker))
        for ended_at, ended_how, earlier in noted.get(reference, ()):
            if ended_how == "done" and ended_at < began:
                faults.append(
                    f"{reference} run {run} started at {began:.3f} "
                    f"after run {earlier} had ended done, as noted"
                )
    return faults


def steps_kept(history, jobs):
    """Every start satisfies what its job asks for: the order of steps, the due time, labels, the number of
    runs of a step at one worker, the spec and the checkpoints.
    """
    runs = runs_of(history)
    done = _first_done(runs)
    faults, checkpoints, ends_by_worker = [], {}, {}
    for run in runs:
        job = jobs.get(run.job)
        if job is None:
            faults.append(f"{run.reference} started, but its job was never submitted")
            continue
        step = job["document"]["steps"][int(run.batch[2])]
        faults.extend(_started_too_soon(run, step, job["document"], done))
        faults.extend(_started_at_wrong_worker(run, step, job))
        faults.extend(_started_too_close(run, step, ends_by_worker))
        faults.extend(_started_from_wrong_checkpoint(run, step, checkpoints))
    return faults


def _first_done(runs):
    """Returns batch -> task -> when its earliest started run that ended as done did so."""
    done = {}
    for run in runs:
        if run.how == "done":
            done.setdefault(run.batch, {}).setdefault(run.task, run.ended)
    return done


def _started_too_soon(run, step, document, done):
    """A run starts after the steps that its step depends on, and not before its due time."""
    job, time, _ = run.batch
    for other in step.get("after", ()):
        dependency = document["steps"][other]
        ends = [when for when in done.get((job, time, str(other)), {}).values() if when <= run.began]
        if not ends if dependency.get("gang") else len(ends) < dependency["count"]:
            yield f"{run.reference} started at {run.began:.3f} before step {other} was done"
    if document.get("times"):
        due = (document["first_ms"] + int(time) * document["every_ms"]) / 1000
        if run.began < due - MAX_EARLY_START:
            yield f"{run.reference} started {due - run.began:.3f} s early"


def _started_at_wrong_worker(run, step, job):
    """A run starts with the spec of its job, at a worker of its queue that has the required label."""
    if run.event[9] != job["document"]["spec"]:
        yield f"{run.reference} was started with the spec of another job"
    worker_index = int(run.worker[1:])
    if step.get("needs") and step["needs"] != "ab"[worker_index // 2 % 2]:
        yield f"{run.reference} started at a worker without the required label"
    if job["queue"] != ("bare" if worker_index % 2 else "held"):
        yield f"{run.reference} started at a worker of another queue"


def _started_too_close(run, step, ends_by_worker):
    """No worker has more runs of a step at once than the step allows; `ends_by_worker` collects when they
    ended.
    """
    if not step.get("apart"):
        return
    ends = ends_by_worker.setdefault((run.identity, *run.batch), [])
    running = [ended for ended in ends if ended is None or ended > run.began]
    if len(running) >= step["apart"]:
        yield f"{run.reference} started beside {len(running)} of its step"
    ends.append(run.ended)


def _started_from_wrong_checkpoint(run, step, checkpoints):
    """A run starts from a checkpoint of its own task or gang, and all members of a gang from the same one."""
    saved = run.event[8]
    gang = ".".join(run.batch)
    owner = gang if step.get("gang") else run.reference
    if saved and saved.rpartition(":")[0] != owner:
        yield f"{run.reference} was started from a checkpoint that another saved: {saved}"
    if step.get("gang") and checkpoints.setdefault((*run.batch, run.number), saved) != saved:
        yield f"members of gang {gang} run {run.number} were started from different checkpoints"


def attempts_kept(history, jobs):
    """No task starts after it has used up its attempts, by the failures that were noted."""
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
        before = [failed for failed, ended in failures.get(owner, {}).items() if ended < began]
        if len(before) >= ATTEMPTS:
            faults.append(f"{reference} run {run} started after {len(before)} failures")
    return faults


def capacity_kept(history):
    """No start exceeds the capacity of its worker, where runs that are being stopped still count."""
    faults = []
    for event in history:
        if event[0] == "start":
            _, when, worker, _, reference, run, _, capacity, _, _, used = event
            if any(used[kind] + capacity[kind] > CAPACITY[kind] for kind in range(3)):
                faults.append(
                    f"{reference} run {run} took {worker} beyond its room at {when:.3f}: "
                    f"{used} and {capacity}"
                )
    return faults


def cancels_kept(history, jobs, running_most):
    """After a cancel, only answers that are still in flight start runs, and no run goes on for longer than
    `running_most` seconds.
    """
    faults = []
    for began, ended, _, worker, _, reference, run, _ in runs_of(history):
        job = jobs.get(reference.split(".")[0])
        if job is None or job["cancelled"] is None:
            continue
        cancelled_at = job["cancelled"]
        if began > cancelled_at + IN_FLIGHT:
            faults.append(f"{reference} run {run} started {began - cancelled_at:.2f} s after its cancel")
        if ended is None or ended > max(began, cancelled_at) + running_most:
            faults.append(f"{reference} run {run} on {worker} ran on after its cancel")
    return faults


def closed_kept(history, spans, zones):
    """Draining workers and evacuated zones get no new runs. In an evacuated zone an answer may still be in
    flight, which IN_FLIGHT allows for.
    """
    faults, drained = [], {}
    for event in sorted(history, key=lambda entry: entry[1]):
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
    """The job states that callers receive agree with the runs of the history."""
    faults, runs = list(client.faults), runs_of(history)
    for run in runs:
        job = client.jobs.get(run.job)
        if job is not None and job["refused"] is not None:
            faults.append(f"{run.reference} started, though its job was refused")
    finals = {}
    faults.extend(_wrong_answers(client, runs, finals))
    for run in runs:
        state, reported_at = finals.get(run.job, ("", 1e18))
        if state and run.began > reported_at + IN_FLIGHT:
            faults.append(
                f"{run.reference} run {run.number} started {run.began - reported_at:.2f} s "
                f"after its job was reported {state}"
            )
    return faults


def _wrong_answers(client, runs, finals):
    """Faults in the states that callers received; `finals` collects identity -> (state, when reported)."""
    done, failed = _earliest_done(runs), _failures(runs)
    for _, sent, answered, identity, status, state in sorted(client.history, key=lambda answer: answer[2]):
        job = client.jobs[identity]
        if status == 410:
            yield f"{identity} is unknown {sent - job['accepted']:.2f} s after it was accepted"
        if status != 200:
            continue
        if identity in finals and finals[identity][0] != state and sent > finals[identity][1]:
            yield f"{identity} was {finals[identity][0]}, then {state}"
        if state not in FINAL:
            continue
        first = identity not in finals
        finals.setdefault(identity, (state, answered))
        if state == "cancelled" and job["cancel_sent"] is None:
            yield f"{identity} is reported cancelled, but no caller asked for that"
        if state == "failed" and first and not _used_up_attempts(identity, job["document"], failed):
            yield f"{identity} is reported failed without cause"
        if state == "completed" and first:
            yield from _not_done(identity, job["document"], done, answered)


def _earliest_done(runs):
    """Returns batch -> task -> the earliest time at which a run of it ended as done."""
    done = {}
    for run in runs:
        if run.how == "done":
            ends = done.setdefault(run.batch, {})
            ends[run.task] = min(run.ended, ends.get(run.task, run.ended))
    return done


def _failures(runs):
    """Returns batch -> [(task, run)] of the failed runs."""
    failed = {}
    for run in runs:
        if run.how == "failed":
            failed.setdefault(run.batch, []).append((run.task, run.number))
    return failed


def _not_done(identity, document, done, answered):
    """The steps of a job that were not done when it was reported completed."""
    for time in range(max(1, document.get("times", 0))):
        for number, step in enumerate(document["steps"]):
            ends = done.get((identity, str(time), str(number)), {}).values()
            ended = [when for when in ends if when <= answered]
            if not ended if step.get("gang") else len(ended) < step["count"]:
                yield f"{identity} is reported completed, but step {number} of time {time} is not done"


def _used_up_attempts(identity, document, failed):
    """Whether some task or gang of a job has used up its attempts."""
    for (job, _time, number), runs in failed.items():
        if job != identity:
            continue
        gang = document["steps"][int(number)].get("gang")
        counts = {}
        for index, run in runs:
            counts.setdefault("" if gang else index, set()).add(run)
        if any(len(failed_runs) >= ATTEMPTS for failed_runs in counts.values()):
            return True
    return False


def gangs_met(history, jobs):
    """Without faults, every member of a gang meets all the others; none gives up waiting for them."""
    return [
        f"{event[4]} run {event[5]} ended alone"
        for event in history
        if event[0] == "end" and event[6] == "alone" and jobs[event[4].split(".")[0]]["cancelled"] is None
    ]


def refused_without_rival(changes):
    """No change is refused if it was the only one sent on top of a version that was in force."""
    faults = []
    accepted = {change.version for change in changes if change.acknowledged() is not None}
    for change in changes:
        rivals = [other for other in changes if other.base == change.base and other is not change]
        if change.was_refused() and change.base in accepted and not rivals:
            faults.append(f"version {change.version} was refused, though it alone built on {change.base}")
    return faults
