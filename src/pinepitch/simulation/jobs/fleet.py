"""The simulated fleet that runs jobs: tenants, a caller, an operator, and the calls among them."""

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

ACKNOWLEDGED = ("job", "job-cancel", "configure", "amend", "evacuate")  # calls whose answer must hold


class Tenancy(Simulator):
    """The simulator with workers of leased jobs. Invariants: workers heartbeat at control daemons, callers
    call at front daemons; answers get lost or late by chance as answer_loss and late_part say.
    """

    def __init__(self, seed, plan=None):
        self.plan = plan or FleetPlan(
            FIVE if seed % 3 == 0 else THREE, "static", constants.BOOTSTRAP_MEMBERS, 1
        )
        self.gangs = {}
        self.answer_loss = self.late_part = 0.0  # parts; of answers lost, of heartbeats and answers late
        self.late_most = 0.0  # seconds
        self.delayed = {}  # worker -> its heartbeats, kept back until a fault scenario lets them arrive
        self.acknowledgement_loss = 0.0  # part; of answers to the operator lost, beside answer_loss
        self.acknowledgements = []  # (when it arrived, call, the daemon that answered)
        super().__init__(
            seed,
            self.plan.areas,
            workers=(("w", TENANTS, CAPACITY, (), True),),
            founders=constants.BOOTSTRAP_MEMBERS if self.plan.mode == "single" else len(self.plan.areas),
            mode=self.plan.mode,
            kinds={"minion": self._tenant},
        )
        self.client_stand_in = StandInClient(seed)
        self.operator_stand_in = StandInOperator(self)
        self.orders = OperatorTraffic(self)

    def _tenant(self, name, zone, address, capacity, labels, guards, seed, history):
        place = int(name[1:])
        guards = place % 2 == 0
        control_daemons = [node.address for node in self.nodes.values() if node.kind == "accord"]
        return StandInLeaseWorker(
            name,
            zone,
            address,
            capacity,
            ["ab"[place // 2 % 2], f"r1-{place % 3}"],
            guards,
            seed,
            history,
            "held" if guards else "bare",
            control_daemons,
            self.gangs,
        )

    def start(self, name):
        """Starts a daemon; only one of the first start may found the cluster."""
        super().start(name)
        node = self.nodes[name]
        if node.kind == "accord":
            node.core.voters = self.plan.voters
            node.core.may_bootstrap = self.now == 0.0
            if self.plan.mode == "single":
                node.core.bootstrap_among = tuple(self.seeds)

    # --- calls ------------------------------------------------------------------------
    def send_call(self, source, incarnation, node, call, arguments, patience, answered, late=0.0):
        """A call to one daemon; answered(status, document) is called, with (0, None) in the end. What is
        acknowledged is taken note of.
        """

        def noted(status, document):
            if status == 200 and call in ACKNOWLEDGED:
                self.acknowledgements.append((self.now, call, node.name))
            answered(status, document)

        send_call(self, source, incarnation, node, call, arguments, patience, noted, late)

    def _lateness(self):
        return self.draw.uniform(0, self.late_most) if self.draw.random() < self.late_part else 0.0

    def _worker_over(self, node):
        """A worker's process has ended."""
        node.down = True
        node.incarnation += 1
        self._mark_absent(node.name)

    def _worker_effects(self, node, effects, message):
        for effect in effects:
            target = self.by_address[effect[1]]
            if effect[0] == "end":
                self._worker_over(node)
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
                if node.core.over:  # else it serves on
                    self._worker_over(node)
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

    def arrive(self, target, identity, document):
        """A heartbeat that was under way for long, whose sender waits for no answer any more."""
        self.send_call(
            "late", 0, target, "beat", (identity, document), HEARTBEAT_PATIENCE, lambda *answered: None
        )

    def _heartbeat_answered(self, node, incarnation, number):
        """What brings a heartbeat's answer back, late or never by chance."""

        def answered(status, document):
            if self.draw.random() >= self.answer_loss and (status or document is None):
                late = self._lateness()
                if status or not (late or node.incarnation != incarnation):
                    self.at(late, "give", node.name, incarnation, ("told", number, status, document or {}))

        return answered

    def _called_daemons(self, tag):
        """The daemons of which a caller calls one."""
        return [node for node in self.nodes.values() if node.kind == "verge"]

    def _send_client_calls(self, name, effects):
        for _, draw, call, arguments, tag in effects:
            daemons = self._called_daemons(tag)

            def answered(status, document, tag=tag):
                if self.draw.random() < self.answer_loss:
                    status, document = 0, None
                self._send_client_calls(
                    name, self.client_stand_in.step(("answered", tag, status, document), START + self.now)
                )

            self.send_call(
                name, 0, daemons[draw % len(daemons)], call, arguments, constants.CALL_PATIENCE, answered
            )

    def persist_call(self, kind, call, arguments, decided, seconds):
        """An operator's call, sent again unchanged to one daemon after another until it is clearly
        answered: decided(status, document) is told once, or never when `seconds` are over.
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

    # --- the day ----------------------------------------------------------------------
    def begin(self):
        """Waits until the cluster serves with all its members, and lets the stand-ins begin."""
        if (
            self.until(lambda: self.leader() is not None and self.leader().core.consensus.serving(), 30)
            is None
        ):
            raise AssertionError("no leader within 30 s")
        if self.plan.mode == "single" and self.until(self._grown, 30) is None:
            raise AssertionError(f"fewer than {self.plan.voters} members within 30 s")
        self.operator_stand_in.found()
        self.callers["patron"] = self.client_stand_in
        self.at(0.0, "caller", "patron")

    def _grown(self):
        """Whether as many are members as are wanted, with no change of members under way."""
        leader = self.leader()
        membership = leader.core.consensus.membership if leader is not None else None
        return (
            membership is not None
            and membership.coming is None
            and len(membership.now.members) >= self.plan.voters
        )

    def quiet(self):
        """Whether the client has seen the end of every job."""
        return self.client_stand_in.quiet()

    def finish(self, seconds=ENDS_WITHIN):
        """Ends all faults and waits until every job has ended; False if that takes longer."""
        self.answer_loss = self.late_part = self.late_most = self.acknowledgement_loss = 0.0
        for span in self.operator_stand_in.spans:
            if span[2] is None:
                self.operator_stand_in.restore(span)
        for node in self.nodes.values():
            if node.kind == "minion" and node.core.state == "draining" and not node.down:
                self.until(lambda node=node: node.down, 10)
        return super().finish(seconds)

    def served(self, why, within=SERVED_WITHIN):
        """A fault unless a job handed in from now on is accepted in time."""
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
            self.operator_stand_in.faults.append(f"no job was taken within {within:.0f} s {why}")

    def agreement(self):
        """Beside the cluster states, the leased job states: alike where as much is applied, and as
        their image says; and the invariants of placing, which each control daemon checks itself.
        """
        faults, leased_jobs_of = super().agreement(), {}
        for node in self.nodes.values():
            if node.kind != "accord" or node.core is None or node.core.consensus is None:
                continue
            broken = node.core.event_counts.get(events.PLACING_VIOLATED, 0)
            if broken:
                faults.append(f"{node.name} found invariants of placing broken {broken} times")
            leased_jobs, index = node.core.cluster_state.leased_jobs, node.core.cluster_state.index
            image = json.dumps(
                leased_jobs.image()
            )  # an entry of one's own holds tuples where one that came holds lists
            if leased_jobs_of.setdefault(index, image) != image:
                faults.append(f"the board of {node.name} differs at {index}")
            again = LeasedJobState.from_image(json.loads(image))
            for name, derived in (
                ("ready", lambda one: set(one.ready)),
                ("counts", _counted),
                ("waves", _waves),
            ):
                if derived(leased_jobs) != derived(again):
                    faults.append(f"at {node.name} {name} of the board drifted")
        return faults


def _counted(leased_jobs):
    return {queue: count for queue, count in leased_jobs.queued_counts.items() if count}


def _waves(leased_jobs):
    return {
        wave.key(): (wave.open_predecessors, wave.open_tasks, tuple(sorted(wave.waiting)))
        for job in leased_jobs.jobs.values()
        for wave in job.batches.values()
    }
