"""The simulated fleet that runs jobs of tenants, which are identified by their keys."""

from typing import NamedTuple

from ..simulator import START
from .fleet import Tenancy
from .keyed_client import PROBE_IDENTITY, QUEUE_CALLS, KeyedClient
from .keyed_operator import KeyedOperator, KeyTraffic

DOCUMENT_INDEX = 2  # of the job document among the arguments of a call that submits one


class KeyedCall(NamedTuple):
    """A call at a queue that was answered, whether or not the answer reached its caller."""

    sent: float  # seconds
    answered: float  # seconds
    call: str  # job, job-read or job-cancel
    identity: str  # of the job, "" for the queue
    key: str | None
    status: int
    daemon: str  # the daemon that was called


class KeyedTenancy(Tenancy):
    """A Tenancy with tenants in the configuration and keys in the calls at queues. Invariant: keyed_calls has
    every call at a queue that was answered, in the order of the answers.
    """

    def __init__(self, seed, plan=None):
        super().__init__(seed, plan)
        self.keyed_calls = []
        self.operator_stand_in = KeyedOperator(self)
        self.client_stand_in = KeyedClient(seed, self.operator_stand_in.changes)
        self.orders = KeyTraffic(self)

    def send_call(self, source, incarnation, node, call, arguments, patience, answered, late=0.0):
        """As Tenancy.send_call; also records the answers to calls at queues."""
        if call not in QUEUE_CALLS:
            super().send_call(source, incarnation, node, call, arguments, patience, answered, late)
            return
        sent, identity = START + self.now, arguments[1].rpartition("/")[2]
        key = next(iter(arguments[DOCUMENT_INDEX + (call == "job") :]), None)

        def recorded(status, document):
            if status:
                self.keyed_calls.append(
                    KeyedCall(sent, START + self.now, call, identity, key, status, node.name)
                )
            answered(status, document)

        super().send_call(source, incarnation, node, call, arguments, patience, recorded, late)

    def _called_daemons(self, tag):
        """Probes go to any daemon, other calls to the front daemons."""
        if tag[0] == PROBE_IDENTITY:
            return [node for node in self.nodes.values() if node.kind in ("verge", "accord")]
        return super()._called_daemons(tag)
