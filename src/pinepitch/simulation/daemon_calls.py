"""Calls of simulated stand-ins to a daemon, on its own interface."""

import json

TIMEOUT = 3.0  # seconds; a caller waits this long for an answer
REFUSED_AFTER = 0.01  # seconds; in which a caller learns that nobody listens


def send_call(simulator, source, incarnation, node, call, arguments, patience, answered, late=0.0):
    """Sends a call to one daemon; answered(status, document) is called once, (0, None) in the end.

    `source` and `incarnation` name the caller, `patience` is the time in seconds that the daemon may take,
    `late` the seconds that the call is under way beyond the usual latency.
    """
    simulator.request_count += 1
    number = simulator.request_count
    simulator.requests[number] = ("call", source, incarnation, ("told", answered), node.name)
    if node.core is None and (source, node.name) not in simulator.partitions:
        simulator.at(REFUSED_AFTER, "answer", number, 0, "null")
        return
    simulator.at(TIMEOUT + late, "answer", number, 0, "null")
    if simulator.lost(source, node.name):
        return
    plain = tuple(json.loads(json.dumps(arguments)))
    message = ("call", number, call, plain, patience)
    simulator.at(simulator.latency() + late, "give", node.name, node.incarnation, message)
