"""Steps for Cost of rounds: the instructions that a scheduling round executes, by the size of the fleet."""

import sys

from behave import given, then, when
from round_fleet import ROUND_EVERY, Fleet

from pinepitch.common import constants

RACK_SIZE = 20  # workers
LOST_PART = 5  # one in so many workers
TAKEN = 5  # accelerators of each worker, of which it has 8
LONG = 60.0  # seconds; that the work takes which runs when the zone is lost
MADE_UP_OF = {  # what waits -> its tasks' step
    "gangs that want a rack": {"gang": True, "tight": True},
    "gangs": {"gang": True},
    "scans": {},
}


class SteadyFleet(Fleet):
    """A fleet that does not look for starving work, which would take longest in a large fleet."""

    def _look(self):
        """Records nothing."""

    def instructions_of_round(self):
        """The number of instructions that one more round executes."""
        counted = 0

        def count(frame, event, _):
            nonlocal counted
            frame.f_trace_opcodes, frame.f_trace_lines = True, False
            counted += event == "opcode"
            return count

        before = sys.gettrace()
        self.now += ROUND_EVERY
        self._beat()
        sys.settrace(count)
        try:
            self.assigner.run_round(self.leased_jobs, self.workers, self.assignments, self.now, self.now)
        finally:
            sys.settrace(before)
        return counted


def more_than_half_full(count):
    """A fleet with a long task on each worker, whose first racks then become unresponsive."""
    fleet = SteadyFleet(count, rack_size=RACK_SIZE)
    fleet.put("scans", count, TAKEN, LONG)
    fleet.run(1.0)
    assert len(fleet.leased_jobs.placements) == count, "some run none"
    fleet.silent = {f"w{place}" for place in range(count // LOST_PART)}
    fleet.run(1.5)
    return fleet


@given(
    "fleets of {small:d} and of {large:d} workers, {rack:d} in a rack, "
    "of which a fifth were lost and the others are more than half full"
)
def step_fleets(context, small, large, rack):
    assert rack == RACK_SIZE
    context.fleets = {"small": more_than_half_full(small), "large": more_than_half_full(large)}


@when("in each {few:d} and then {many:d} {what} wait that no worker has capacity for")
def step_wait(context, few, many, what):
    context.cost = {}
    for size, fleet in context.fleets.items():
        counted = []
        for more in (few, many - few):
            for place in range(more):
                fleet.put("scans", 3 + place % 7, 4 + place % 5, 5, **MADE_UP_OF[what])
            fleet.run(constants.RESERVE_AFTER + 2 * ROUND_EVERY)
            counted.append(fleet.instructions_of_round())
        assert len(fleet.leased_jobs.ready) == many, "some were placed"
        context.cost[size] = (counted[1] - counted[0]) / (many - few)


@then(
    "one more of them costs a round of the large fleet at most {most:d} times what it costs one of the "
    "small fleet"
)
def step_cost(context, most):
    cost = {size: round(one) for size, one in context.cost.items()}
    assert cost["large"] <= most * max(1, cost["small"]), f"instructions: {cost}"
