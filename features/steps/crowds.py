"""Steps for Crowds: clients that do not behave, and what a process does about them."""

import http.client
import json
import os
import socket
import sys
import time

from behave import given, then, when

FEATURES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, FEATURES)
try:
    from features.crowds import deployment, messages
    from features.crowds.behaviours import behaviour
    from features.crowds.crowd import Crowd
finally:
    sys.path.remove(FEATURES)

SEED = 54
PATIENCE = 20.0  # seconds; a request without an answer for so long has failed
ORDINARY_MEMORY_MB, ORDINARY_DESCRIPTORS = 300, 4100
LARGEST_CONFIGURATION = 1_900_000  # bytes, before it is padded


@given("three control daemons and a front daemon with lowered limits")
def step_deployment(context):
    context.deployment = deployment.Deployment(SEED)
    context.add_cleanup(context.deployment.stop)
    context.deployment.start()


@when("a crowd comes to the {port} port of the {role} daemon with {what}")
def step_crowd(context, port, role, what):
    system = context.deployment
    system.target = "front0" if role == "front" else system.leader()
    context.played = deployment.play(system, port, behaviour(what, port))


@then("the process lives, within the memory and descriptors of its settings")
def step_within(context):
    played = context.played
    print(f"peaks: {played.memory / 1e6:.0f} MB, {played.descriptors} descriptors")
    assert played.lives, "the process has ended"
    assert played.memory <= deployment.MEMORY_MB * 1_000_000, f"{played.memory / 1e6:.0f} MB"
    most = deployment.DESCRIPTORS - deployment.DESCRIPTORS_FOR_FILES
    assert played.descriptors <= most, f"{played.descriptors} descriptors"


@then("an ordinary request is answered beside the crowd, and another one after it")
def step_answered(context):
    assert context.played.answered_beside, "no ordinary request was answered beside the crowd"
    assert context.played.answered_afterwards, "no ordinary request was answered after the crowd"


# --- single requests ----------------------------------------------------------------------
@given("three control daemons and a front daemon with the limits of an ordinary machine")
def step_ordinary_machine(context):
    context.deployment = deployment.Deployment(SEED, ORDINARY_MEMORY_MB, ORDINARY_DESCRIPTORS)
    context.add_cleanup(context.deployment.stop)
    context.deployment.start()


@when(
    "a client of the front daemon announces one byte more than the configuration allows, and sends none of it"
)
def step_announce(context):
    head = messages.request_head("POST", messages.JOB_PATH, messages.ALLOWED_BODY + 1)
    context.status = _status(context.deployment.processes.address("front0", "front"), head)


@when("a client of the front daemon submits a job of exactly the largest size")
def step_largest_job(context):
    body = messages.padded(
        b'{"taskSpec":"large","steps":[{"taskCount":1,"cpuUnits":100}]}', messages.ALLOWED_BODY
    )
    request = messages.request_head("POST", messages.JOB_PATH, len(body)) + body
    context.status = _status(context.deployment.processes.address("front0", "front"), request)


@when("the operator replaces the configuration by one of the largest size")
def step_largest_configuration(context):
    leader = context.deployment.leader()
    address = context.deployment.processes.address(leader, "control")
    context.status = _status(address, _largest_configuration())


@when("the operator replaces the configuration by one of the largest size beside {what}")
def step_largest_configuration_beside(context, what):
    leader = context.deployment.leader()
    address = context.deployment.processes.address(leader, "control")
    crowd = Crowd(address, behaviour(what, "control"))
    crowd.come()
    deployment.wait_until_settled(crowd)
    context.status = _status_in_the_end(address, _largest_configuration())
    crowd.leave()


def _largest_configuration():
    """The request of an operator for a configuration of the largest size."""
    routes = LARGEST_CONFIGURATION // messages.ROUTE_BYTES
    body = messages.padded(json.dumps(deployment.configuration_of(2, routes)).encode(), messages.LARGEST_BODY)
    return messages.request_head("POST", messages.CHANGE_PATH, len(body)) + body


def _status_in_the_end(address, request):
    """The status of the answer to a request that is sent again after each refusal for want of room."""
    until = time.monotonic() + deployment.ANSWERED_WITHIN
    status = None
    while status in (None, 503, 504) and time.monotonic() < until:
        try:
            status = _status(address, request)
        except (OSError, http.client.HTTPException):
            status = None  # the connection was closed for another one
    return status


def _status(address, request):
    """The status of the answer to the bytes of a request."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=PATIENCE) as connection:
        connection.sendall(request)
        response = http.client.HTTPResponse(connection)
        response.begin()
        return response.status


@then("the answer has the status {status:d}")
def step_status(context, status):
    assert context.status == status, context.status
