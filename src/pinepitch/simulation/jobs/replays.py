"""Frames that come again, late, out of order, to another incarnation of their receiver, or distorted.

Links lose frames and never repeat them; this is harsher. What is meant to hold: no daemon stops,
no caller gets another's answer, and nothing takes effect that was not asked for.
"""

import contextlib
import functools
from unittest import mock

from ...common.effects import Send
from ...model import contract
from ...transport import framing
from .. import simulator as simulators

PART = 0.08  # of all frames come again
AT_ONCE = 0.003  # seconds; half of them so soon that they may overtake the first
LATEST = 6.0  # seconds; the others at most this late
DISTORTED = 0.3  # of these are distorted


def _other_cluster(draw, message):
    kind, cluster, *rest = message
    return (kind, f"{cluster}-other", *rest)


def _other_receiver(draw, message):
    kind, cluster, sender, receiver, inner = message
    return (kind, cluster, sender, f"{receiver}-other", inner)


def _to_nobody(draw, message):
    kind, token, *rest = message
    return (kind, f"{token}{draw.randrange(10)}", *rest)


def _to_another_call(draw, message):
    kind, token, _, (call, subject) = message
    other_key = draw.choice(((f"{call}-other", subject), (call, f"{subject} other")))
    return (kind, token, (200, {"state": "completed", "version": 1}, None), other_key)


def _other_sending(draw, message):
    kind, token, leader, sending, reading = message
    return (kind, token, leader, sending + draw.randrange(1, 4), reading)


def _unknown_call(draw, message):
    kind, address, token, call, arguments, sending, end = message
    return (kind, address, token, f"{call}-other", [], sending, end)


# message kind -> what may be done to it
DISTORTIONS = {
    "raft": (_other_cluster, _other_receiver),
    "answer": (_to_nobody, _to_another_call),
    "elsewhere": (_to_nobody, _other_sending),
    "unsure": (_to_nobody,),
    "ask": (_unknown_call,),
}


def distorted(draw, message):
    """A frame as some other cluster, incarnation or version would have sent it."""
    known = DISTORTIONS.get(message[0])
    if known is None or draw.random() >= DISTORTED:
        return message
    changed = draw.choice(known)(draw, message)
    if not contract.fits_contract(changed):
        raise AssertionError(f"a distorted frame breaks the contract: {changed!r}")
    return changed


def _arrive_again(simulator, name, message):
    node = simulator.nodes[name]
    if node.core is not None:
        simulator.counts["replayed"] += 1
        simulator.give(node, message)


@contextlib.contextmanager
def frames_again(simulator):
    """While it lasts, a part of all frames comes again, to whatever incarnation its receiver is in then."""
    original, draw = simulators.EFFECTS[Send], simulator.draw

    def send(simulator, node, address, message):
        original(simulator, node, address, message)
        target = simulator.by_address.get(address)
        if target is None or draw.random() >= PART:
            return
        _, plain = framing.decode(framing.encode(node.address, message)[framing.LENGTH.size :])
        again = functools.partial(_arrive_again, simulator, target.name, distorted(draw, tuple(plain)))
        simulator.at(draw.uniform(0.0, draw.choice((AT_ONCE, LATEST))), "later", again)

    with mock.patch.dict(simulators.EFFECTS, {Send: send}):
        yield


def frames_replayed(simulator):
    """Frames come again while control daemons and fronts are started again, the leader too, and
    while zones are evacuated and taken back.
    """
    with frames_again(simulator):
        for turn in range(4):
            span = simulator.operator_stand_in.evacuate(simulator.draw.choice(("a", "b", "c")))
            simulator.run(simulator.draw.uniform(1, 2.5))
            simulator.operator_stand_in.restore(span)
            leader = simulator.leader()
            if turn % 2 and leader is not None:
                name = leader.name
            else:
                daemons = [one for one, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
                name = simulator.draw.choice(daemons)
            simulator.kill(name)
            simulator.run(simulator.draw.uniform(0.05, 2))
            simulator.start(name)
        simulator.run(2)
