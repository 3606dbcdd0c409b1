"""The simulated fleet that runs leased jobs: workers, a client, an operator, and the calls among them."""

import itertools
import json

from ...common import constants, events
from ...scheduling.leased_job_state import LeasedJobState
from ..daemon_calls import send_call
from ..simulator import START, Simulator
from ..stand_in_lease_worker import StandInLeaseWorker
from .limits import CAPACITY, ENDS_WITHIN, FIVE, HEARTBEAT_PATIENCE, SERVED_WITHIN, TENANTS, THREE
from .operator_traffic import OperatorTraffic
from .plans import FleetPlan
from .stand_in_client import StandInClient
from .stand_in_operator import StandInOperator

# Calls whose effect must survive once they are acknowledged.
ACKNOWLEDGED = ("job", "job-cancel", "configure", "amend", "evacuate")


class Tenancy(Simulator):
    """The simulator with workers of leased jobs.

    Invariants: workers send heartbeats to control daemons, clients send calls to front daemons. Answers are
    lost with probability answer_loss, and heartbeats and answers delayed with probability late_probability.
    """

    def __init__(self, seed, plan=None):
        self.plan = plan or FleetPlan(
            FIVE if seed % 3 == 0 else THREE, "static", constants.BOOTSTRAP_MEMBERS, 1
        )
        self.gangs = {}
        # Probabilities that an answer is lost, and that a heartbeat or an answer is late.
        self.answer_loss = self.late_probability = 0.0
        self.max_lateness = 0.0  # seconds
        self.delayed = {}  # worker -> its heartbeats, deferred until a fault scenario delivers them
        self.acknowledgement_loss = 0.0  # of lost answers to the operator, in addition to answer_loss
        self.acknowledgements = []  # (time of the acknowledgement, call, daemon that answered)
        super().__init__(
            seed,
            self.plan.areas,
            workers=(("w", TENANTS, CAPACITY, (), True),),
            founders=constants.BOOTSTRAP_MEMBERS if self.plan.mode == "single" else len(self.plan.areas),
            mode=self.plan.mode,
            kinds={"minion": self._make_worker},
        )
        self.client_stand_in = StandInClient(seed)
        self.operator_stand_in = StandInOperator(self)
        self.orders = OperatorTraffic(self)

    def _make_worker(self, name, zone, address, capacity, labels, guards, seed, history):
        worker_index = int(name[1:])
        guards = worker_index % 2 == 0
        control_daemons = [node.address for node in self.nodes.values() if node.kind == "accord"]
        return StandInLeaseWorker(
            name,
            zone,
            address,
            capacity,
            ["ab"[worker_index // 2 % 2], f"r1-{worker_index % 3}"],
            guards,
            seed,
            history,
            "held" if guards else "bare",
            control_daemons,
            self.gangs,
        )

    def start(self, name):
        """Starts a daemon. Only control daemons that start at time 0 may bootstrap the cluster."""
        super().start(name)
        node = self.nodes[name]
        if node.kind == "accord":
            node.core.voters = self.plan.voters
            node.core.may_bootstrap = self.now == 0.0
            if self.plan.mode == "single":
                node.core.bootstrap_among = tuple(self.seeds)

    # --- calls ------------------------------------------------------------------------
    def send_call(self, source, incarnation, node, call, arguments, patience, answered, late=0.0):
        """Sends a call to one daemon and records its acknowledgement. answered(status, document) is called
        with the answer, or with (0, None) if none came in time.
        """

        def recorded(status, document):
            if status == 200 and call in ACKNOWLEDGED:
                self.acknowledgements.append((self.now, call, node.name))
            answered(status, document)

        send_call(self, source, incarnation, node, call, arguments, patience, recorded, late)

    def _lateness(self):
        return self.draw.uniform(0, self.max_lateness) if self.draw.random() < self.late_probability else 0.0

    def _worker_ended(self, node):
        """Marks a worker as down, because its process has ended."""
        node.down = True
        node.incarnation += 1
        self._mark_absent(node.name)

    def _worker_effects(self, node, effects, message):
        for effect in effects:
            target = self.by_address[effect[1]]
            if effect[0] == "end":
                self._worker_ended(node)
                continue
            if effect[0] == "leave":
                self.send_call(
                    node.name,
                    node.incarnation,
                    target,
                    "beat-leave",
                    (effect[2],),
                    HEARTBEAT_PATIENCE,
                    lambda *answered: None,
                )
                if node.core.over:  # otherwise it continues to serve
                    self._worker_ended(node)
                continue
            _, _, number, identity, document = effect
            if node.name in self.delayed:
                self.delayed[node.name].append((target, identity, json.loads(json.dumps(document))))
                continue
            self.send_call(
                node.name,
                node.incarnation,
                target,
                "beat",
                (identity, document),
                HEARTBEAT_PATIENCE,
                self._heartbeat_answered(node, node.incarnation, number),
                self._lateness(),
            )

    def deliver_late(self, target, identity, document):
        """Delivers a delayed heartbeat, whose sender no longer waits for an answer."""
        self.send_call(
            "late", 0, target, "beat", (identity, document), HEARTBEAT_PATIENCE, lambda *answered: None
        )

    def _heartbeat_answered(self, node, incarnation, number):
        """Returns the callback that passes the answer to a heartbeat on to its worker, late or not at all by
        chance.
        """

        def answered(status, document):
            if self.draw.random() >= self.answer_loss and (status or document is None):
                delay = self._lateness()
                if status or not (delay or node.incarnation != incarnation):
                    self.at(delay, "give", node.name, incarnation, ("told", number, status, document or {}))

        return answered

    def _called_daemons(self, tag):
        """The daemons that a call with that tag may be sent to."""
        return [node for node in self.nodes.values() if node.kind == "verge"]

    def _send_client_calls(self, name, effects):
        for _, selector, call, arguments, tag in effects:
            daemons = self._called_daemons(tag)

            def answered(status, document, tag=tag):
                if self.draw.random() < self.answer_loss:
                    status, document = 0, None
                self._send_client_calls(
                    name, self.client_stand_in.step(("answered", tag, status, document), START + self.now)
                )

            self.send_call(
                name, 0, daemons[selector % len(daemons)], call, arguments, constants.CALL_PATIENCE, answered
            )

    def persist_call(self, kind, call, arguments, decided, seconds):
        """Sends an operator's call, and repeats it unchanged to one daemon after another until it gets a
        definite answer. decided(status, document) is called once with that answer, or never if none comes
        within `seconds`.
        """
        until, turns = self.now + seconds, itertools.count(self.draw.randrange(10))
        nodes = [node for node in self.nodes.values() if node.kind == kind]

        def attempt():
            if self.now < until:
                self.send_call(
                    "operator",
                    0,
                    nodes[next(turns) % len(nodes)],
                    call,
                    arguments,
                    constants.CALL_PATIENCE,
                    answered,
                )

        def answered(status, document):
            if self.draw.random() < max(self.answer_loss, self.acknowledgement_loss):
                status = 0
            if status in (0, 408, 429) or status >= 500:
                self.at(0.2, "later", attempt)
            else:
                decided(status, document)

        attempt()

    # --- the trial --------------------------------------------------------------------
    def begin(self):
        """Waits until the cluster serves with all members, then starts the stand-in operator and client."""
        if (
            self.until(lambda: self.leader() is not None and self.leader().core.consensus.serving(), 30)
            is None
        ):
            raise AssertionError("no leader within 30 s")
        if self.plan.mode == "single" and self.until(self._grown, 30) is None:
            raise AssertionError(f"fewer than {self.plan.voters} members within 30 s")
        self.operator_stand_in.send_first_configuration()
        self.callers["patron"] = self.client_stand_in
        self.at(0.0, "caller", "patron")

    def _grown(self):
        """Whether there are as many members as wanted, and no change of members is pending."""
        leader = self.leader()
        membership = leader.core.consensus.membership if leader is not None else None
        return (
            membership is not None
            and membership.coming is None
            and len(membership.now.members) >= self.plan.voters
        )

    def quiet(self):
        """Whether the client has received the final state of every job."""
        return self.client_stand_in.quiet()

    def finish(self, seconds=ENDS_WITHIN):
        """Ends all faults and waits until every job has ended; False if that takes longer than `seconds`."""
        self.answer_loss = self.late_probability = self.max_lateness = self.acknowledgement_loss = 0.0
        for span in self.operator_stand_in.spans:
            if span[2] is None:
                self.operator_stand_in.restore(span)
        for node in self.nodes.values():
            if node.kind == "minion" and node.core.state == "draining" and not node.down:
                self.until(lambda node=node: node.down, 10)
        return super().finish(seconds)

    def expect_service(self, condition, within=SERVED_WITHIN):
        """Records a fault unless a job that is submitted from now on is accepted in time."""
        begun = START + self.now
        if (
            self.until(
                lambda: any(
                    job["sent"] >= begun and job["accepted"] for job in self.client_stand_in.jobs.values()
                ),
                within,
            )
            is None
        ):
            self.operator_stand_in.faults.append(f"no job was taken within {within:.0f} s {condition}")

    def agreement(self):
        """Faults in the agreement of the replicas.

        In addition to the checks of the cluster states: the leased job states of two control daemons are
        equal where both have applied the same entries; each is equal to the state restored from its image;
        and no control daemon has found a violation of the invariants of placing, which each checks itself.
        """
        faults, leased_jobs_of = super().agreement(), {}
        for node in self.nodes.values():
            if node.kind != "accord" or node.core is None or node.core.consensus is None:
                continue
            broken = node.core.event_counts.get(events.PLACING_VIOLATED, 0)
            if broken:
                faults.append(f"{node.name} found invariants of placing violated {broken} times")
            leased_jobs, index = node.core.cluster_state.leased_jobs, node.core.cluster_state.index
            # Compared as JSON, because a proposer's own entries have tuples where received ones have lists.
            image = json.dumps(leased_jobs.image())
            if leased_jobs_of.setdefault(index, image) != image:
                faults.append(f"the leased job state of {node.name} differs at {index}")
            restored = LeasedJobState.from_image(json.loads(image))
            # a leader builds batches as soon as they are due by its own clock, which is ahead
            time = max(node.core.cluster_state.time, node.core.cluster_time(self.now))
            for state in (leased_jobs, restored):
                state.open_due(time)
            for name, derived in (
                ("ready", lambda state: set(state.ready)),
                ("counts", _counted),
                ("waves", _batches),
            ):
                if derived(leased_jobs) != derived(restored):
                    faults.append(
                        f"at {node.name} {name} of the leased job state differ from those of its image"
                    )
        return faults


def _counted(leased_jobs):
    return {queue: count for queue, count in leased_jobs.queued_counts.items() if count}


def _batches(leased_jobs):
    return {
        batch.key(): (batch.open_predecessors, batch.open_tasks, tuple(sorted(batch.waiting)))
        for job in leased_jobs.jobs.values()
        for batch in job.batches.values()
    }
