"""The faults that a soak injects. Each begins and ends some seconds later; several overlap."""

import signal
from typing import NamedTuple

from pinepitch.simulation.jobs.kinds import step_of

WIDE_TASKS = (550, 1200)  # (fewest, most) tasks of a wide job; more than a heartbeat lists ends
WIDE_TASK_CPU, WIDE_TASK_MEMORY = 5, 8  # thousandths of a core, megabytes
WIDE_TASK_SECONDS = (0.8, 2.5)  # (shortest, longest)


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
    "lose-answers": SoakFault("", _lose_answers, _keep_answers, 1.0, 4.0),
}
