"""Steps for Rules: rules files, and the changes that firing rules block."""

import subprocess
import sys
import tempfile

from behave import given, then, when

from pinepitch.control import alert_rules
from pinepitch.simulation.simulator import Simulator
from pinepitch.state.cluster_state import ClusterState

GOOD = """
groups:
- name: work
  rules:
  - alert: parked
    expr: pinepitch_tasks_parked{queue="wide"} > 0
    for: 2s
    labels: {hold: approvals, severity: page}
    annotations: {summary: impossible work waits}
"""
BENT = {
    "no YAML": "groups: [",
    "no groups": "rules: []",
    "a function in an expression": GOOD.replace("pinepitch_tasks_parked{", "rate(pinepitch_tasks_parked{"),
    "a comparison of two metrics": GOOD.replace("> 0", "> other"),
    "a duration without unit": GOOD.replace("2s", "'2'"),
    "an unknown hold": GOOD.replace("hold: approvals", "hold: everything"),
    "an alert named twice": GOOD + "  - {alert: parked, expr: up == 0}\n",
    "a stray field": GOOD.replace("    for: 2s", "    colour: red"),
}
CROWD = (
    ("crowd", 3.0, {"queue": "narrow", "urgency": 4, "count": 3, "shape": "fan", "units": 1, "seconds": 0.6}),
)
QUEUE_CONFIGURATION = {"queues": {"narrow": {"share": 4, "limit": 4}, "wide": {"share": 20, "limit": 40}}}
WIDER = {"queues": {"narrow": {"share": 16, "limit": 32}}}


@when("a rules file with {fault} is read")
def step_read(context, fault):
    found, _ = alert_rules.read(GOOD)
    assert [(one.alert, one.bound, one.min_seconds, one.pauses) for one in found] == [
        ("parked", 0.0, 2.0, "approvals")
    ]
    context.found, context.faults = alert_rules.read(BENT[fault])


@then("the fault is at {place}")
def step_place(context, place):
    assert context.found is None
    assert ("" if place == "nowhere" else place) in [one[0] for one in context.faults], context.faults


@when("a bent rules file is given to a starting control daemon")
def step_start(context):
    with tempfile.TemporaryDirectory(prefix="pinepitch-") as folder:
        path = f"{folder}/rules.yml"
        with open(path, "w") as file:
            file.write(BENT["a duration without unit"])
        context.ended = subprocess.run(
            [
                sys.executable,
                "-c",
                "from pinepitch.control.program import main; main()",
                "--address=127.0.0.1:1",
                "--zone=a",
                f"--data={folder}/data",
                "--seeds=127.0.0.1:1,127.0.0.1:2,127.0.0.1:3",
                f"--rules={path}",
            ],
            capture_output=True,
            text=True,
            timeout=20,
        )


@then("it ends with 2 and one line that names the place")
def step_ended(context):
    assert context.ended.returncode == 2, context.ended
    lines = context.ended.stderr.strip().splitlines()
    assert len(lines) == 1 and "groups.0.rules.0.for" in lines[0], lines


@given("a simulated fleet whose rules pause approvals while tasks are parked")
def step_fleet(context):
    context.simulator = Simulator(5, queue_configuration=QUEUE_CONFIGURATION)
    for node in context.simulator.nodes.values():
        if node.kind == "accord":
            node.core.rules = alert_rules.read(GOOD)[0]
    context.simulator.begin()
    context.simulator.caller("day", CROWD, fail=0.0)
    context.simulator.run(20)


def draft(context):
    simulator = context.simulator
    version = simulator.persist("GET", "/v1/setup")[1]["version"]
    made = simulator.persist("POST", "/v1/drafts", {"base": version, "patch": WIDER})[1]["draft"]
    simulator.persist("POST", f"/v1/drafts/{made}/rehearse")

    def measured():
        return simulator.persist("GET", f"/v1/drafts/{made}")[1]["state"] == "measured"

    assert simulator.until(measured, 30) is not None
    assert simulator.persist("GET", f"/v1/drafts/{made}")[1]["measure"]["verdict"] == "better"
    return made


@given("a draft that was found better")
def step_draft(context):
    context.draft = draft(context)


@when("an impossible job is parked for {seconds:d} seconds")
def step_parked(context, seconds):
    status, answer = context.simulator.persist(
        "POST", "/v1/tickets", {"queue": "wide", "tasks": [{"name": "x", "labels": ["unheard-of"]}]}
    )
    assert status == 201 and answer["parked"]
    context.pushed_job = answer["ticket"]
    context.simulator.run(seconds + 1.5)


def approve(context):
    return context.simulator.persist("POST", f"/v1/drafts/{context.draft}/approve")


@then('approving is refused with "{code}", the alert and when to come back')
def step_deferred(context, code):
    status, answer = approve(context)
    assert status == 409 and answer["error"]["code"] == code, answer
    assert answer["error"]["alerts"][0]["alert"] == "parked"
    holds = context.simulator.persist("GET", "/v1/holds")[1]["holds"]
    assert [one["alert"] for one in holds] == ["parked"] and "impossible work waits" in holds[0]["why"]


@then("an emergency change goes through")
def step_emergency(context):
    status, _ = context.simulator.persist(
        "PATCH", "/v1/setup", {"queues": {"wide": {"limit": 39}}}, {"if-match": "*"}
    )
    assert status == 200


@then("a new leader still pauses approvals")
def step_failover(context):
    simulator = context.simulator
    old = simulator.leader()
    simulator.kill(old.name)
    assert (
        simulator.until(
            lambda: simulator.leader() is not None and simulator.leader().core.consensus.serving(), 20
        )
        is not None
    )
    assert "parked" in simulator.leader().core.cluster_state.approval_pauses
    simulator.run(6)
    assert "parked" in simulator.leader().core.cluster_state.approval_pauses
    simulator.start(old.name)
    old.core.rules = alert_rules.read(GOOD)[0]


@then("once the job is cancelled approving puts the draft, made anew, in force")
def step_cleared(context):
    simulator = context.simulator
    assert simulator.persist("POST", f"/v1/tickets/{context.pushed_job}/cancel")[0] == 200
    assert simulator.until(lambda: not simulator.persist("GET", "/v1/holds")[1]["holds"], 10) is not None
    context.draft = draft(context)
    assert approve(context)[0] == 200
    assert simulator.persist("GET", "/v1/setup")[1]["setup"]["queues"]["narrow"]["limit"] == 32


@when("a cluster state gets a pause under an old epoch")
def step_old(context):
    context.cluster_state = ClusterState()
    context.cluster_state.apply(1, 1.0, ("duty", "placing", "a"))
    context.cluster_state.apply(2, 1.0, ("duty", "placing", "b"))
    context.outcomes = [context.cluster_state.apply(3, 1.0, ("hold", epoch, "x", "why")) for epoch in (0, 1)]


@then("it holds nothing")
def step_nothing(context):
    assert context.outcomes == [("refused", "epoch")] * 2 and not context.cluster_state.approval_pauses
    context.cluster_state.apply(4, 1.0, ("hold", 2, "x", "why"))
    assert context.cluster_state.approval_pauses
