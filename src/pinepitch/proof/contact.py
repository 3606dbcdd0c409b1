"""Trials of one control machine out of contact for twenty seconds, with callers that still reach it.

A machine is an accord and the verge beside it. Operators send changes, evacuations and reads to
all accords, those out of contact too, each once and to one daemon, and wait for any answer however
late; what they were told is checked against what held. A trial is replayed by its kind and seed.
"""

import contextlib
import dataclasses
import json
import sys
import time as clocks
import traceback
from unittest import mock

from ..accord.consensus import Consensus
from ..accord.lead import Lead
from ..ground import constants, stall, wire
from ..ground.carrier import Carrier
from ..ground.leaderclock import LeaderClock, Reading
from ..tenure.configuration import Configuration
from . import tenancy
from .jobs import checks
from .jobs.fleet import Tenancy
from .simulator import START

CONTACTLESS = 20.0  # seconds; a machine is cut off or stopped this long
ORDER_EVERY = 0.12  # seconds; between two orders of the operators
ANSWER_WITHIN = 60.0  # seconds; an operator takes an answer this late, though no caller waits so long
ON_ITS_WAY = 0.1  # seconds; an answer that was written may be read this much later
EFFECT_WITHIN = constants.CALL_PATIENCE + ON_ITS_WAY  # seconds; after it was sent an order may take effect
NOT_TAKEN = (400, 412, 429, 503)  # statuses that say that an order was not and will not be taken


@dataclasses.dataclass
class Order:
    """One call of an operator. Invariant: answered and status are None until some answer comes."""

    call: str
    subject: object  # the version of a change, the zone of an evacuation
    sent: float
    strict: bool = False  # a read that the leader itself decided and was stopped before it wrote it
    base: int = 0
    answered: float | None = None
    status: int | None = None
    document: object = None


class Operators:
    """Stand-in operators. Invariants: every change has a version of its own, every evacuation a
    zone of its own, so that each effect is known by the order that it comes from."""

    def __init__(self, simulator, documents):
        self.simulator, self.documents = simulator, dict(documents)
        self.known = max(documents)  # the newest version that was acknowledged or read
        self.version, self.zones = self.known, 0
        self.orders, self.stopped = [], False
        self.newest_change = None  # (order, arguments) of the last change made

    def now(self):
        return START + self.simulator.now

    def tick(self):
        """Sends one order."""
        if self.stopped:
            return
        draw = self.simulator.draw
        act = draw.choices(
            (self.change, self.evacuate, self.read, self.list_evacuations, self.change_again),
            (3, 3, 3, 1, 1),
        )[0]
        act(draw.choice(self.simulator.accords()))
        self.simulator.at(ORDER_EVERY, "later", self.tick)

    def change(self, node):
        self.version += 1
        before = self.documents[self.known]
        route = {
            **before["routes"][0],
            "name": f"extra{self.version}",
            "prefix": f"/extra{self.version}/",
        }
        routes = [one for one in before["routes"] if not one["name"].startswith("extra")]
        document = {**before, "version": self.version, "routes": [*routes, route]}
        self.documents[self.version] = document
        arguments = (self.known, document)
        order = self._send(node, "configure", self.version, arguments, base=self.known)
        self.newest_change = (order, arguments)

    def change_again(self, node):
        """The last change once more, when it was acknowledged and none was made since."""
        if self.newest_change is not None and self.newest_change[0].status == 200:
            order, arguments = self.newest_change
            self._send(node, "configure", order.subject, arguments, base=order.base)

    def evacuate(self, node):
        self.zones += 1
        zone = f"zone{self.zones}"
        self._send(node, "evacuate", zone, (zone, True))

    def read(self, node, strict=False):
        return self._send(node, "configuration", None, (), strict=strict)

    def list_evacuations(self, node):
        return self._send(node, "evacuations", None, ())

    def _send(self, node, call, subject, arguments, **more):
        order = Order(call, subject, self.now(), **more)
        self.orders.append(order)

        def told(status, document):
            if status:
                order.answered, order.status, order.document = self.now(), status, document
            if status == 200 and call == "configure":
                self.known = max(self.known, subject)
            elif status == 200 and call == "configuration":
                self.known = max(self.known, document["version"])

        self.simulator.ask_once(node, call, arguments, told)
        return order

    def look(self):
        """A read and a list of evacuations that were answered now, at the end; None if they weren't."""
        for _ in range(40):
            node = self.simulator.draw.choice(self.simulator.accords())
            orders = self.read(node), self.list_evacuations(node)
            self.simulator.run(0.5)
            if all(order.status == 200 for order in orders):
                return orders
        return None


