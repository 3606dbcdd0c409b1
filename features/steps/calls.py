"""Steps for Calls: the same call asked again at simulated control daemons."""

import json
import os
import re
from unittest import mock

from behave import given, then, when

from pinepitch.common.effects import Send
from pinepitch.consensus.leader_clock import Reading
from pinepitch.control.requests import REQUESTS
from pinepitch.model import pushed_job as tickets
from pinepitch.simulation import simulator as simulators

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
ADAPTER = "10.0.0.99:7000"  # where nobody stands
HOST, JOB = "a.example", "/orders/5c0e7a21d94b36f8"
CONFIGURATION = {
    "version": 1,
    "services": [{"name": "web"}],
    "routes": [{"name": "orders", "host": HOST, "prefix": "/orders/", "service": "web", "attempts": 3}],
}
JOB_BODY = {"spec": "(text)", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "est_ms": 900}]}
PUSHED_JOB = {"queue": "default", "tasks": [{"name": "a", "work": {"seconds": 60.0}}]}
TENANTS = [{"name": "one", "keys": ["key-1"]}, {"name": "two", "keys": ["key-2"]}]
OF_TENANTS = {  # calls that need tenants in force, on top of version 2
    "a tenant's job": ("job", (HOST, JOB, JOB_BODY, "key-1")),
    "a tenant's cancel": ("job-cancel", (HOST, JOB, "key-1")),
    "a configuration of tenants": ("configure", (2, {**CONFIGURATION, "version": 3, "tenants": TENANTS[:1]})),
    "named tenants of one": ("amend", (2, 3, {"tenants": [{"name": "two", "keys": []}]}, {})),
}
ASKED = {
    **OF_TENANTS,
    "a ticket": ("submit", None),  # its arguments are made by the product's own checks
    "a change of the setup": ("change", (None, "merge", {"notes": {"words": "one"}}, "operator", "a reason")),
    "a draft": ("draft", (2, {"notes": {"words": "one"}}, "operator", "a reason")),
    "a minion's draining": ("drain", ("m1", True)),
    "a minion's withdrawal": ("withdraw", ("m1", 2e9)),
    "an area's emptying": ("area", ("a", True)),
    "a job": ("job", (HOST, JOB, JOB_BODY)),
    "a job's cancel": ("job-cancel", (HOST, JOB)),
    "a configuration": ("configure", (1, {**CONFIGURATION, "version": 2})),
    "named items of one": ("amend", (1, 2, {"services": [{"name": "more"}]}, {})),
    "an evacuation": ("evacuate", ("a", True, 0)),
    "a minion's leaving": ("beat-leave", ("one",)),
}


class ControlDaemons:
    """Three simulated accords and a door in the steps' hands. Invariant: answers holds what was
    answered to the door, by token."""

    def __init__(self):
        self.simulator = simulators.Simulator(11, workers=())
        self.simulator.begin()
        self.answers = {}
        self.count = 0
        self.wait_for_leader()
        status, _ = self.ask("configure", (0, CONFIGURATION))
        assert status == 200

    @property
    def cluster_state(self):
        return self.simulator.leader().core.cluster_state

    def wait_for_leader(self):
        found = self.simulator.until(
            lambda: self.simulator.leader() is not None and self.simulator.leader().core.epoch > 0, 30, 0.02
        )
        assert found is not None, "nobody leads"
        self.simulator.run(2.5)  # members have told their levels, and what was asked is applied by all

    def _kept_send(self, simulator, node, address, message):
        if address == ADAPTER:
            assert message[0] == "answer", message
            self.answers.setdefault(message[1], []).append(message[2][:2])
        else:
            simulators.Simulator._send(simulator, node, address, message)

    def end(self):
        """An end, on the leader's clock, that is far off."""
        return Reading(self.simulator.leader().core.consensus.term, self.simulator.steady() + 2.0)

    def give(self, call, arguments, token, times=1):
        """The answers to a call asked so many times in one moment."""
        self.answers.pop(token, None)
        arguments = json.loads(json.dumps(arguments))
        with mock.patch.dict(simulators.EFFECTS, {Send: self._kept_send}):
            for sending in range(1, times + 1):
                self.simulator.give(
                    self.simulator.leader(), ("ask", ADAPTER, token, call, arguments, sending, self.end())
                )
            self.simulator.run(0.5)
        return self.answers.get(token, [])

    def ask(self, call, arguments, token=None):
        if token is None:
            self.count += 1
            token = f"token{self.count}"
        (answer,) = self.give(call, arguments, token)
        return answer

    def lose_leader(self):
        """The leader falls, another leads, and the first comes back."""
        fallen = self.simulator.leader().name
        self.simulator.kill(fallen)
        self.wait_for_leader()
        assert self.simulator.leader().name != fallen
        self.simulator.start(fallen)

    def standing(self):
        """What calls can change of the record, moments left out."""
        record = self.cluster_state
        leased_jobs = record.leased_jobs
        return {
            "versions": [tuple(line)[0] for line in record.queue_configurations.records],
            "notes": record.queue_configuration["notes"],
            "tickets": (record.accepted_count, sorted(record.pushed_jobs)),
            "drafts": (record.draft_count, sorted(record.drafts)),
            "closed": (sorted(record.drained), sorted(record.emptied), dict(record.withdrawn)),
            "jobs": sorted(leased_jobs.jobs),
            "final": {identity: one[0] for identity, one in leased_jobs.final.items()},
            "placements": json.dumps(leased_jobs.image()[2]),
            "configuration": leased_jobs.configuration.document,
            "evacuated": sorted(leased_jobs.evacuated),
        }


