"""The fault scenario of clients that leave before their submission is answered, and cancel the job."""

from ..simulator import START
from .kinds import step_of
from .limits import HOST

CLIENTS = 8  # that leave in each turn
LEAVE_AFTER = 0.3  # seconds; after its submission a client leaves and cancels
LATEST_COPY = 1.5  # seconds; by which a copy of a submission may arrive later than usual
CANCEL_AGAIN = 0.2  # seconds; delay before a cancel that was not acknowledged is sent again
CANCEL_PATIENCE = 3.0  # seconds; a client waits this long for the answer to a cancel
DUE_IN = 6.0  # seconds; until the tasks of a timed job may start
DOWN_SECONDS = (0.0, 3.5, 3.5, 6.0)  # of a killed daemon, to draw from


def cancelled_early(simulator):
    """Clients submit jobs, through one or more front daemons, leave without an answer and cancel them at
    another one, while the leader is killed, frozen or partitioned, or all control daemons lose power.
    """
    for _ in range(3):
        _strike(simulator)
        for _ in range(CLIENTS):
            _LeavingClient(simulator).submit()
            simulator.run(simulator.draw.uniform(0, 0.1))
        simulator.run(simulator.draw.uniform(2, 4))
        simulator.heal()
        simulator.run(DUE_IN)


def _strike(simulator):
    """Begins one fault of the control daemons; a killed or frozen one comes back by itself."""
    variant = simulator.draw.choice(("killed", "killed", "frozen", "cut", "all", "none"))
    names = [name for name, node in simulator.nodes.items() if node.kind == "accord"]
    leader = simulator.leader()
    if variant == "all":
        for name in names:
            simulator.kill(name)
            simulator.at(
                1.0 + simulator.draw.uniform(0, 0.2), "later", lambda name=name: simulator.start(name)
            )
    elif leader is None or variant == "none":
        return
    elif variant == "killed":
        simulator.kill(leader.name)
        simulator.at(simulator.draw.choice(DOWN_SECONDS), "later", lambda: simulator.start(leader.name))
    elif variant == "frozen":
        simulator.freeze(leader.name)
        simulator.at(3.0, "later", lambda: simulator.thaw(leader.name))
    else:
        simulator.partition([leader.name], [name for name in names if name != leader.name])


class _LeavingClient:
    """A client that cancels its job without knowing whether it was accepted. Once the cancel is acknowledged
    the job counts as cancelled, and no check lets it start later.
    """

    def __init__(self, simulator):
        self.simulator = simulator
        stand_in, draw = simulator.client_stand_in, simulator.draw
        timed = draw.random() < 0.7
        identity = stand_in.submit(
            "timed", draw.choice(("held", "bare")), [step_of(1, 0.8, 300)], self._now()
        )
        self.job = stand_in.jobs[identity]
        self.job["out"] = True  # the stand-in client sends nothing about this job itself
        if timed:
            first_ms = (self._now() + DUE_IN) * 1000
            self.job["document"].update(first_ms=first_ms, every_ms=1000, times=1)
        self.fronts = draw.sample([node for node in simulator.nodes.values() if node.kind == "verge"], 3)
        self.copies = draw.choice((1, 1, 2, 3))  # of the submission, sent through as many front daemons
        self.cancels = 0

    def _now(self):
        return START + self.simulator.now

    def _send(self, node, call, arguments, answered, late=0.0):
        self.simulator.send_call("leaver", 0, node, call, arguments, CANCEL_PATIENCE, answered, late)

    def submit(self):
        """Sends the copies of the submission, and begins to cancel after a while."""
        arguments = (HOST, self.job["path"], self.job["document"])
        for node in self.fronts[: self.copies]:
            late = self.simulator.draw.choice((0.0, self.simulator.draw.uniform(0, LATEST_COPY)))
            self._send(node, "job", arguments, lambda status, document: None, late)
        self.simulator.at(LEAVE_AFTER, "later", self._cancel)

    def _cancel(self):
        node = self.fronts[-1 - self.cancels % 2]
        self.cancels += 1
        self.job["cancel_sent"] = self.job["cancel_sent"] or self._now()
        self._send(node, "job-cancel", (HOST, self.job["path"]), self._answered)

    def _answered(self, status, document):
        if status not in (200, 410):
            self.simulator.at(CANCEL_AGAIN, "later", self._cancel)
            return
        state = document["state"] if status == 200 else "cancelled"
        self.job.update(final=(state, self._now()), looks=0)
        if state == "cancelled":
            self.job["cancelled"] = self._now()
