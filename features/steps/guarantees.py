"""Steps for Guarantees: the registry against the fault scenarios, the injected faults and the page."""

import os
import re

from behave import then

from pinepitch.simulation import checks, guarantees, pushed_job_trial
from pinepitch.simulation.jobs import key_checks
from pinepitch.simulation.simulator import Simulator
from pinepitch.simulation.stand_in_operator import Operator

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")


def text_of(*path):
    with open(os.path.join(ROOT, *path)) as file:
        return file.read()


@then("no fault scenario and no injected fault is missing from the registry")
def step_complete(context):
    assert len(guarantees.GUARANTEES) >= 12 and len(guarantees.FAILURES) >= 15
    assert not guarantees.missing(), guarantees.missing()


@then("features/pushed_job_trials.feature tries every injected fault and every fault scenario")
def step_tried(context):
    words = set(re.findall(r"[a-z-]+", text_of("features", "pushed_job_trials.feature")))
    lacking = (set(guarantees.INJECTED_FAULTS) | set(guarantees.FAULT_SCENARIOS)) - words
    assert not lacking, lacking


@then("docs/proof.md is up to date")
def step_page(context):
    page = text_of("docs", "proof.md")
    assert guarantees.matrix() in page, "run: pinepitch proof"
    assert guarantees.written(page) == page


@then("each check named by a guarantee is found in the code")
def step_checks(context):
    owners = (checks, pushed_job_trial, Operator, Simulator)
    for guarantee in guarantees.GUARANTEES:
        for name in guarantee.checks:
            if re.fullmatch(r"[A-Za-z_.]+", name):
                found = name.rpartition(".")[2]
                assert any(hasattr(one, found) for one in owners), name
    for rule in guarantees.KEY_RULES:
        assert hasattr(key_checks, rule.check), rule.check