def arguments_of(call):
    """(call, arguments) as a door hands them on."""
    name, arguments = ASKED[call]
    if name == "submit":
        plain, faults = tickets.checked(PUSHED_JOB)
        assert not faults, faults
        arguments = ("a key", "a digest", plain)
    return name, arguments


@given("control daemons that lead, with routes and a queue configuration in force")
def step_lead(context):
    context.control_daemons = ControlDaemons()


def prepared(context, call):
    """What must be there before a call can take effect."""
    if call in OF_TENANTS:
        document = {**CONFIGURATION, "version": 2, "tenants": TENANTS}
        assert context.control_daemons.ask("configure", (1, document))[0] == 200
    handed_in = {"a job's cancel": "a job", "a tenant's cancel": "a tenant's job"}.get(call)
    if handed_in:
        assert context.control_daemons.ask(*arguments_of(handed_in))[0] == 200
    context.before = context.control_daemons.standing()
    return arguments_of(call)


@when("{call} is asked, and the same call again {when}")
def step_again(context, call, when):
    control_daemons, (name, arguments) = context.control_daemons, prepared(context, call)
    context.first = control_daemons.ask(name, arguments, "the token")
    context.after_first = control_daemons.standing()
    if when == "after the leader fell":
        control_daemons.lose_leader()
    context.second = control_daemons.ask(name, arguments, "the token")
    context.changes = call != "a minion's leaving"  # which is no entry, and counts once for its life


@then("both are answered {alike}, and the cluster state stands as after the first")
def step_once(context, alike):
    assert context.first[0] in (200, 201), context.first
    if alike == "alike":
        assert context.first == context.second, (context.first, context.second)
    else:
        assert context.second[0] == 200 and context.first[1]["ticket"] == context.second[1]["ticket"]
    assert (context.before != context.after_first) == context.changes, context.before
    assert context.control_daemons.standing() == context.after_first


@when("{call} is asked twice in one moment")
def step_twice(context, call):
    name, arguments = prepared(context, call)
    context.answered_calls = context.control_daemons.give(name, arguments, "the token", times=2)


@then("it is answered once, and the cluster state holds one of it")
def step_one(context):
    assert len(context.answered_calls) == 1 and context.answered_calls[0][0] in (200, 201), (
        context.answered_calls
    )
    before, after = context.before, context.control_daemons.standing()
    assert len(after["versions"]) - len(before["versions"]) <= 1
    assert after["drafts"][0] - before["drafts"][0] <= 1
    assert after["tickets"][0] - before["tickets"][0] <= 1
    assert len(after["jobs"]) - len(before["jobs"]) <= 1
    assert after != before


@then("docs/design/control/calls.md has one row for each call that is no mere reading")
def step_page(context):
    with open(os.path.join(ROOT, "docs", "design", "control", "calls.md")) as file:
        queue_settings = re.findall(r"^\| `([a-z-]+)` \|", file.read(), re.M)
    readings = {
        "job-read",
        "configuration",
        "job-explain",
        "workers",
        "evacuations",
        "tenants",
        "configuration-shown",
        "tenant",
    }  # under the lease
    wanted = {name for name, call in REQUESTS.items() if not call.confirm_by_round} - readings
    assert sorted(queue_settings) == sorted(wanted), (set(queue_settings) ^ wanted, queue_settings)
