"""How long an outage of the whole control plane lasts: every control daemon is killed right after a job
was accepted and started again, and each step of the way back is timed from the last start.

`python -m pinepitch.simulation.outage [SEEDS]` prints the spans over seeds.
"""

import statistics
import sys
from typing import NamedTuple

from .leased_job_trial import Tenancy
from .simulator import START

DOWN = 0.5  # seconds; from the kill to the first start: the platform starts what ended
LONG = 5.0  # seconds; the same after a loss of power
STAGGER = 0.3  # seconds; the starts are spread over this
WATCHED = 12.0  # seconds; from the last start, in which everything is expected to happen
CANDIDATE, LEADER, SINGLETON_ROLE = 121, 122, 150  # numbers of the events that are timed
JOB_RATE = 3.0  # times the usual traffic, so that the first answer is not waited for


class Outage(NamedTuple):
    """Seconds from the last start of a control daemon to each step; None for what never came."""

    candidate: float | None
    leader: float | None
    singleton_role: float | None
    accepted: float | None  # the first job that was handed in during the outage or later
    started: float | None  # the first start of a task at a worker
    last_accepted: float | None  # the last of the jobs that were handed in before the leader was there
    handed_in: int  # jobs handed in from the kill until the leader was there
    refused: int  # of the tries sent until then, answered "not taken"
    in_doubt: int  # of those, answered "may have been taken", or not at all
    deferred: float  # seconds that all the tries were held that were answered, but not with success
    longest_deferred: float  # the longest of them


def measure(seed, watched=WATCHED, down=DOWN):
    """One outage, with all that the seed draws: `down` seconds from the kill to the first start,
    watched for some seconds from the last one.
    """
    simulator = Tenancy(seed)
    simulator.client_stand_in.rate = JOB_RATE
    simulator.begin()
    simulator.run(4 + simulator.draw.random())
    answers = _recorded_answers(simulator)
    known = _accepted(simulator)
    simulator.until(lambda: _accepted(simulator) > known, 10, 0.004)
    killed = simulator.now
    control_daemons = [name for name, node in simulator.nodes.items() if node.kind == "accord"]
    for name in control_daemons:
        simulator.kill(name)
    simulator.run(down)
    delays = sorted(simulator.draw.random() * STAGGER for _ in control_daemons)
    simulator.draw.shuffle(control_daemons)
    for name, delay, before in zip(control_daemons, delays, [0.0, *delays], strict=False):
        simulator.run(delay - before)
        simulator.start(name)
    last = simulator.now
    simulator.run(watched)
    return _spans(simulator, killed, last, answers)


def _accepted(simulator):
    return sum(job["accepted"] is not None for job in simulator.client_stand_in.jobs.values())


def _recorded_answers(simulator):
    """A list that fills with (sent, answered, status) of every try to hand in a job."""
    answers, submitted = [], simulator.client_stand_in._submitted

    def record(job, sent, status, document, now):
        answers.append((sent - START, now - START, status))
        return submitted(job, sent, status, document, now)

    simulator.client_stand_in._submitted = record
    return answers


def _spans(simulator, killed, last, answers):
    """The Outage that a simulated run went through."""

    def event(number):
        return _first(
            at - last for at, _, told_number, _ in simulator.trace if told_number == number and at > killed
        )

    leader = event(LEADER)
    until = simulator.now - last if leader is None else leader
    jobs = [
        job for job in simulator.client_stand_in.jobs.values() if killed < job["sent"] - START < last + until
    ]
    accepted = [job["accepted"] - START - last for job in jobs if job["accepted"] is not None]
    early = [one for one in answers if killed < one[0] < last + until]
    deferred = [answered - sent for sent, answered, status in early if status not in (0, 200)]
    return Outage(
        event(CANDIDATE),
        leader,
        event(SINGLETON_ROLE),
        _first(accepted),
        _first(
            one[1] - START - last
            for one in simulator.worker_history
            if one[0] == "start" and one[1] - START > last
        ),
        max(accepted) if jobs and len(accepted) == len(jobs) else None,
        len(jobs),
        sum(status in (429, 503) for _, _, status in early),
        sum(status in (0, 504) for _, _, status in early),
        sum(deferred),
        max(deferred, default=0.0),
    )


def _first(moments):
    return min(moments, default=None)


def main(seeds="20"):
    """Prints, for short and long outages over seeds, median and longest of each span, and the sums."""
    for down in (DOWN, LONG):
        print(f"away for {down} s")
        outages = [measure(seed, down=down) for seed in range(int(seeds))]
        for field in Outage._fields[:6]:
            found = [getattr(one, field) for one in outages if getattr(one, field) is not None]
            figures = f"median {statistics.median(found):6.3f}  most {max(found):6.3f}" if found else "never"
            print(f"{field:14} {figures}  seen {len(found)}")
        for field in Outage._fields[6:9]:
            print(f"{field:14} {sum(getattr(one, field) for one in outages)}")
        deferred = sum(one.deferred for one in outages), max(one.longest_deferred for one in outages)
        print(f"held, in vain   {deferred[0]:6.1f} s in all, longest {deferred[1]:.2f} s")


if __name__ == "__main__":
    main(*sys.argv[1:])
