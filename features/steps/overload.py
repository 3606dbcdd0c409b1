"""Steps for Overload: queues that share a service whose more urgent queue asks for more than there is."""

import random

from behave import then, when
from overloaded_fleet import Burst, OverloadedFleet

WORKERS = 7
TRAFFIC, REST = 48, 18  # seconds in which jobs come, and for which the rest of them may end
TROUBLES = {
    "none is in trouble": {},
    "2 are lost and 2 fail most runs": {"lost": 2, "failing": 2},
    "3 are lost": {"lost": 3},
}


@when(
    "urgent gangs come to 7 workers in bursts of {times:g} times the usual, {seconds:g} s each, at {first:g} "
    "s and {second:g} s, and of the workers {trouble}, by seeds {least:d} to {most:d}"
)
def step_bursts(context, times, seconds, first, second, trouble, least, most):
    bursts = [Burst(begins, seconds, times) for begins in (first, second)]
    context.earned = {}
    for seed in range(least, most + 1):
        fleet = OverloadedFleet(random.Random(seed), WORKERS, bursts, **TROUBLES[trouble])
        fleet.play(TRAFFIC, REST)
        context.earned[seed] = fleet.earned()


@then("each queue has earned at least {floor:g} of its worth by every seed")
def step_earned(context, floor):
    short = {
        seed: {name: round(part, 3) for name, part in parts.items()}
        for seed, parts in context.earned.items()
        if min(parts.values()) < floor
    }
    assert not short, f"worth earned, by seed: {short}"
