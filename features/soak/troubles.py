"""The faults that a soak injects. Each begins and ends some seconds later; several overlap."""

import signal
from typing import NamedTuple

from features.crowds.behaviours import behaviour
from features.crowds.crowd import Crowd

from pinepitch.simulation.jobs.kinds import step_of

WIDE_TASKS = (550, 1200)  # (fewest, most) tasks of a wide job; more than a heartbeat lists ends
WIDE_TASK_CPU, WIDE_TASK_MEMORY = 5, 8  # thousandths of a core, megabytes
WIDE_TASK_SECONDS = (0.8, 2.5)  # (shortest, longest)
SPEC_LENGTH = 4_000  # characters; the longest specification
LONG_SPEC_TASKS = (300, 1300)  # (fewest, most) tasks of a job with the longest specification
LONG_SPEC_CPU = 2  # thousandths of a core, so that one worker has room for all tasks
# Steps at the limits of what a task may ask for: (number of tasks, thousandths of a core, further fields).
LIMIT_STEPS = (
    ((2, 0, {}),),
    ((1, 100, {}), (1, 0, {})),
    ((1, 0, {}), (2, 100, {"after": [0]}), (1, 0, {"after": [1]})),
    ((3, 0, {"gang": True}),),
    ((4, 0, {"twice": True}),),
    ((2, 0, {"gpu": 1}),),
)
CROWD_MEMBERS = (10, 40)  # (fewest, most) connections of a crowd
# What a crowd does: (kind of daemon, port, name of the behaviour).
CROWDS = tuple(
    (kind, port, what)
    for kind, port in (("front", "front"), ("core", "control"))
    for what in (
        "bodies that stop short of their announced end",
        "bodies of an allowed size that stop short",
        "bodies in very many chunks",
        "bodies announced without bound",
        "whole bodies of an allowed size of many small values",
        "connections that say nothing",
    )
) + tuple(
    (kind, "frames", what)
    for kind in ("front", "core")
    for what in (
        "connections that say nothing",
        "frames like ours that stop short",
        "whole frames of many small values",
    )
)
LIMIT_TASK_SECONDS = (0.0, 1.0)  # (shortest, longest)


class SoakFault(NamedTuple):
    """begin(soak, name) and end(soak, name) for a daemon or worker of `kind`."""

    kind: str  # "core", "front", "worker", or "" for all of the soak
    begin: object
    end: object
    least: float  # seconds that it lasts
    most: float


def _kill(soak, name):
    soak.processes.kill(name)


def _wipe(soak, name):
    soak.processes.kill(name)
    soak.processes.wipe(name)
    soak.wiped_at = soak.clock()


def _start(soak, name):
    soak.processes.start(name)


def _pause(soak, name):
    soak.processes.pause(name)


def _resume(soak, name):
    soak.processes.resume(name)


def _terminate(soak, name):
    """A planned stop: the daemon finishes what it has taken, while callers go on using its connections."""
    soak.terminated[name] = soak.clock()
    soak.processes.signal(name, signal.SIGTERM)


def _restart(soak, name):
    soak.restart(name)


def _reread(soak, name):
    soak.processes.signal(name, signal.SIGHUP)


def _change(soak, name):
    soak.change_configuration()


def _restart_in_turn(soak, name):
    """Planned stops of all daemons of a kind, one after another, this one first."""
    kind = name.rstrip("0123456789")
    soak.restart_next = [one for one in soak.processes.names(kind) if one != name]
    _terminate(soak, name)


def _restart_and_go_on(soak, name):
    """Starts the daemon again, and stops the next one that nothing else has happened to."""
    _restart(soak, name)
    while soak.restart_next:
        following = soak.restart_next.pop(0)
        if following not in soak.open:
            fault = "restart-cores" if following.startswith("core") else "restart-fronts"
            soak.open[following] = (fault, soak.clock() + soak.draw.uniform(0.2, 1.0))
            _terminate(soak, following)
            return


def _signal_all(soak, name):
    """SIGHUP to every daemon that runs, and changes of the configuration at the same time."""
    for running in sorted(soak.processes.running):
        soak.processes.signal(running, signal.SIGHUP)
        soak.change_configuration()


def _nothing(soak, name):
    """What was begun ends by itself."""


def _crash(soak, name):
    """A worker crashes; its next incarnation starts when the fault ends."""
    soak.away.add(name)
    soak.workers[name].crash(soak.clock())


def _reborn(soak, name):
    soak.away.discard(name)
    soak.workers[name].begin()


def _partition(soak, name):
    """A worker goes on running but is cut off from all daemons."""
    soak.cut.add(name)


def _join(soak, name):
    soak.cut.discard(name)


def _drain(soak, name):
    soak.workers[name].drain(soak.clock())


def _drained(soak, name):
    """The drained worker has ended, or ends now; a new incarnation takes its place."""
    soak.finish_incarnation(name)


def _drain_besides(soak, name):
    """Drains a worker in addition to the one that a fault names, as by drain-worker."""
    soak.open[name] = ("drain-worker", soak.clock() + FAULTS["drain-worker"].most)
    _drain(soak, name)


def _drain_two(soak, name):
    """Two workers drain at the same time."""
    _drain(soak, name)
    others = [other for other in soak.workers if other not in soak.open]
    if others:
        _drain_besides(soak, soak.draw.choice(others))


