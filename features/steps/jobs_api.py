"""Steps for Jobs Api: jobs of a simulated fleet, whose workers are stand-ins that heartbeat."""

import contextlib
import hashlib
import io
import json
from unittest import mock

import fire
from behave import given, then, when
from prometheus_client.parser import text_string_to_metric_families

from pinepitch.cli import commands, explain, front_commands
from pinepitch.common import constants
from pinepitch.common.effects import Reply
from pinepitch.control import metrics_text
from pinepitch.scheduling.configuration import Configuration
from pinepitch.simulation.simulator import Simulator
from pinepitch.transport.http import Response

HOST, PREFIX = "lamps.example", "/plans/"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "plans",
            "host": HOST,
            "prefix": PREFIX,
            "service": "lamps",
            "attempts": 3,
            "priority": 1,
            "aim_ms": 5000,
            "stretch": 2,
        }
    ],
    "services": [{"name": "lamps", "guards": True}],
}
ID = "5c0e7a21d94b36f8"
ROOM = (4000, 4096, 0)


def begin(simulator, name, arguments, front=0):
    """Begins a call as a port passes it to a front daemon; returns the list that will contain its answer."""
    node = [node for node in simulator.nodes.values() if node.kind == "verge"][front]
    simulator.request_count += 1
    number, got = simulator.request_count, []
    simulator.requests[number] = ("call", "operator", 0, ("plain", got), node.name)
    simulator.at(
        simulator.latency(), "give", node.name, node.incarnation, ("call", number, name, arguments, 2.5)
    )
    return got


def call(simulator, name, arguments, front=0):
    """The same, waited for: (status, document)."""
    got = begin(simulator, name, arguments, front)
    assert simulator.until(lambda: got, 8, 0.01) is not None
    return got[0][1:]


class StandInWorker:
    """A worker that starts and stops runs as its answers demand, and ends those that it is given."""

    def __init__(self, simulator, identity, zone):
        self.simulator, self.identity, self.zone = simulator, identity, zone
        self.sequence = self.number = 0
        self.state = "ready"
        self.running, self.ended, self.started = {}, [], []

    def send(self):
        """Sends a heartbeat; returns the list that will contain its answer."""
        self.sequence += 1
        heartbeat = {
            "service": "lamps",
            "address": f"10.9.0.{self.identity[1:]}:80",
            "zone": self.zone,
            "state": self.state,
            "sequence": self.sequence,
            "clock_ms": self.simulator.now * 1000,
            "leaves_ms": None,
            "labels": ["kind", f"rack-{self.zone}"],
            "room": list(ROOM),
            "running": [(*key, "", percent) for key, percent in self.running.items()],
            "ended": list(self.ended),
        }
        return begin(self.simulator, "beat", (self.identity, heartbeat))

    def hear(self, status, answer):
        assert status == 200, (status, answer)
        for task, run, _, _ in answer.get("start", ()):
            self.running[(task, run)] = 40
            self.started.append((task, run))
        for task, run in answer.get("stop", ()):
            if self.running.pop((task, run), None) is not None:
                self._ended(task, run, "stopped")
        self.ended = [one for one in self.ended if one[0] > answer.get("seen", 0)]

    def _ended(self, task, run, how):
        self.number += 1
        self.ended.append((self.number, task, run, how, ""))

    def end(self, task, run, how="done"):
        del self.running[(task, run)]
        self._ended(task, run, how)


def send_heartbeats(context, rounds=1, but=()):
    """All workers send heartbeats at once, for some rounds; that of an idle one stays open for a while."""
    for _ in range(rounds):
        sent = [(worker, worker.send()) for worker in context.workers if worker not in but]
        assert context.simulator.until(lambda sent=sent: all(got for _, got in sent), 8, 0.01) is not None
        for worker, got in sent:
            worker.hear(*got[0][1:])
        context.simulator.run(0.1)


def heartbeats_until(context, wanted):
    """All workers send heartbeats in turn until a condition is true."""
    for _ in range(12):
        if wanted():
            return
        send_heartbeats(context)
    assert wanted(), [worker.running for worker in context.workers]


def submit(context, steps, identity=ID):
    status, answer = call(
        context.simulator, "job", (HOST, PREFIX + identity, {"spec": "work", "steps": steps}), 1
    )
    assert status == 200, (status, answer)


