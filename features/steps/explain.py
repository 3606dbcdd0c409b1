"""Steps for Explain: explanations of pushed jobs in a simulated fleet."""

from unittest import mock

from behave import given, then

from pinepitch.cli.explain import explanation
from pinepitch.common import constants
from pinepitch.simulation.simulator import Simulator


def fleet(context):
    context.simulator = Simulator(21)
    context.simulator.begin()
    context.simulator.run(3)


def submit(context, tasks):
    status, answer = context.simulator.persist("POST", "/v1/tickets", {"queue": "default", "tasks": tasks})
    assert status == 201, answer
    context.pushed_job = answer["ticket"]


def explain_job(context):
    status, document = context.simulator.persist("GET", f"/v1/tickets/{context.pushed_job}/whence")
    assert status == 200
    return document, explanation(document)


@given("a simulated fleet with a job that failed once and then finished")
def step_failed_once(context):
    fleet(context)
    workers = [node.core for node in context.simulator.nodes.values() if node.kind == "minion"]
    for one in workers:
        one.fail_rate = 1.0
    submit(context, [{"name": "s", "units": 30 // 10, "work": {"seconds": 0.2}}])
    assert (
        context.simulator.until(
            lambda: any(event[0] == "end" for event in context.simulator.worker_history), 10, 0.02
        )
        is not None
    )
    for one in workers:
        one.fail_rate = 0.0

    def finished():
        return context.simulator.persist("GET", f"/v1/tickets/{context.pushed_job}")[1]["state"] == "finished"

    assert context.simulator.until(finished, 20) is not None


@then(
    "explain names both attempts with worker, front daemon, how, epoch, queue configuration version "
    "and lenders"
)
def step_attempts(context):
    document, text = explain_job(context)
    made = document["tasks"][0]["attempts_made"]
    assert [(one["attempt"], one["how"]) for one in made] == [(1, "failed"), (2, "done")], made
    starts = [event for event in context.simulator.worker_history if event[0] == "start"]
    assert [one["minion"] for one in made] == [event[2] for event in starts]
    fronts = {node.core.identity for node in context.simulator.nodes.values() if node.kind == "verge"}
    for one in made:
        assert one["verge"] in fronts and one["lenders"] == [["default", 3]] and one["epoch"] == 1
        assert one["setup_version"] == 2 and one["ended"] > one["placed"]
        assert (
            f"attempt {one['attempt']} on {one['minion']} by front daemon {one['verge']}: {one['how']}"
            in text
        )
    context.before = document["tasks"]


@then("it says the same once the job is archived")
def step_archived(context):
    with mock.patch.object(constants, "FINISHED_LIVE", 0), mock.patch.object(constants, "SEGMENT_JOBS", 4):
        for _ in range(4):
            first, before = context.pushed_job, context.simulator.persist
            submit(context, [{"name": "s", "work": {"seconds": 0.05}}])
            context.pushed_job = first
            assert before("GET", "/v1/pending")[0] == 200
        context.simulator.run(3)
        assert context.pushed_job not in context.simulator.leader().core.cluster_state.pushed_jobs
        assert explain_job(context)[0]["tasks"] == context.before


@given("a simulated fleet with an impossible job")
def step_impossible(context):
    fleet(context)
    submit(context, [{"name": "x", "labels": ["unheard-of"]}])
    context.simulator.run(1)


@then("explain says what no worker has, and lists each worker as lacking it")
def step_lacking(context):
    document, text = explain_job(context)
    assert "unplaceable when it came: task x asks for unheard-of" in text
    candidates = document["tasks"][0]["candidates"]
    assert len(candidates) == 6 and all(one["why"] == "lacks unheard-of" for one in candidates), candidates
    assert document["tasks"][0]["why"] == "no minion fits"