class Contact(Tenancy):
    """The tenancy with operators that hang on, and links that may hold back what they carry.
    Invariant: while `holding`, what a cut keeps is in `kept`, in order, until the cut heals."""

    def __init__(self, seed):
        self.holding, self.kept = False, []
        super().__init__(seed)
        self.operators = None

    def accords(self):
        return [node for node in self.nodes.values() if node.kind == "accord"]

    def ask_once(self, node, call, arguments, told):
        """One call to one daemon, whose answer may take ANSWER_WITHIN."""
        self.request_count += 1
        number = self.request_count
        self.requests[number] = ("call", "operator", 0, ("told", told), node.name)
        self.at(ANSWER_WITHIN, "answer", number, 0, "null")
        plain = tuple(json.loads(json.dumps(arguments)))
        message = ("call", number, call, plain, constants.CALL_PATIENCE)
        self.at(self.latency(), "give", node.name, node.life, message)

    def carry_out(self, node, effect):
        """As ever, but for a frame into a cut while links hold back what they carry."""
        target = self.by_address.get(effect[1]) if effect[0] == "send" else None
        if self.holding and target is not None and (node.name, target.name) in self.cuts:
            _, plain = wire.decode(wire.encode(node.address, effect[2])[wire.LENGTH.size :])
            self.kept.append((target.name, target.life, tuple(plain)))
            return
        super().carry_out(node, effect)

    def heal(self):
        super().heal()
        kept, self.kept = self.kept, []
        for place, (name, life, message) in enumerate(kept):
            self.at(self.latency() + place * 1e-5, "give", name, life, message)

    def begin(self):
        super().begin()
        self.operators = Operators(self, self.governor.documents)
        self.at(0.0, "later", self.operators.tick)


# --- what a machine meets ---------------------------------------------------------------
def _machine(simulator):
    """(the accord, the verge beside it) that lose contact: the leader's with every other seed."""
    leader = simulator.leader()
    others = [node for node in simulator.accords() if node is not leader]
    accord = leader if simulator.seed % 2 == 0 else simulator.draw.choice(others)
    return accord, simulator.nodes[f"verge{simulator.seed % 3}"]


def _cut(simulator, manner):
    machine = [node.name for node in _machine(simulator)]
    rest = [
        node.name
        for node in simulator.nodes.values()
        if node.kind in ("accord", "verge") and node.name not in machine
    ]
    simulator.holding = simulator.seed % 4 < 2
    if manner == "in":
        simulator.cut(rest, machine, both=False)
    else:
        simulator.cut(machine, rest, both=manner == "both")
    simulator.run(CONTACTLESS)
    simulator.heal()


def cut_both(simulator):
    """No frame reaches the machine, none leaves it."""
    _cut(simulator, "both")


def cut_in(simulator):
    """No frame reaches the machine."""
    _cut(simulator, "in")


def cut_out(simulator):
    """No frame leaves the machine."""
    _cut(simulator, "out")


def seeds_swapped(simulator):
    """The machine is cut off, and all are told other seeds meanwhile: it just its own address and
    one where nobody is, the others one that is cut off."""
    accord, verge = _machine(simulator)
    seeds = {True: (accord.address, "10.9.9.9:7000"), False: (accord.address, simulator.accords()[0].address)}
    for node in simulator.nodes.values():
        if node.kind in ("accord", "verge"):
            message = ("seeds", list(seeds[node in (accord, verge)]))
            simulator.at(simulator.draw.uniform(1, 5), "give", node.name, node.life, message)
    _cut(simulator, "both")


def frozen(simulator):
    """The machine's processes are stopped while calls go on coming to their sockets."""
    machine = _machine(simulator)
    for node in machine:
        simulator.freeze(node.name)
    simulator.run(CONTACTLESS)
    for node in machine:
        simulator.thaw(node.name)