def explained(context, identity=ID, front=0):
    status, document = context.simulator.ask("GET", f"/v1/jobs/{identity}", front=front)
    assert status == 200, (status, document)
    return document


def all_running(context):
    return sorted(key for worker in context.workers for key in worker.running)


@given("a simulated fleet without workers")
def step_fleet(context):
    context.simulator = Simulator(41)
    context.simulator.begin()
    context.simulator.run(3)
    context.simulator.loss = 0.0
    context.fronts = sum(node.kind == "verge" for node in context.simulator.nodes.values())
    context.workers = []


@when("routes and services come into force")
def step_configure(context):
    assert call(context.simulator, "configure", (0, CONFIGURATION)) == (200, {"version": 3})


@given("a simulated fleet with three workers and routes in force")
def step_workers(context):
    step_fleet(context)
    step_configure(context)
    context.workers = [
        StandInWorker(context.simulator, f"w{place}", zone) for place, zone in enumerate("abc")
    ]
    send_heartbeats(context, rounds=3)


@then('the configuration is answered with {status:d} and "{code}"')
def step_unconfigured(context, status, code):
    for place in range(context.fronts):
        got = context.simulator.ask("GET", "/v1/configuration", front=place)
        assert got[0] == status and got[1]["error"]["code"] == code, got


@then("every front daemon answers the configuration as it was sent")
def step_configured(context):
    for place in range(context.fronts):
        assert context.simulator.ask("GET", "/v1/configuration", front=place) == (200, CONFIGURATION)


# --- a job from its acceptance to its end ----------------------------------------------
@when("a job of two steps is handed in")
def step_two_steps(context):
    context.simulator.run(1.5)  # no worker has beaten of late, so nothing is placed yet
    submit(context, [{"count": 3, "cpu": 2500, "mem_mb": 100}, {"count": 2, "cpu": 1000, "after": [0]}])


@then("it is queued, its first step has no worker that is open, and its second waits for the first")
def step_queued(context):
    for place in range(context.fronts):
        document = explained(context, front=place)
        assert (
            document["state"] == "queued" and document["queue"] == "plans" and document["service"] == "lamps"
        )
        assert document["attempts"] == 3 and document["placements"] == [] and document["more_waves"] == 0
        first, second = document["waves"]
        assert (first["step"], first["waiting"], first["placed"], first["done"]) == (0, 3, 0, 0), first
        assert first["candidates"] == {"silent": 3}, first
        assert (
            second["waiting"] == 2 and second["why"] == "waits for step 0" and "candidates" not in second
        ), second


@when("the workers heartbeat until all of its first step runs")
def step_first_runs(context):
    heartbeats_until(context, lambda: len(all_running(context)) == 3)
    send_heartbeats(context, rounds=2)


@then("each placement names its run, worker, epoch and progress, as the workers have it")
def step_placements(context):
    document = explained(context)
    epoch = context.simulator.leader().core.epoch
    assert document["state"] == "running"
    assert document["waves"][0]["placed"] == 3 and document["waves"][0]["why"] == ""
    answered = {(one["task"], one["run"], one["minion"]) for one in document["placements"]}
    assert answered == {(*key, worker.identity) for worker in context.workers for key in worker.running}
    for one in document["placements"]:
        assert one["epoch"] == epoch and one["running"] and one["percent"] == 40 and one["stop"] == "", one


@when("the first step ends, one task of it after a failure")
def step_first_ends(context):
    failing = context.workers[0]
    key = next(iter(failing.running))
    failing.end(*key, "failed")
    heartbeats_until(context, lambda: (key[0], 2) in all_running(context))
    for worker in context.workers:
        for one in list(worker.running):
            worker.end(*one)
    heartbeats_until(context, lambda: len(all_running(context)) == 2)


@then("the first step shows the failure and is done, and the second runs")
def step_second_runs(context):
    batches = {one["step"]: one for one in explained(context)["waves"]}
    assert (batches[0]["done"], batches[0]["failures"], batches[0]["most_failures"]) == (3, 1, 1), batches[0]
    assert (batches[1]["placed"], batches[1]["why"]) == (2, ""), batches[1]


