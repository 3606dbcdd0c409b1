"""Steps for Soak: short soaks of real processes, as the long ones that are run by hand."""

import os
import sys

from behave import then, when

FEATURES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, FEATURES)
try:
    from features.soak.soak import soak
finally:
    sys.path.remove(FEATURES)


@when("soaks of {seconds:d} seconds run with seeds {first:d} to {last:d}")
def step_soak(context, seconds, first, last):
    context.outcomes = [soak(seed, seconds) for seed in range(first, last + 1)]


@then("no history check, no log and no invariant of the code shows a fault")
def step_clean(context):
    found = [f"seed {one.seed}: {fault}" for one in context.outcomes for fault in one.faults]
    assert not found, "\n".join(found[:10])


@then("at least two troubles went on at the same time, and jobs ran")
def step_met(context):
    for one in context.outcomes:
        assert one.most_at_once >= 2 and one.starts > one.jobs > 0, one
