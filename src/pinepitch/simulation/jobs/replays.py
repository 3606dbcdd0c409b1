"""Frames that are repeated: late, out of order, to another incarnation of their receiver, or distorted.

Real links lose frames but never repeat them, so this is a harsher condition. It must hold that no daemon
stops, no caller gets the answer to another call, and nothing takes effect that was not asked for.
"""

import contextlib
import functools
from unittest import mock

from ...common.effects import Send
from ...model import contract
from ...transport import framing
from .. import simulator as simulators

PART = 0.08  # of all frames are repeated
AT_ONCE = 0.003  # seconds; half of the repeated frames come so soon that they may overtake the original
LATEST = 6.0  # seconds; latest arrival of the others
DISTORTED = 0.3  # of the repeated frames are distorted


def _other_cluster(rng, message):
    kind, cluster, *rest = message
    return (kind, f"{cluster}-other", *rest)


def _other_receiver(rng, message):
    kind, cluster, sender, receiver, inner = message
    return (kind, cluster, sender, f"{receiver}-other", inner)


def _to_nobody(rng, message):
    kind, token, *rest = message
    return (kind, f"{token}{rng.randrange(10)}", *rest)


def _to_another_call(rng, message):
    kind, token, _, (call, subject) = message
    other_key = rng.choice(((f"{call}-other", subject), (call, f"{subject} other")))
    return (kind, token, (200, {"state": "completed", "version": 1}, None), other_key)


def _other_sending(rng, message):
    kind, token, leader, sending, reading = message
    return (kind, token, leader, sending + rng.randrange(1, 4), reading)


def _unknown_call(rng, message):
    kind, address, token, call, arguments, sending, end = message
    return (kind, address, token, f"{call}-other", [], sending, end)


# message kind -> the distortions that may be applied to it
DISTORTIONS = {
    "raft": (_other_cluster, _other_receiver),
    "answer": (_to_nobody, _to_another_call),
    "elsewhere": (_to_nobody, _other_sending),
    "unsure": (_to_nobody,),
    "ask": (_unknown_call,),
}


def distorted(rng, message):
    """Returns the frame, or by chance one that another cluster, incarnation or version would have sent."""
    distortions = DISTORTIONS.get(message[0])
    if distortions is None or rng.random() >= DISTORTED:
        return message
    changed = rng.choice(distortions)(rng, message)
    if not contract.fits_contract(changed):
        raise AssertionError(f"a distorted frame breaks the contract: {changed!r}")
    return changed


def _arrive_again(simulator, name, message):
    node = simulator.nodes[name]
    if node.core is not None:
        simulator.counts["replayed"] += 1
        simulator.give(node, message)


@contextlib.contextmanager
def frames_repeated(simulator):
    """Context in which some of the frames are repeated, to whichever incarnation of the receiver runs by
    then.
    """
    original, rng = simulators.EFFECTS[Send], simulator.draw

    def send(simulator, node, address, message):
        original(simulator, node, address, message)
        target = simulator.by_address.get(address)
        if target is None or rng.random() >= PART:
            return
        _, plain = framing.decode(framing.encode(node.address, message)[framing.LENGTH.size :])
        again = functools.partial(_arrive_again, simulator, target.name, distorted(rng, tuple(plain)))
        simulator.at(rng.uniform(0.0, rng.choice((AT_ONCE, LATEST))), "later", again)

    with mock.patch.dict(simulators.EFFECTS, {Send: send}):
        yield


def frames_replayed(simulator):
    """Frames are repeated while control daemons, the leader included, and front daemons are killed and
    restarted, and while zones are evacuated and restored.
    """
    with frames_repeated(simulator):
        for turn in range(4):
            span = simulator.operator_stand_in.evacuate(simulator.draw.choice(("a", "b", "c")))
            simulator.run(simulator.draw.uniform(1, 2.5))
            simulator.operator_stand_in.restore(span)
            leader = simulator.leader()
            if turn % 2 and leader is not None:
                name = leader.name
            else:
                daemons = [
                    daemon for daemon, node in simulator.nodes.items() if node.kind in ("accord", "verge")
                ]
                name = simulator.draw.choice(daemons)
            simulator.kill(name)
            simulator.run(simulator.draw.uniform(0.05, 2))
            simulator.start(name)
        simulator.run(2)