def _stopped_before(simulator, wanted, seconds):
    """An accord is stopped just before it carries out an effect of one kind, three times."""
    for _ in range(3):
        accord, _ = _machine(simulator)
        accord.stops_at = wanted
        simulator.operators.evacuate(accord)
        simulator.operators.read(accord, strict=accord is simulator.leader())
        simulator.run(seconds)
        accord.stops_at = None
        if accord.frozen:
            simulator.thaw(accord.name)
        simulator.run(2)


def stopped_at_write(simulator):
    """An accord has decided on an answer to a read and is stopped before it writes it."""

    def wanted(effect):
        return effect[0] == "reply" and effect[2] == 200 and "routes" in effect[3]

    _stopped_before(simulator, wanted, simulator.draw.choice((1.2, 2.0, CONTACTLESS)))


def stopped_at_send(simulator):
    """An accord has taken a call to carry and is stopped before it sends it to the leader."""

    def wanted(effect):
        return effect[0] == "send" and effect[2][0] == "ask" and effect[2][3] == "evacuate"

    _stopped_before(simulator, wanted, simulator.draw.choice((3.0, 5.0, CONTACTLESS)))


KINDS = {
    "cut-both": cut_both,
    "cut-in": cut_in,
    "cut-out": cut_out,
    "seeds-swapped": seeds_swapped,
    "frozen": frozen,
    "stopped-at-write": stopped_at_write,
    "stopped-at-send": stopped_at_send,
}


# --- checks -----------------------------------------------------------------------------
def _of(orders, call):
    return [order for order in orders if order.call == call]


def reads_fresh(orders):
    """No read tells an older version than one that was acknowledged before the read was sent, nor,
    if a newer one was acknowledged meanwhile, comes later than calls are held; one that the leader
    itself decided before it was stopped doesn't come after the newer one at all."""
    acknowledged = [order for order in _of(orders, "configure") if order.status == 200]
    faults = []
    for read in _of(orders, "configuration"):
        if read.status != 200:
            continue
        version = read.document["version"]
        newer = [change.answered for change in acknowledged if change.subject > version]
        if not newer:
            continue
        if min(newer) < read.sent:
            faults.append(f"version {version} was read after a newer one was acknowledged")
        most = ON_ITS_WAY if read.strict else EFFECT_WITHIN
        if read.answered > min(newer) + most:
            late = read.answered - min(newer)
            faults.append(f"version {version} was handed out {late:.2f} s after a newer one was acknowledged")
    return faults


def changes_kept(orders, final):
    """What was acknowledged is behind the version in force at the end, what was refused is not, no
    two acknowledged ones build on one version, and a change sent again is not refused."""
    faults, attempts, bases = [], {}, {}
    for order in _of(orders, "configure"):
        attempts.setdefault(order.subject, []).append(order)
    in_force, version = set(), final
    while version in attempts:
        in_force.add(version)
        version = attempts[version][0].base
    for version, tries in attempts.items():
        statuses = [order.status for order in tries]
        if 200 in statuses:
            if version not in in_force:
                faults.append(f"version {version} was acknowledged and is not in force")
            if bases.setdefault(tries[0].base, version) != version:
                faults.append(f"two versions on {tries[0].base} were both acknowledged")
            if any(status in (400, 412) for status in statuses):
                faults.append(f"version {version} was taken and is refused when it is sent again")
        elif version in in_force and all(status in NOT_TAKEN for status in statuses):
            faults.append(f"version {version} is in force, though it was answered {statuses}")
    return faults


def evacuations_kept(orders):
    """What was acknowledged is listed from then on, what was answered as not taken never is, and
    nothing takes effect once its caller had been given up."""
    faults, lists = [], [order for order in _of(orders, "evacuations") if order.status == 200]
    listed = {}
    for one in lists:
        listed.update({line["zone"]: line["since"] for line in one.document["evacuations"]})
    for order in _of(orders, "evacuate"):
        since = listed.get(order.subject)
        if order.status == 200:
            for one in lists:
                zones = {line["zone"] for line in one.document["evacuations"]}
                if one.sent > order.answered and order.subject not in zones:
                    faults.append(f"{order.subject} was acknowledged and is not listed")
        elif since is not None and order.status in NOT_TAKEN:
            faults.append(f"{order.subject} is evacuated, though it was answered {order.status}")
        if since is not None and since > order.sent + EFFECT_WITHIN:
            faults.append(f"{order.subject} was evacuated {since - order.sent:.2f} s after it was asked for")
    return faults


