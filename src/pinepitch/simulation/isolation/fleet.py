"""A fleet that runs jobs, with patient operators and links that may delay frames."""

import json

from ...common import constants
from ...common.effects import Send
from ...transport import framing
from ..jobs.fleet import Tenancy
from .orders import Operators

ANSWER_WITHIN = 60.0  # seconds; operators accept an answer this late, though no caller waits so long


class Isolation(Tenancy):
    """A tenancy with operators that wait long for answers, and links that may delay frames.
    Invariant: while `delays_frames`, frames into a partition are stored in `delayed_frames`, in order,
    until the partition heals.
    """

    def __init__(self, seed):
        self.delays_frames, self.delayed_frames = False, []
        self.interrupts = None  # (node, predicate of the message in whose step the node is stopped)
        self.late_steps = []  # (kind of request, whether its daemon still led) of each interrupted step
        self.interrupted = {}  # name of a node -> (message, readings of its clocks) of the step it stopped in
        super().__init__(seed)
        self.client_stand_in.rate = 0.5  # few jobs: these trials test orders of operators
        self.operators = None

    def control_nodes(self):
        """Returns the nodes of the control daemons."""
        return [node for node in self.nodes.values() if node.kind == "accord"]

    def send_operator_call(self, node, call, arguments, on_answer):
        """Sends one call to one daemon; its answer may take ANSWER_WITHIN."""
        self.request_count += 1
        number = self.request_count
        self.requests[number] = ("call", "operator", 0, ("told", on_answer), node.name)
        self.at(ANSWER_WITHIN, "answer", number, 0, "null")
        plain = tuple(json.loads(json.dumps(arguments)))
        message = ("call", number, call, plain, constants.CALL_PATIENCE)
        self.at(self.latency(), "give", node.name, node.incarnation, message)

    def carry_out(self, node, effect):
        """As the base class, but stores a frame into a partition while links delay frames."""
        target = self.by_address.get(effect.address) if isinstance(effect, Send) else None
        if self.delays_frames and target is not None and (node.name, target.name) in self.partitions:
            _, plain = framing.decode(framing.encode(node.address, effect.message)[framing.LENGTH.size :])
            self.delayed_frames.append((target.name, target.incarnation, tuple(plain)))
            return
        super().carry_out(node, effect)

    def heal(self):
        """Ends all partitions and delivers the delayed frames in order."""
        super().heal()
        frames, self.delayed_frames = self.delayed_frames, []
        for index, (name, incarnation, message) in enumerate(frames):
            self.at(self.latency() + index * 1e-5, "give", name, incarnation, message)

    def give(self, node, message):
        """As the base class, but may stop a process within the step of a message, when it has read its
        clocks and done nothing else.
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
        """Resumes a stopped process, beginning with the step in which it was stopped."""
        node = self.nodes[name]
        message, now, clock = self.interrupted.pop(name, (None, None, None))
        if message is not None:
            node.frozen = False
            for effect in node.core.step(message, now, clock):
                self.carry_out(node, effect)
            self.late_steps.append((message[3], node.core.consensus.role == "leader"))
        super().thaw(name)

    def begin(self):
        """Waits for service, then starts the operators."""
        super().begin()
        documents = {change.version: change.document for change in self.operator_stand_in.changes}
        self.operators = Operators(self, documents)
        self.at(0.0, "later", self.operators.tick)
