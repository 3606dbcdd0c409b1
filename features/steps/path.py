"""Steps for Path: a fleet of processes."""

import signal
import tempfile
import time

import curio
from behave import given, then, when

from pinepitch.simulation.fleet.client_traffic import Traffic
from pinepitch.simulation.fleet.plans import PLANS
from pinepitch.simulation.fleet.processes import Fleet
from pinepitch.simulation.fleet.results import check
from pinepitch.simulation.fleet.runs import run
from pinepitch.transport import http


@given("a small fleet of processes with its queue configuration in force")
def step_fleet(context):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    context.fleet = Fleet(PLANS["small"], folder.name)
    context.add_cleanup(context.fleet.stop)
    context.fleet.start_all()
    curio.run(context.fleet.set_up)


@when("its traffic runs for {seconds:d} seconds")
def step_traffic(context, seconds):
    context.traffic = Traffic(context.fleet, seed=1)
    context.unfinished = curio.run(context.traffic.run, seconds)


@then("every job becomes final and no history check finds a fault")
def step_checked(context):
    assert context.traffic.caller.accepted, "no ticket was accepted"
    assert not context.unfinished, context.unfinished
    assert not check(context.fleet, context.traffic), check(context.fleet, context.traffic)
    finals = [one for one in context.traffic.caller.history if one[0] == "final"]
    assert len(finals) == len(context.traffic.caller.accepted)


@then("a job is read back at every front daemon")
def step_read(context):
    job = next(iter(context.traffic.caller.accepted))
    for place in range(len(context.fleet.fronts)):
        answer = curio.run(context.fleet.call, "GET", f"/v1/tickets/{job}", None, (), place)
        assert isinstance(answer, http.Response) and answer.status == 200, answer


@then("each process ends within {seconds:d} seconds of its SIGTERM with exit code 0")
def step_stop(context, seconds):
    daemons = {name: one for name, one in context.fleet.processes.items() if not name.startswith("minions")}
    for name, process in sorted(daemons.items(), reverse=True):
        begun = time.monotonic()
        process.send_signal(signal.SIGTERM)
        code = process.wait(10)
        assert code == 0, (name, code)
        assert time.monotonic() - begun <= seconds, name


@when("a small fleet suffers {fault} under its traffic")
def step_suffers(context, fault):
    with tempfile.TemporaryDirectory(prefix="pinepitch-") as folder:
        context.result = curio.run(run, Fleet(PLANS["small"], folder), 4, 1.0, 0, fault)


@then("no check of the run finds a fault and every job became final")
def step_run_checked(context):
    assert context.result["summary"]["accepted"] > 0 and context.result["disturbed"] is not None, (
        context.result
    )
    assert not context.result["faults"] and not context.result["unfinished"], context.result