# --- trials -----------------------------------------------------------------------------
def trial(kind, seed, plant=""):
    """(faults, simulator) of one trial, with a planted fault if one is named."""
    with planted(plant):
        return _trial(kind, seed)


def _trial(kind, seed):
    simulator, faults, final = Contact(seed), [], None
    try:
        simulator.begin()
        simulator.run(2)
        KINDS[kind](simulator)
        simulator.run(4)
        simulator.operators.stopped = True
        if not simulator.finish():
            faults.append("jobs never ended")
        final = simulator.operators.look()
    except Exception as broken:  # a trial reports whatever ends it, to be replayed
        place = traceback.extract_tb(broken.__traceback__)[-1]
        faults.append(f"{type(broken).__name__} at {place.name}:{place.lineno}: {broken}")
    if final is None:
        faults.append("nothing was read back at the end")
    else:
        faults.extend(changes_kept(simulator.operators.orders, final[0].document["version"]))
        faults.extend(reads_fresh(simulator.operators.orders))
        faults.extend(evacuations_kept(simulator.operators.orders))
    history, patron = simulator.minion_history, simulator.patron
    for found in (
        checks.never_twice(history),
        checks.attempts_kept(history, patron.jobs),
        checks.told_truly(history, patron),
        simulator.agreement(),
    ):
        faults.extend(found)
    return faults, simulator


def one(arguments):
    """A trial for tenancy.many(): (arguments, faults, virtual seconds)."""
    faults, simulator = trial(*arguments)
    return arguments, faults, simulator.now


def replay(kind, seed, plant=""):
    """The command that runs one trial again."""
    return f"python -m pinepitch.proof.contact {kind} {seed} 1 {plant}".strip()


def main(kind="all", first="0", seeds="4", plant=""):
    """Runs trials over seeds and prints how to replay each that fails."""
    names = list(KINDS) if kind == "all" else kind.split(",")
    work = [(name, seed, plant) for name in names for seed in range(int(first), int(first) + int(seeds))]
    begun, failed = clocks.monotonic(), 0
    for arguments, faults, _ in tenancy.many(work, one):
        if faults:
            failed += 1
            print(replay(*arguments) + "\n   " + "\n   ".join(faults[:5]), flush=True)
    seconds = round(clocks.monotonic() - begun, 1)
    print(json.dumps({"trials": len(work), "failed": failed, "seconds": seconds}))
    return 1 if failed else 0


# --- planted faults -----------------------------------------------------------------------
def _never_in_doubt(self, call):
    """Tells every call that is given up as not taken."""
    call.open, call.doubtful = set(), False
    return original_given_up(self, call)


def _forgetting(take):
    """Knows no change that was taken before."""

    def forgetting(self, *arguments):
        self.taken.clear()
        return take(self, *arguments)

    return forgetting


original_given_up = Carrier._given_up
PLANTS = {
    "asks-without-end": [(Lead, "_in_time", lambda self, end, now: True)],
    "ends-on-own-clock": [
        (LeaderClock, "end", lambda self, until, now: Reading(self.term, now + constants.CALL_PATIENCE))
    ],
    "late-answers-written": [(stall, "timely", lambda reply, until, now: reply)],
    "waited-calls-taken": [(stall.StallGuard, "refuses", lambda self, message, now: False)],
    "lease-ignored": [
        (Consensus, "leased", lambda self, now: self.serving()),
        (constants, "CHECK_QUORUM", 15.0),
    ],
    "doubt-unsaid": [(Carrier, "_given_up", _never_in_doubt)],
    "taken-forgotten": [(Configuration, "take", _forgetting(Configuration.take))],
}


@contextlib.contextmanager
def planted(name):
    """The fault of that name in place; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in PLANTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
