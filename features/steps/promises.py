"""Steps for Promises: the registry against the weathers, the plants and the page."""

import os
import re

from behave import then

from pinepitch.proof import checks, promises, trial
from pinepitch.proof.operator import Operator
from pinepitch.proof.simulator import Simulator

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")


def text_of(*path):
    with open(os.path.join(ROOT, *path)) as file:
        return file.read()


@then("no weather and no planted fault is missing from the registry")
def step_whole(context):
    assert len(promises.PROMISES) >= 12 and len(promises.FAILURES) >= 15
    assert not promises.missing(), promises.missing()


@then("features/trial.feature tries every planted fault and every weather")
def step_tried(context):
    words = set(re.findall(r"[a-z-]+", text_of("features", "trial.feature")))
    lacking = (set(promises.PLANTS) | set(promises.WEATHERS)) - words
    assert not lacking, lacking


@then("docs/proof.md is up to date")
def step_page(context):
    page = text_of("docs", "proof.md")
    assert promises.matrix() in page, "run: pinepitch proof"
    assert promises.written(page) == page


@then("each check named by a promise is found in the code")
def step_checks(context):
    owners = (checks, trial, Operator, Simulator)
    for promise in promises.PROMISES:
        for name in promise.checks:
            if re.fullmatch(r"[A-Za-z_.]+", name):
                found = name.rpartition(".")[2]
                assert any(hasattr(one, found) for one in owners), name