@when("the second step ends")
def step_second_ends(context):
    for worker in context.workers:
        for one in list(worker.running):
            worker.end(*one)
    send_heartbeats(context, rounds=3)


@then("the job shows completed with nothing placed")
def step_completed(context):
    document = explained(context)
    assert document["state"] == "completed" and document["queue"] == "plans" and document["ended"] > 0
    assert document["placements"] == [] and document["waves"] == []


# --- what rules workers out --------------------------------------------------------------
@when("the workers are ruled out by {cause} and a job waits")
def step_ruled_out(context, cause):
    step, but, worker = {"cpu": 3000}, (), context.workers[0]
    if cause == "a missing label":
        step["needs"] = "unheard-of"
    elif cause == "too wide a task":
        step["cpu"] = ROOM[0] + 1
    elif cause == "an evacuated zone":
        assert call(context.simulator, "evacuate", ("a", True))[0] == 200
    elif cause == "a drain":
        worker.state = "draining"
    elif cause == "silence":
        but = (worker,)
    elif cause == "a run of nobody":
        worker.running[("0123456789abcdef.0.0.0", 1)] = 1
        worker._ended = lambda *rest: worker.running.setdefault(rest[:2], 1)  # it goes on running
    elif cause == "a limit of a step":
        step.update(cpu=100, apart=1)
    send_heartbeats(context, but=but)  # the leader hears of it before the job comes
    submit(context, [{"count": 5, **step}])
    for _ in range(8):
        send_heartbeats(context, but=but)
        context.simulator.run(0.15)


@then("its candidates are {count:d} workers under {why}")
def step_candidates(context, count, why):
    batch = explained(context)["waves"][0]
    assert batch["waiting"] > 0 and batch["why"] != "", batch
    assert batch["candidates"].get(why) == count and sum(batch["candidates"].values()) == 3, batch
    if count == 1:
        assert not context.workers[0].started, context.workers[0].started


@when("a job of more times than a page is handed in")
def step_many_times(context):
    times = constants.MAX_PAGE_ROWS + 20
    status, answer = call(
        context.simulator,
        "job",
        (HOST, PREFIX + ID, {"steps": [{"cpu": 1000}], "first_ms": 0, "every_ms": 1, "times": times}),
    )
    assert status == 200, (status, answer)
    heartbeats_until(context, lambda: len(all_running(context)) == 12)
    for worker in context.workers:
        for one in list(worker.running):
            worker.end(*one)
    heartbeats_until(context, lambda: len(all_running(context)) == 12)


@then("it is told up to a page, what is not done first, and how much is left out")
def step_page(context):
    document = explained(context)
    assert len(document["waves"]) == constants.MAX_PAGE_ROWS and document["more_waves"] == 20
    assert not [one for one in document["waves"] if one["done"]], "what is done came before what is not"
    times = [one["time"] for one in document["waves"]]
    assert times == sorted(times) and len(document["placements"]) == 12


# --- cancelled and unknown ------------------------------------------------------------------
@when("a job runs and is cancelled")
def step_cancelled(context):
    submit(context, [{"count": 3, "cpu": 3000}])
    heartbeats_until(context, lambda: len(all_running(context)) == 3)
    assert call(context.simulator, "job-cancel", (HOST, PREFIX + ID))[0] == 200


@then("it shows cancelled and what still runs of it, and nothing once the workers have told the ends")
def step_still_runs(context):
    document = explained(context)
    assert document["state"] == "cancelled" and len(document["placements"]) == 3, document
    send_heartbeats(context, rounds=4)
    assert not all_running(context)
    document = explained(context)
    assert document["state"] == "cancelled" and document["placements"] == [], document


@then('every front daemon answers a job that never was with {status:d} and "{code}"')
def step_unknown(context, status, code):
    for place in range(context.fronts):
        got = context.simulator.ask("GET", "/v1/jobs/ffffffffffffffff", front=place)
        assert got[0] == status and got[1]["error"]["code"] == code, got


