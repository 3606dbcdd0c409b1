"""Steps for Sizes of answers: a worker that can't take answers over the limit of the protocol."""

import collections
import json

import end_lists
from assignment_cluster import HOST, JOB, PREFIX
from behave import given, then, when

MAX_ANSWER_BYTES = 4 * 1024 * 1024
OTHER_JOB_TASKS = 1


class TakingWorker(end_lists.ListingWorker):
    """A worker that drops answers that are too large; `sizes` has the bytes of each answer."""

    def __init__(self, identity, address):
        super().__init__(identity, address)
        self.sizes = []
        self.room = [10_000, 4096, 0]

    def take_answer(self, answer):
        self.sizes.append(len(json.dumps(answer).encode()))
        return super().take_answer(answer) if self.sizes[-1] <= MAX_ANSWER_BYTES else []


@given("a worker that takes answers of at most 4 MiB runs a task of another job")
def step_taking_worker(context):
    context.listing = {"one": TakingWorker("one", "10.8.0.1:80")}
    context.told_starts, context.started_after_done = collections.Counter(), []
    for _ in range(2):
        end_lists.heartbeat(context, "one")
    end_lists.submit(context, end_lists.OTHER_JOB, OTHER_JOB_TASKS)
    heartbeat_until(context, OTHER_JOB_TASKS, 20)


def heartbeat_until(context, running, most):
    """Heartbeats until so many runs are active, at most so many times."""
    worker = context.listing["one"]
    for _ in range(most):
        if len(worker.running) >= running:
            return
        end_lists.heartbeat(context, "one")
    assert len(worker.running) >= running, (len(worker.running), max(worker.sizes))


@when("a job of {count:d} tasks with a specification of {length:d} times {character} is submitted")
def step_submit_long(context, count, length, character):
    steps = [{"count": count, "cpu": end_lists.TASK_CPU}]
    answer = context.cluster.told("job", HOST, PREFIX + JOB, {"spec": character * length, "steps": steps})
    assert answer[0] == 200, answer
    context.count = count + OTHER_JOB_TASKS
    context.cluster.run(1.0)


@when("the worker heartbeats until all tasks run, {most:d} times at most")
def step_heartbeats(context, most):
    heartbeat_until(context, context.count, most)


@then("every answer was small enough to be taken, and each start was told once")
def step_small_enough(context):
    largest = max(context.listing["one"].sizes)
    assert largest <= MAX_ANSWER_BYTES, largest
    assert set(context.told_starts.values()) == {1}, context.told_starts.most_common(3)


@then("the task of the other job still runs")
def step_other_runs(context):
    running = [reference for reference, _ in context.listing["one"].running]
    assert any(reference.startswith(end_lists.OTHER_JOB) for reference in running), running[:3]
