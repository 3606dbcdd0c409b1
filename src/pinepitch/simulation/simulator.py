"""The simulator: the deciders themselves on a seeded virtual clock, network and disk.

Everything drawn comes from one seed, so a run is replayed by its seed. Messages and disk
contents pass through cbor2 as they do between processes.
"""

import collections
import copy
import heapq
import json
import random

import cbor2

from ..common import constants
from ..common.effects import (
    EncodeSnapshot,
    Event,
    LimitRequests,
    PostOrder,
    Rehearse,
    Reply,
    SaveChange,
    Send,
    WriteBase,
    WriteNote,
    WriteSegment,
)
from ..control.daemon import ControlDaemon
from ..front.daemon import FrontDaemon
from ..model import contract
from ..runtime import stall_detector
from ..runtime.links import call_attempt
from ..transport import framing
from .agreement import agreement_faults
from .client_calls import ClientCalls
from .machines import START, Disk, Node
from .simulated_disk import SimulatedDisks
from .stand_in_worker import StandInWorker

OF_THE_MACHINE = ("encoded", "rehearsed")  # what a daemon is given by its own machine, by no connection
LAGGED = ("give", "tick", "synced", "based")  # events of one machine, which a slow one handles late
OFFSET = 1000.0  # seconds; from the simulator's time to the one that deciders are given
GRACE = 6.0  # seconds; from SIGTERM to SIGKILL
LOSS = 0.002  # of messages while there are no faults; links are TCP but break
REFUSED_AFTER = 0.002  # seconds; a machine whose process is down refuses a connection so soon


QUEUE_CONFIGURATION = {
    "queues": {
        "default": {"share": 24, "limit": 48, "retries": 3, "urgency": 4, "repeats": True},
        "urgent": {
            "share": 12,
            "limit": 48,
            "retries": 3,
            "urgency": 8,
            "preempts": True,
            "yields": False,
        },
        "feeds": {"share": 12, "limit": 24, "retries": 3, "urgency": 6, "yields": False},
    }
}