# --- workers and evacuations -----------------------------------------------------------------
@then("the workers are listed with service, zone, capacity and what is placed there")
def step_listed(context):
    submit(context, [{"count": 1, "cpu": 3000, "mem_mb": 96, "lasts": True}])
    heartbeats_until(context, lambda: len(all_running(context)) == 1)
    context.workers[1].state = "draining"
    send_heartbeats(context, rounds=2)
    status, document = context.simulator.ask("GET", "/v1/workers", front=2)
    assert status == 200
    listed = {one["minion"]: one for one in document["workers"]}
    assert sorted(listed) == ["w0", "w1", "w2"]
    for worker in context.workers:
        one, runs = listed[worker.identity], len(worker.running)
        assert (one["service"], one["zone"], one["rack"]) == ("lamps", worker.zone, f"rack-{worker.zone}"), (
            one
        )
        assert (one["state"], one["closed"]) == (
            (worker.state, "") if worker.state == "ready" else ("draining",) * 2
        )
        assert one["room"] == {"cpu": 4000, "mem_mb": 4096, "gpu": 0}, one
        assert one["free"] == {"cpu": 4000 - 3000 * runs, "mem_mb": 4096 - 96 * runs, "gpu": 0}, one
        assert (one["placed"], one["running"]) == (runs, runs) and not one["silent"] and one["heard"] < 1, one
        assert (one["failing"], one["speed"]) == (0.0, 1.0), one
    context.simulator.run(2)
    assert all(
        one["silent"] and one["closed"] == "silent"
        for one in context.simulator.ask("GET", "/v1/workers")[1]["workers"]
    )


@then("an evacuation is listed until it is taken back")
def step_evacuations(context):
    def listed(place):
        return [
            one["zone"]
            for one in context.simulator.ask("GET", "/v1/evacuations", front=place)[1]["evacuations"]
        ]

    assert listed(0) == []
    call(context.simulator, "evacuate", ("b", True), 1)
    assert [listed(place) for place in range(context.fronts)] == [["b"]] * context.fronts
    call(context.simulator, "evacuate", ("b", False), 2)
    assert [listed(place) for place in range(context.fronts)] == [[]] * context.fronts


# --- metrics ---------------------------------------------------------------------------------
@then("the leader's metrics of jobs, runs, workers and the configuration agree with its cluster state")
def step_metrics(context):
    simulator = context.simulator
    submit(context, [{"count": 2, "cpu": 100}, {"count": 1, "cpu": 100, "after": [0]}], "00000000000000aa")
    submit(context, [{"count": 4, "needs": "unheard-of"}], "00000000000000bb")
    send_heartbeats(context, rounds=4)
    node = simulator.leader()
    leased_jobs, assignments = node.core.cluster_state.leased_jobs, node.core.assignments
    effects = node.core.step(
        ("http", 1, "GET", "/v1/metrics", {}, b""), simulator.now + 1000.0, simulator.clock(node)
    )
    text = next(effect.document for effect in effects if isinstance(effect, Reply))
    found = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            found.setdefault(sample.name.removeprefix("pinepitch_"), {})[tuple(sample.labels.values())] = (
                sample.value
            )
    assert found["jobs_open"] == {("queued",): 1, ("running",): 1}, found["jobs_open"]
    assert found["jobs_final"] == {("cancelled",): 1, ("completed",): 0, ("failed",): 0}, found["jobs_final"]
    assert found["job_tasks_waiting"] == {("plans",): 4}, found["job_tasks_waiting"]
    assert found["runs_placed"][()] == sum(map(len, leased_jobs.placements.values())) == 2
    assert found["workers"][("ready",)] == 3 and found["configuration_version"][()] == 3
    assert found["zones_evacuated"][()] == 0
    assert (
        found["beats_total"][()]
        == assignments.counts["beats"]
        >= sum(worker.sequence for worker in context.workers) - 3
    )
    started = sum(len(worker.started) for worker in context.workers)
    assert found["run_starts_total"][()] >= started == 5, (found["run_starts_total"], started)
    assert found["run_stops_total"][()] >= 3, found["run_stops_total"]
    assert found["run_ends_total"] == {("stopped",): 3}, found["run_ends_total"]
    assert found["job_tasks_left"] == {("plans", "no room"): 4}, found["job_tasks_left"]
    outlook = found["job_tasks_outlook"]
    assert sum(outlook.values()) == 4 and all("plans" in labels for labels in outlook), outlook
    total = sum(worker.capacity[0] for worker in assignments.workers.values())
    taken = sum(capacity[0] for capacity in leased_jobs.used_by_worker.values())
    capacity = {place: amount for place, amount in found["worker_room"].items() if "cpu" in place}
    assert sorted(capacity.values()) == sorted((taken, total - taken)) and 0 < taken < total, capacity
    by_priority = {labels: amount for labels, amount in found["priority_room"].items() if "cpu" in labels}
    assert sum(amount for labels, amount in by_priority.items() if "taken" in labels) == taken, by_priority


