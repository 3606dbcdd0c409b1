"""The fleet that runs jobs, with operators whose calls hang on and links that may hold back frames."""

import json

from ...common import constants
from ...common.effects import Send
from ...transport import framing
from ..jobs.fleet import Tenancy
from .orders import Operators

ANSWER_WITHIN = 60.0  # seconds; an operator takes an answer this late, though no caller waits so long


class Isolation(Tenancy):
    """The tenancy with operators that hang on, and links that may hold back what they carry.
    Invariant: while `holding`, what a cut keeps is in `kept`, in order, until the cut heals.
    """

    def __init__(self, seed):
        self.holding, self.kept = False, []
        self.interrupts = None  # (node, says of a message whether the node is stopped in its step)
        self.late_steps = []  # (kind of the request, whether its daemon led on) of each interrupted step
        self.interrupted = {}  # name of a node -> (message, readings of its clocks) of the step it stopped in
        super().__init__(seed)
        self.client_stand_in.rate = 0.5  # jobs are not what these trials are about
        self.operators = None

    def control_nodes(self):
        """The machines of the control daemons."""
        return [node for node in self.nodes.values() if node.kind == "accord"]

    def ask_once(self, node, call, arguments, answered):
        """One call to one daemon, whose answer may take ANSWER_WITHIN."""
        self.request_count += 1
        number = self.request_count
        self.requests[number] = ("call", "operator", 0, ("told", answered), node.name)
        self.at(ANSWER_WITHIN, "answer", number, 0, "null")
        plain = tuple(json.loads(json.dumps(arguments)))
        message = ("call", number, call, plain, constants.CALL_PATIENCE)
        self.at(self.latency(), "give", node.name, node.incarnation, message)

    def carry_out(self, node, effect):
        """As ever, but for a frame into a cut while links hold back what they carry."""
        target = self.by_address.get(effect.address) if isinstance(effect, Send) else None
        if self.holding and target is not None and (node.name, target.name) in self.partitions:
            _, plain = framing.decode(framing.encode(node.address, effect.message)[framing.LENGTH.size :])
            self.kept.append((target.name, target.incarnation, tuple(plain)))
            return
        super().carry_out(node, effect)

    def heal(self):
        """Ends all partitions; what the links kept arrives, in order."""
        super().heal()
        kept, self.kept = self.kept, []
        for place, (name, incarnation, message) in enumerate(kept):
            self.at(self.latency() + place * 1e-5, "give", name, incarnation, message)

    def give(self, node, message):
        """As ever, but for a process that is to be stopped within the step of a message: it has read its
        clocks and done nothing yet.
        """
        if self.interrupts is not None and self.interrupts[0] is node and not node.frozen:
            if self.interrupts[1](message):
                self.interrupts = None
                node.stall_detector.turn(self.steady())
                self.interrupted[node.name] = (message, self.steady(), self.clock(node))
                self.freeze(node.name)
                return
        super().give(node, message)

    def thaw(self, name):
        """Lets a stopped process go on, with the step that it was stopped in first."""
        node = self.nodes[name]
        message, now, clock = self.interrupted.pop(name, (None, None, None))
        if message is not None:
            node.frozen = False
            for effect in node.core.step(message, now, clock):
                self.carry_out(node, effect)
            self.late_steps.append((message[3], node.core.consensus.role == "leader"))
        super().thaw(name)

    def begin(self):
        """Waits for service and lets the operators begin."""
        super().begin()
        documents = {change.version: change.document for change in self.operator_stand_in.changes}
        self.operators = Operators(self, documents)
        self.at(0.0, "later", self.operators.tick)