class Simulator(ClientCalls, SimulatedDisks):
    """Invariants: events are handled in order of (time, number); now never falls; every
    draw is from self.draw.
    """

    def __init__(
        self,
        seed,
        control_daemons=("a", "b", "c"),
        fronts=("a", "b", "c"),
        workers=(("m", 6, 8, (), True),),
        zones=("a", "b", "c"),
        queue_configuration=None,
        founders=3,
        mode="static",
        kinds=None,
    ):
        self.draw = random.Random(f"simulator-{seed}")
        self.seed = seed
        self.now = 0.0
        self.events, self.number = [], 0
        self.nodes, self.by_address = {}, {}
        self.partitions = set()  # (source, target) names
        self.absences = []  # (name, from, to) of being cut off, frozen or down
        self.absent_since = {}  # name -> since when
        self.loss, self.delay, self.double = LOSS, 0.002, 0.0
        self.lag = {}  # name -> seconds that a slow machine takes longer for whatever it does
        self.link_rates = None  # a LinkRates where the bytes that a link carries are bounded
        self.founders, self.mode = founders, mode
        self.kinds = {"accord": ControlDaemon, "verge": FrontDaemon, "minion": StandInWorker, **(kinds or {})}
        self.worker_history, self.trace = [], []
        self.requests, self.request_count = {}, 0
        self.callers = {}
        self.counts = collections.Counter()
        self.leaders = {}  # term -> identity, for the check that there is one
        self.queue_configuration = queue_configuration or copy.deepcopy(QUEUE_CONFIGURATION)
        self._add_daemons(control_daemons, fronts)
        self.seeds = [one.address for one in list(self.nodes.values())[: constants.SEEDS]]
        self._add_workers(workers, zones)
        for node in list(self.nodes.values()):
            if node.kind != "minion":
                self.start(node.name)

    def _add_daemons(self, control_daemons, fronts):
        """Adds daemons in the given zones, none of them started."""
        for place, zone in enumerate(control_daemons):
            self.add(f"accord{place}", "accord", zone)
        for place, zone in enumerate(fronts):
            self.add(f"verge{place}", "verge", zone)

    def _add_workers(self, workers, zones):
        """Adds and starts workers: (prefix, count, capacity, labels, whether they guard their capacity)."""
        for prefix, count, capacity, labels, guards in workers:
            for place in range(count):
                node = self.add(f"{prefix}{place}", "minion", zones[place % len(zones)])
                node.core = self.kinds["minion"](
                    node.name,
                    node.zone,
                    node.address,
                    capacity,
                    labels,
                    guards,
                    self.seed,
                    self.worker_history,
                )
                self.at(self.draw.random() * 0.1, "tick", node.name, node.incarnation)
        self.capacities = {
            name: node.core.capacity for name, node in self.nodes.items() if node.kind == "minion"
        }

    # --- the world --------------------------------------------------------------------
    def add(self, name, kind, zone):
        """Adds a machine for a daemon of a kind, or a worker, in a zone; it is not started."""
        address = f"10.0.0.{len(self.nodes) + 1}:7000"
        node = self.nodes[name] = Node(name, kind, zone, address)
        self.by_address[address] = node
        return node

    def at(self, delay, *event):
        """Schedules an event in `delay` virtual seconds."""
        if self.lag and event[0] in LAGGED:
            delay += self.lag.get(event[1], 0.0)
        self.number += 1
        heapq.heappush(self.events, (self.now + delay, self.number, event))

    def steady(self):
        """What every daemon's steady clock reads."""
        return self.now + OFFSET

    def clock(self, node):
        """What a machine's clock of the time of day reads, in seconds."""
        return START + self.now + node.skew

    def start(self, name):
        """Starts a daemon with what its disk kept."""
        node = self.nodes[name]
        node.incarnation += 1
        node.frozen, node.down, node.deferred_messages, node.unwritten = False, False, [], []
        node.stall_detector = stall_detector.StallDetector()
        if node.kind == "accord":
            self._start_control_daemon(node)
        elif node.kind == "verge":
            node.core = self.kinds["verge"](
                f"v{self.draw.randrange(16**6):06x}.{name}", node.address, node.zone, self.seeds
            )
        else:
            node.core.begin()
            self._mark_present(name)
        self.at(self.draw.random() * constants.TICK, "tick", name, node.incarnation)

    def _start_control_daemon(self, node):
        base, steps, segments = node.disk.load()
        identity = base[0] if base else _noted_identity(steps)
        if identity is None:
            identity = f"{self.draw.randrange(16**6):06x}.{node.name}"
            node.disk.keep(("step", cbor2.dumps([["note", ["identity", identity]]])))
        node.core = (node.make or self.kinds["accord"])(
            identity,
            node.address,
            node.zone,
            self.seeds,
            self.founders,
            self.mode,
            f"{self.seed}-{node.incarnation}",
        )
        node.core.restore(base, steps, segments)
        node.disk.jobs.clear()
        node.disk.in_progress = node.disk.beside = None
        node.disk.failed = False

    def kill(self, name):
        """A hard kill or a power loss: what was not synced may or may not be there."""
        node = self.nodes[name]
        if node.kind == "minion":
            node.core.crash(START + self.now)
            node.incarnation += 1
            node.down = True
            self._mark_absent(name)
            return
        node.core = None
        node.incarnation += 1
        if node.disk is not None:
            beside, in_progress = node.disk.beside, node.disk.in_progress
            for job in (beside, in_progress if in_progress is not beside else None):
                if job is not None and self.draw.random() < 0.5:
                    node.disk.keep(job[0])
            node.disk.jobs.clear()
            node.disk.in_progress = node.disk.beside = None

    def stop(self, name, grace=GRACE):
        """SIGTERM to a control daemon: it ends once it says that it may, and is killed after the grace."""
        node = self.nodes[name]
        node.core.leave_within = grace * constants.LEAVE_PART
        self.give(node, ("stop",))
        self.at(constants.TICK * 4, "stopping", name, node.incarnation, self.now + grace)

    def _stopping(self, name, incarnation, until):
        node = self.nodes[name]
        if node.incarnation != incarnation or node.core is None:
            return
        written = not (node.disk.jobs or node.disk.in_progress)
        if self.now < until and not (written and node.core.may_end(self.now + OFFSET)):
            self.at(constants.TICK, "stopping", name, incarnation, until)
            return
        self.kill(name)

    def wipe(self, name):
        """Takes all from the disk of a daemon that is down."""
        self.nodes[name].disk = Disk()

    def _mark_absent(self, name):
        self.absent_since.setdefault(name, START + self.now)

    def _mark_present(self, name):
        if name in self.absent_since:
            self.absences.append((name, self.absent_since.pop(name), START + self.now))

    def freeze(self, name):
        """Stops a process in the midst of what it does."""
        self.nodes[name].frozen = True
        self._mark_absent(name)

    def thaw(self, name):
        """Lets a stopped process go on; what came meanwhile reaches it now."""
        node = self.nodes[name]
        node.frozen = False
        self._mark_present(name)
        unwritten, node.unwritten = node.unwritten, []
        for effect in unwritten:
            self.carry_out(node, effect)
        deferred, node.deferred_messages = node.deferred_messages, []
        for message in deferred:
            self.at(0.0, "give", name, node.incarnation, message)

    def partition(self, sources, targets, both=True):
        """Cuts the links from sources to targets, and back if `both`."""
        for one in sources:
            for other in targets:
                if one != other:
                    self._mark_absent(one)
                    self._mark_absent(other)
                    self.partitions.add((one, other))
                    if both:
                        self.partitions.add((other, one))

    def heal(self):
        """Ends all partitions."""
        self.partitions.clear()
        for name in [
            one for one in self.absent_since if not self.nodes[one].frozen and not self.nodes[one].down
        ]:
            self._mark_present(name)

    def reset_connections(self, name, share):
        """A share of a daemon's connections is reset: what is on its way to it is lost, and whoever
        waits for its answer knows nothing of what became of the call.
        """
        kept = []
        for moment, number, event in self.events:
            carried = event[0] == "give" and event[1] == name and event[3][0] not in OF_THE_MACHINE
            if not carried or self.draw.random() >= share:
                kept.append((moment, number, event))
        self.events = kept
        heapq.heapify(self.events)
        for number, waiting in list(self.requests.items()):
            if waiting[0] == "call" and waiting[4] == name and self.draw.random() < share:
                self.at(0.0, "answer", number, 0, "null")

    # --- running ----------------------------------------------------------------------
    def run(self, seconds):
        """Handles events for some virtual seconds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, event = heapq.heappop(self.events)
            self.counts["events"] += 1
            HANDLERS[event[0]](self, *event[1:])
        self.now = end

    def until(self, wanted, seconds=60.0, step=0.1):
        """Runs until wanted() is true; how long it took, or None."""
        begun = self.now
        while self.now - begun < seconds:
            if wanted():
                return self.now - begun
            self.run(step)
        return None

    def _tick(self, name, incarnation):
        node = self.nodes[name]
        if node.incarnation != incarnation:
            return
        if node.core is not None and not node.frozen and not node.down:
            self.give(node, ("tick",))
        self.at(constants.TICK * (2 if node.kind == "minion" else 1), "tick", name, incarnation)

    def _give(self, name, incarnation, message):
        node = self.nodes[name]
        if node.incarnation == incarnation and node.core is not None:
            self.give(node, message)

    def give(self, node, message):
        """Hands a message to a process and carries out what it decides."""
        if node.down:
            return
        if node.frozen:
            node.deferred_messages.append(message)
            return
        if node.kind == "minion":
            self._worker_effects(node, node.core.step(message, START + self.now), message)
            return
        now = self.steady()
        paused = node.stall_detector.turn(now)
        if paused:
            self.decide(node, ("paused", paused), now)
        if node.stall_detector.refuses(message, now):
            self._reply(node, message[1], *stall_detector.PAUSED)
            return
        self.decide(node, message, now)

    def decide(self, node, message, now):
        """Steps a daemon with one message and carries out what it decides, until it is stopped in it."""
        for effect in node.core.step(message, now, self.clock(node)):
            if node.stops_at is not None and node.stops_at(effect):
                node.stops_at = None
                self.freeze(node.name)
            if node.frozen:
                node.unwritten.append(effect)
            else:
                self.carry_out(node, effect)

    def carry_out(self, node, effect):
        """Does what a daemon decided."""
        EFFECTS[type(effect)](self, node, *effect)

    def lost(self, source, target):
        """Whether what is sent now is lost, by a partition or by chance."""
        return (source, target) in self.partitions or self.draw.random() < self.loss

    def latency(self):
        """Seconds that a message is under way, drawn anew."""
        return 0.0003 + self.draw.random() * self.delay

    # --- effects of daemons -----------------------------------------------------------
    def _send(self, node, address, message):
        self.counts["messages"] += 1
        target = self.by_address.get(address)
        if target is None or self.lost(node.name, target.name):
            return
        sending = call_attempt(message)
        if target.core is None and sending is not None:
            self.at(REFUSED_AFTER, "give", node.name, node.incarnation, ("undelivered", *sending))
            return
        frame = framing.encode(node.address, message)
        delay = self.latency()
        if self.link_rates is not None and target.core is not None:
            delay += self.link_rates.delay(node.name, target.name, len(frame), self.now)
        source, plain = framing.decode(frame[4:])
        if not contract.fits_contract(plain):
            raise AssertionError(f"{node.name} breaks a contract: {message!r}")
        self.at(delay, "give", target.name, target.incarnation, tuple(plain))
        if self.double and self.draw.random() < self.double:
            self.at(self.latency() * 5, "give", target.name, target.incarnation, tuple(plain))

    def _segment(self, node, number, data):
        """Segments become durable before any base that names them, whatever else does."""
        node.disk.syncs += 1
        if node.disk.segments.setdefault(number, data) != data:
            raise AssertionError(f"{node.name} seals segment {number} anew, with other content")

    def _snapshot(self, node, index, image):
        self.at(
            0.01,
            "give",
            node.name,
            node.incarnation,
            ("encoded", index, node.core.cluster_state.encode_with_digest(image)),
        )

    def _rehearse(self, node, epoch, draft, asked, *rest):
        self.at(
            0.5,
            "give",
            node.name,
            node.incarnation,
            ("rehearsed", epoch, draft, asked, node.core.measure(*rest)),
        )

    def _event(self, node, number, fields):
        self.trace.append((round(self.now, 3), node.name, number, fields))
        if number == 122:
            term = fields["term"]
            other = self.leaders.setdefault(term, node.name)
            if other != node.name:
                raise AssertionError(f"two leaders in term {term}: {other} and {node.name}")

    def _reply(self, node, request, status, document, headers=(), until=None):
        status, document, _ = stall_detector.timely((status, document, headers), until, self.steady())
        self.at(self.latency(), "answer", request, status, json.dumps(document))

    def _post(self, node, key, address, path, document):
        target = self.by_address.get(address)
        if target is None or self.lost(node.name, target.name) or target.core is None or target.down:
            if key is not None:
                self.at(0.05, "give", node.name, node.incarnation, ("posted", key, "unsent"))
            return
        plain = json.loads(json.dumps(document))
        kind = "order" if path == "/v1/orders" else "kill"
        self.request_count += 1
        number = self.request_count
        self.requests[number] = ("post", node.name, node.incarnation, key, target.name)
        self.at(self.latency(), "give", target.name, target.incarnation, (kind, number, plain))
        self.at(constants.ORDER_TIMEOUT, "expire", number)

    # --- workers and callers ----------------------------------------------------------
    def _worker_effects(self, node, effects, message):
        for effect in effects:
            if effect[0] == "answer":
                _, request, status, _ = effect
                waiting = self.requests.get(request)
                if waiting and not self.lost(node.name, waiting[1]):
                    self.at(self.latency(), "posted", request, "sent" if status < 300 else "refused")
            else:
                self.call(
                    node.name,
                    node.incarnation,
                    self.draw.randrange(100),
                    "POST",
                    "/v1/reports",
                    effect[1],
                    ("report", node.name),
                    constants.FORWARD_TIMEOUT + 0.5,
                )

    def _posted(self, request, outcome):
        waiting = self.requests.pop(request, None)
        if waiting and waiting[3] is not None:
            _, front, incarnation, key, _ = waiting
            self._give(front, incarnation, ("posted", key, outcome))

    # --- what is true now -------------------------------------------------------------
    def leader(self):
        """The control daemon that leads the newest term, or None."""
        leading = [
            node
            for node in self.nodes.values()
            if node.kind == "accord"
            and node.core is not None
            and node.core.consensus is not None
            and node.core.consensus.role == "leader"
        ]
        return max(leading, key=lambda node: node.core.consensus.term, default=None)

    def begin(self):
        """Waits for service and puts the queue configuration in force."""
        if (
            self.until(lambda: self.leader() is not None and self.leader().core.consensus.serving(), 30)
            is None
        ):
            raise AssertionError("no leader within 30 s")
        status, answer = self.persist("PUT", "/v1/setup", self.queue_configuration, {"if-match": "*"})
        if status != 200:
            raise AssertionError(f"the setup was not taken: {status} {answer}")

    def quiet(self):
        """Whether every caller has seen the end of every job."""
        return all(
            not one.open
            and not one.retry
            and not any(call[0] == "submit" for call in one.pending_calls.values())
            for one in self.callers.values()
        )

    def finish(self, seconds=120.0):
        """Heals all, stops the callers, and waits until all is final; False if it never is."""
        self.heal()
        self.loss, self.double, self.delay = LOSS, 0.0, 0.002
        self.lag.clear()
        for node in self.nodes.values():
            node.skew = 0.0
            if node.disk is not None:
                node.disk.slow, node.disk.stalled, node.disk.full = 1.0, False, False
            if node.frozen:
                self.thaw(node.name)
            if (node.core is None or node.down) and node.kind != "retired":
                self.start(node.name)
            if node.kind == "minion":
                node.core.fail_rate, node.core.slow = 0.0, 1.0
        for one in self.callers.values():
            one.stopped = True
        return self.until(self.quiet, seconds, 0.5) is not None

    def agreement(self):
        """Faults in what the control daemons hold."""
        return agreement_faults(self.nodes.values())


def _noted_identity(steps):
    """The identity that a control daemon noted on its disk, or None."""
    for step in steps:
        for kind, payload in step:
            if kind == "note" and payload[0] == "identity":
                return payload[1]
    return None


HANDLERS = {
    "tick": Simulator._tick,
    "give": Simulator._give,
    "synced": Simulator._synced,
    "based": Simulator._based,
    "answer": Simulator._answer,
    "posted": Simulator._posted,
    "expire": Simulator._expire,
    "caller": Simulator._caller,
    "stopping": Simulator._stopping,
    "later": lambda simulator, function: function(),
}
# What is looked up at the simulator is what its kinds do in their own way.
EFFECTS = {
    Send: Simulator._send,
    SaveChange: Simulator._save,
    WriteBase: Simulator._base,
    WriteSegment: lambda simulator, *rest: simulator._segment(*rest),
    WriteNote: Simulator._note,
    EncodeSnapshot: lambda simulator, *rest: simulator._snapshot(*rest),
    Rehearse: Simulator._rehearse,
    Event: lambda simulator, *rest: simulator._event(*rest),
    Reply: Simulator._reply,
    PostOrder: Simulator._post,
    LimitRequests: lambda simulator, *rest: None,  # about bytes of HTTP, of which there are none here
}