# --- the command line --------------------------------------------------------------------------
def answered(context, entry, *arguments):
    """(what a command prints, its exit code), its calls going to the simulated fleet."""

    def request(front, method, target, document=None, headers=()):
        return Response(*context.simulator.ask(method, target, document))

    out, code = io.StringIO(), 0
    with (
        mock.patch.object(front_commands, "request", request),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(out),
    ):
        try:
            fire.Fire(entry, command=list(arguments))
        except SystemExit as ended:
            code = ended.code or 0
    return out.getvalue(), code


@when("a job runs whose name looks like a number")
def step_number(context):
    context.name = "5e00000000000012"
    submit(context, [{"count": 2, "cpu": 3000}, {"count": 1, "needs": "unheard-of"}], context.name)
    submit(context, [{"cpu": 500}])
    heartbeats_until(context, lambda: len(all_running(context)) == 3)


@then(
    '"pinepitch job show" and "pinepitch explain" name its placements, '
    'and "workers" and "configuration show" what there is'
)
def step_commands(context):
    shown, code = answered(context, commands.Commands, "job", "show", context.name)
    assert code == 0 and answered(context, explain.run, context.name) == (shown, 0), shown
    assert "state: running" in shown and "(workers: 3 lacks unheard-of)" in shown, shown
    for worker in context.workers:
        for task, _ in worker.running:
            named = any(line.split()[:3] == [task, "1", worker.identity] for line in shown.splitlines())
            assert named == task.startswith(context.name), (task, shown)
    shown, code = answered(context, commands.Commands, "job", "show", context.name, "--json")
    assert code == 0 and json.loads(shown)["job"] == context.name
    shown, code = answered(context, commands.Commands, "workers")
    assert code == 0 and [line.split()[0] for line in shown.splitlines()] == ["minion", "w0", "w1", "w2"], (
        shown
    )
    assert "4000/4096/0" in shown and "1000/4096/0" in shown, shown
    shown, code = answered(context, commands.Commands, "configuration", "show")
    assert code == 0 and json.loads(shown) == CONFIGURATION
    assert answered(context, commands.Commands, "evacuations") == ("(none)\n", 0)


@then("a job that never was ends the command with {code:d}")
def step_command_unknown(context, code):
    shown, got = answered(context, commands.Commands, "job", "show", "0000000000000000")
    assert got == code and "unknown_job" in shown, (shown, got)


# --- tenants ----------------------------------------------------------------------------------
LIMITED, NUMERIC = "osu/east", "007"  # names of tenants that a path and a command line must carry unchanged
KEYS = {LIMITED: ["first secret", "second secret"], NUMERIC: ["third secret"]}
CORE = 1000  # thousandths


@given('a simulated fleet with three workers, and tenants "osu/east" with 2 cores and "007" in force')
def step_tenants(context):
    step_workers(context)
    tenants = [
        {"name": LIMITED, "keys": KEYS[LIMITED], "weight": 2, "maximum": {"cpu": 2 * CORE, "gpu": 0}},
        {"name": NUMERIC, "keys": KEYS[NUMERIC]},
    ]
    document = {**CONFIGURATION, "version": 4, "tenants": tenants}
    assert call(context.simulator, "configure", (3, document)) == (200, {"version": 4})


@when('"osu/east" hands in a job of 3 tasks of a core, and the workers heartbeat until 2 of them run')
def step_tenant_job(context):
    document = {"spec": "work", "steps": [{"count": 3, "cpu": CORE}]}
    for key, status in (("first", 401), ("first secret", 200)):
        got = call(context.simulator, "job", (HOST, PREFIX + ID, document, key))
        assert got[0] == status, got
    heartbeats_until(context, lambda: len(all_running(context)) == 2)
    send_heartbeats(context, rounds=3)
    assert len(all_running(context)) == 2


