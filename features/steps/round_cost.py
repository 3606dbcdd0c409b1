"""Steps for Cost of rounds: the instructions that a scheduling round executes, by the size of the fleet."""

from behave import given, then, when
from instruction_count import instructions_of
from round_fleet import ROUND_EVERY, Fleet

from pinepitch.common import constants
from pinepitch.scheduling import job_document as jobs

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

    def instructions_of_round(self, job=None):
        """The number of instructions that one more round executes; it must place `job` alone, if one is
        named.
        """
        self.now += ROUND_EVERY
        self._beat()
        results = []
        cost = instructions_of(
            lambda: results.append(
                self.assigner.run_round(self.leased_jobs, self.workers, self.assignments, self.now, self.now)
            )
        )
        placed = [item[0] for item in results[0][0]]
        assert job is None or placed == [job], placed
        return cost


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


@when("a job of {count:d} tasks that run at once comes to each")
def step_small_job(context, count):
    context.cost = {}
    for fleet in context.fleets.values():
        job = fleet.put("scans", count, 1, LONG)
        context.cost[len(fleet.workers)] = fleet.instructions_of_round(job)


@then("one more worker costs the next round at most {most:d} instructions")
def step_worker_cost(context, most):
    (few, of_few), (many, of_many) = sorted(context.cost.items())
    each = (of_many - of_few) / (many - few)
    assert each <= most, f"{each:.0f} instructions for each worker: {context.cost}"


# --- jobs that recur -----------------------------------------------------------------------
SMALL_TASK = {"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "est_ms": 5000}
RECURRING = {  # what comes -> one step
    "tasks for a label that no worker has": {**SMALL_TASK, "needs": "nowhere"},
    "tasks larger than a worker": {**SMALL_TASK, "gpu": 9},
    "tasks that wait for room": {**SMALL_TASK, "gpu": 8},
    "tasks near a rack that wait for room": {**SMALL_TASK, "gpu": 8, "near": "r0"},
    "tasks apart that wait for room": {**SMALL_TASK, "gpu": 8, "apart": 1},
    "tasks that run at once": SMALL_TASK,
}


@given("fleets of {count:d} workers, each with a task on it")
def step_small_fleets(context, count):
    context.fleets = [SteadyFleet(count), SteadyFleet(count)]
    for fleet in context.fleets:
        fleet.put("scans", count, 1, LONG, apart=1)
        fleet.run(1.0)


def put_recurring(fleet, count, step, steps, times):
    """Submits jobs of so many equal steps all of whose times are due."""
    plain, faults = jobs.checked({"steps": [step] * steps, "times": times, "first_ms": 0, "every_ms": 1})
    assert not faults, faults
    for number in range(count):
        identity = f"{number + 1000:016x}"
        fleet.lengths[identity] = LONG
        outcome = fleet.leased_jobs.accept(fleet.now, identity, "scans", plain, None)
        assert outcome == ("accepted", identity), outcome
    fleet.run(constants.RESERVE_AFTER + 2 * ROUND_EVERY)


@when(
    "{count:d} jobs of {steps:d} {what} come to the first, each {few:d} times, "
    "and to the second {many:d} times"
)
def step_recurring(context, count, steps, what, few, many):
    for fleet, times in zip(context.fleets, (few, many), strict=True):
        put_recurring(fleet, count, RECURRING[what], steps, times)


@when(
    "{count:d} jobs of {steps:d} gangs of {few:d} and of {many:d} members that no worker has capacity for "
    "come to the fleets, each {times:d} times"
)
def step_gangs(context, count, steps, few, many, times):
    for fleet, members in zip(context.fleets, (few, many), strict=True):
        put_recurring(fleet, count, {**SMALL_TASK, "gpu": 9, "count": members, "gang": True}, steps, times)


@then("a round of the second costs at most {most:g} times what it costs in the first")
def step_round(context, most):
    cost = []
    for fleet in context.fleets:
        fleet.assigner.idle_capacity.checked_at = None  # so that the round looks for idle capacity
        cost.append(fleet.instructions_of_round())
    assert cost[1] <= most * cost[0], cost


@then("the end of a task in the second costs at most {most:g} times what it costs in the first")
def step_end(context, most):
    cost = []
    for fleet in context.fleets:
        key = next(key for key in fleet.ends_at if key[1].startswith(f"{1000:016x}"))
        end = ((*key, "done", "", True),)
        cost.append(instructions_of(lambda fleet=fleet, end=end: fleet.leased_jobs.end(fleet.now, end)))
    assert cost[1] <= most * cost[0], cost


@given("{count:d} jobs of single tasks that recur {times:d} times, from an hour on")
def step_later(context, count, times):
    cluster = context.cluster
    first_ms = (1.7e9 + cluster.now + 3600) * 1000
    document = {"steps": [SMALL_TASK], "times": times, "first_ms": first_ms, "every_ms": 60_000}
    for _ in range(count):
        assert cluster.submit("checks", document)[1] == 200


@then("each check was started within {seconds:g} second")
def step_soon(context, seconds):
    cluster = context.cluster
    context.cluster.play(2.0)
    started = {reference[:16]: at for worker in cluster.workers for at, reference in worker.starts}
    waits = {one: started.get(one, cluster.now) - cluster.accepted[one] for one in context.checks}
    assert max(waits.values()) <= seconds, waits


@when("{few:d} and {many:d} jobs of {steps:d} {what} come to the fleets")
def step_backlogs(context, few, many, steps, what):
    for fleet, count in zip(context.fleets, (few, many), strict=True):
        put_recurring(fleet, count, RECURRING[what], steps, 1)


@then("a scan that comes then starts in the next round")
def step_new_first(context):
    fleet = context.fleets[1]
    scan = fleet.put("scans", 1, 1, LONG)
    fleet.run(ROUND_EVERY)
    assert fleet.leased_jobs.jobs[scan].placed_tasks == 1


@then("after {rounds:d} more rounds each of the jobs was found short of capacity")
def step_all_seen(context, rounds):
    fleet = context.fleets[1]
    fleet.run(rounds * ROUND_EVERY)
    assert len(fleet.leased_jobs.ready) > constants.MAX_ROUND_BATCHES
    assert fleet.assigner.short_since.keys() == fleet.leased_jobs.ready.keys()