def _drain_busiest(soak, name):
    """The worker with the most runs drains, close to the time at which the tasks of a wide job end."""
    busiest = max(soak.workers, key=lambda worker: len(soak.workers[worker].running))
    if busiest not in soak.open:
        _drain_besides(soak, busiest)


def _submit_wide_job(soak, name):
    """One job whose tasks end at about the same time on one or two workers."""
    steps = [
        step_of(
            soak.draw.randint(*WIDE_TASKS),
            soak.draw.uniform(*WIDE_TASK_SECONDS),
            WIDE_TASK_CPU,
            mem_mb=WIDE_TASK_MEMORY,
        )
    ]
    soak.client_stand_in.submit("wide", soak.draw.choice(("held", "bare")), steps, soak.clock())


def _submit_limit_job(soak, name):
    """A job whose tasks ask for nothing, or for as little as they may."""
    seconds = soak.draw.uniform(*LIMIT_TASK_SECONDS)
    steps = [
        step_of(count, seconds, cpu, mem_mb=0, **fields)
        for count, cpu, fields in soak.draw.choice(LIMIT_STEPS)
    ]
    soak.client_stand_in.submit("limit", soak.draw.choice(("held", "bare")), steps, soak.clock())


def _submit_long_job(soak, name):
    """A wide job with the longest specification: its starts on one worker don't fit one answer."""
    steps = [step_of(soak.draw.randint(*LONG_SPEC_TASKS), 0.5, LONG_SPEC_CPU, mem_mb=0)]
    identity = soak.client_stand_in.submit("long", "held", steps, soak.clock())
    document = soak.client_stand_in.jobs[identity]["document"]
    document["spec"] = document["spec"].ljust(SPEC_LENGTH)  # blanks after JSON change nothing


def _crowd_comes(soak, name):
    """Clients that do not behave come to one port of a daemon."""
    kind = name.rstrip("0123456789")
    _, port, what = soak.draw.choice([crowd for crowd in CROWDS if crowd[0] == kind])
    members = soak.draw.randint(*CROWD_MEMBERS)
    crowd = Crowd(soak.processes.address(name, port), behaviour(what, port)._replace(members=members))
    soak.crowds[name] = (what, crowd)
    crowd.come()


def _crowd_leaves(soak, name):
    """The crowd goes; the daemon must have lived within its memory."""
    what, crowd = soak.crowds.pop(name)
    crowd.leave()
    if soak.processes.running[name].poll() is not None:
        soak.faults.append(f"{name} ended beside a crowd with {what}")
    elif soak.processes.memory_peak(name) > soak.processes.memory_limit:
        peak = soak.processes.memory_peak(name) / 1e6
        soak.faults.append(f"{name} took {peak:.0f} MB beside a crowd with {what}")


def _lose_answers(soak, name):
    soak.answer_loss = 0.3


def _keep_answers(soak, name):
    soak.answer_loss = 0.0


FAULTS = {
    "kill-core": SoakFault("core", _kill, _start, 0.2, 3.0),
    "kill-front": SoakFault("front", _kill, _start, 0.2, 2.0),
    "wipe-core": SoakFault("core", _wipe, _start, 0.2, 2.0),
    "pause-core": SoakFault("core", _pause, _resume, 0.3, 4.0),
    "pause-front": SoakFault("front", _pause, _resume, 0.3, 3.0),
    "term-core": SoakFault("core", _terminate, _restart, 0.5, 3.0),
    "term-front": SoakFault("front", _terminate, _restart, 0.2, 3.0),
    "hup-core": SoakFault("core", _reread, _nothing, 0.0, 0.2),
    "hup-front": SoakFault("front", _reread, _nothing, 0.0, 0.2),
    "change-configuration": SoakFault("", _change, _nothing, 0.0, 0.5),
    "crash-worker": SoakFault("worker", _crash, _reborn, 0.5, 4.0),
    "cut-worker": SoakFault("worker", _partition, _join, 0.5, 7.0),
    "drain-worker": SoakFault("worker", _drain, _drained, 7.0, 9.0),
    "drain-two-workers": SoakFault("worker", _drain_two, _drained, 7.0, 9.0),
    "wide-job": SoakFault("", _submit_wide_job, _nothing, 0.5, 2.0),
    "wide-job-drained": SoakFault("", _submit_wide_job, _drain_busiest, 0.8, 2.5),
    "limit-job": SoakFault("", _submit_limit_job, _nothing, 0.1, 0.5),
    "long-job": SoakFault("", _submit_long_job, _nothing, 0.5, 2.0),
    "restart-cores": SoakFault("core", _restart_in_turn, _restart_and_go_on, 0.2, 1.0),
    "restart-fronts": SoakFault("front", _restart_in_turn, _restart_and_go_on, 0.2, 1.0),
    "crowd-front": SoakFault("front", _crowd_comes, _crowd_leaves, 0.5, 4.0),
    "crowd-core": SoakFault("core", _crowd_comes, _crowd_leaves, 0.5, 4.0),
    "signal-all": SoakFault("", _signal_all, _nothing, 0.0, 0.5),
    "lose-answers": SoakFault("", _lose_answers, _keep_answers, 1.0, 4.0),
}