@then("the job tells its tenant, and that it waits for the tenant's maximum of 2000, all of which is used")
def step_at_maximum(context):
    for place in range(context.fronts):
        document = explained(context, front=place)
        assert (document["tenant"], document["beyond_weight"]) == (LIMITED, False), document
        why = "its tenant is at its maximum (cpu 2000 of 2000 used, 1000 more asked for)"
        assert document["waves"][0]["why"] == why, document["waves"]


@then('"pinepitch tenant list" tells both tenants, the first at its maximum with 1 job open and waiting')
def step_tenant_list(context):
    shown, code = answered(context, commands.Commands, "tenant", "list")
    rows = [line.split() for line in shown.splitlines()]
    assert code == 0 and rows == [
        ["tenant", "weight", "maximum", "used", "open", "waiting", "excess", "at_maximum", "keys"],
        [NUMERIC, "0", "-/-/-", "0/0/0", "0", "0", "0", "False", "1"],
        [LIMITED, "2", "2000/-/-", "2000/0/0", "1", "1", "0", "True", "2"],
    ], shown
    context.shown = [shown, answered(context, commands.Commands, "tenant", "list", "--json")[0]]


@then('"pinepitch tenant show" tells a fingerprint of each of its keys, and none of these commands a key')
def step_tenant_show(context):
    for name, keys in KEYS.items():
        shown, code = answered(context, commands.Commands, "tenant", "show", name, "--json")
        digests = sorted(hashlib.sha256(key.encode()).hexdigest()[:8] for key in keys)
        assert code == 0 and json.loads(shown)["tenant"] == name, shown
        assert json.loads(shown)["fingerprints"] == digests, shown
        context.shown += [shown, answered(context, commands.Commands, "tenant", "show", name)[0]]
    for text in (*context.shown, json.dumps(explained(context))):
        assert "secret" not in text, text


@then('"pinepitch configuration show" tells the same fingerprints and no key, the platform the keys')
def step_configuration_without_keys(context):
    shown, code = answered(context, commands.Commands, "configuration", "show")
    listed = {one["name"]: one["keys"] for one in json.loads(shown)["tenants"]}
    digests = {
        name: [hashlib.sha256(key.encode()).hexdigest()[:8] for key in keys] for name, keys in KEYS.items()
    }
    assert code == 0 and listed == digests and "secret" not in shown, shown
    read = call(context.simulator, "configuration", ())[1]
    assert {one["name"]: one["keys"] for one in read["tenants"]} == KEYS, read


@then("a tenant that never was ends the command with {code:d}")
def step_tenant_unknown(context, code):
    shown, got = answered(context, commands.Commands, "tenant", "show", "nobody")
    assert got == code and "unknown_tenant" in shown, (shown, got)


def samples(daemon, now):
    """The metrics of a control daemon: {name: {values of the labels, by their names: value}}."""
    found = {}
    for family in text_string_to_metric_families(metrics_text.text(daemon, now)):
        for sample in family.samples:
            name = sample.name.removeprefix("pinepitch_")
            found.setdefault(name, {})[tuple(sample.labels.values())] = sample.value
    return found


@then("the leader's metrics tell one tenant at its maximum, which uses all its cores")
def step_tenant_metrics(context):
    found = samples(context.simulator.leader().core, context.simulator.now)
    assert found["tenants_at_maximum"] == {(): 1}, found["tenants_at_maximum"]
    assert found["tenant_used"] == {("cpu", LIMITED): 1}, found["tenant_used"]


@given("a control daemon with {count:d} tenants of which each uses one hundredth more than the one before")
def step_many_tenants(context, count):
    step_fleet(context)
    context.daemon = context.simulator.leader().core
    leased_jobs = context.daemon.cluster_state.leased_jobs
    tenants = [
        {"name": f"t{place}", "keys": [f"key {place}"], "maximum": {"cpu": 100}} for place in range(count)
    ]
    leased_jobs.configuration = Configuration({**CONFIGURATION, "tenants": tenants})
    leased_jobs.used_by_tenant = {f"t{place}": (place, 0, 0) for place in range(count)}


@then("its metrics tell those numbered {first:d} to {last:d}")
def step_largest_tenants(context, first, last):
    found = samples(context.daemon, context.simulator.now)["tenant_used"]
    assert found == {("cpu", f"t{place}"): place / 100 for place in range(first, last + 1)}, found
