"""Steps for Stored data: folders of an older version, opened by this one."""

import json
import os
import tempfile

import stored_folders
import unapplied_folders
from behave import given, then, when

FIRST = "first"  # the daemon whose folder is changed


def path_of(context, kind, newest=True):
    """The newest or oldest file of a kind in the first daemon's folder."""
    folder = os.path.join(context.folder, FIRST)
    names = sorted(name for name in os.listdir(folder) if name.startswith(kind))
    return os.path.join(folder, names[-1 if newest else 0])


@given("a copy of the {kind} stored data folders")
def step_copy(context, kind):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    stored_folders.unpacked_copy(kind, folder.name)
    with open(os.path.join(stored_folders.STORED, stored_folders.EXPECTED), encoding="utf-8") as file:
        context.expected = json.load(file)[kind]


@when("the daemons open them")
def step_open(context):
    context.shown = stored_folders.shown_by(context.folder)


@then("each shows the expected term, votes, members, log and record")
def step_shows(context):
    assert context.shown.keys() == context.expected["daemons"].keys(), context.shown.keys()
    for name, expected in context.expected["daemons"].items():
        assert_same(context.shown[name], expected, name)


@then("the restarted daemons answer reading calls as expected")
def step_answers(context):
    answers = stored_folders.answers_of(stored_folders.restarted(context.folder))
    assert_same(answers, context.expected["answers"], "the leader")


def assert_same(found, expected, who):
    """Every expected value is there, and nothing else."""
    assert found.keys() == expected.keys(), (who, found.keys() ^ expected.keys())
    for what, value in expected.items():
        assert found[what] == value, f"{who} shows another {what}: {found[what]!r} is not {value!r}"


@when("the restarted daemons take a job, a job and a configuration")
def step_go_on(context):
    cohort = stored_folders.restarted(context.folder)
    context.tickets = stored_folders.listed(cohort)
    context.version = cohort.told("configuration")["version"] + 1
    document = stored_folders.ticket_document(2)
    context.ticket = cohort.told("submit", "a new key", "a new digest", document)["ticket"]
    assert context.ticket == f"t{len(context.tickets) + 1}", context.ticket
    cohort.told("job", stored_folders.HOST, stored_folders.job_path(99), stored_folders.job(5000, 1))
    cohort.told("configure", context.version - 1, stored_folders.configuration(context.version))
    cohort.run(1.0)  # lets the other daemons hear what is committed
    context.stopped = cohort.now
    context.opened = stored_folders.shown_by(context.folder)


@when("the daemons are restarted once more")
def step_restart(context):
    context.cohort = stored_folders.restarted(context.folder, context.stopped + 100.0)


@then("the job, the job and the configuration are there, and all that was there before")
def step_both(context):
    tickets = stored_folders.listed(context.cohort)
    assert tickets[:-1] == context.tickets
    assert (tickets[-1]["ticket"], tickets[-1]["key"]) == (context.ticket, "a new key"), tickets[-1]
    again = context.cohort.told("submit", "a new key", "a new digest", stored_folders.ticket_document(2))
    assert again["ticket"] == context.ticket, again
    for place, (status, told) in enumerate(context.expected["answers"]["jobs"]):
        if status == 200:
            path = stored_folders.job_path(place)
            assert context.cohort.ask("job-read", stored_folders.HOST, path) == (status, told), place
    new = context.cohort.told("job-read", stored_folders.HOST, stored_folders.job_path(99))
    assert new == {"state": "queued"}, new
    assert context.cohort.told("configuration") == stored_folders.configuration(context.version)
    for name, expected in context.expected["daemons"].items():
        opened = context.opened[name]
        assert opened["identity"] == expected["identity"] and opened["cohort"] == expected["cohort"]
        assert opened["members"] == expected["members"] and opened["term"] > expected["term"], opened
        assert opened["log"][1] > expected["log"][1], opened
    records = {one["digest of the record with the log"] for one in context.opened.values()}
    assert len(records) == 1, records


FILES = {
    "the newest snapshot": ("base", True),
    "the oldest segment": ("segment", False),
    "the newest segment": ("segment", True),
    "the oldest step": ("step", False),
    "the newest step": ("step", True),
}


@when("a byte of {file} is flipped")
def step_flip(context, file):
    path = path_of(context, *FILES[file])
    if file.endswith("segment"):
        context.held = stored_folders.segment_digest(path)
    with open(path, "r+b") as stored:
        place = os.path.getsize(path) // 2
        stored.seek(place)
        byte = stored.read(1)[0]
        stored.seek(place)
        stored.write(bytes([byte ^ 1]))
    context.flipped = os.path.basename(path)


@then("the segment holds again what it held")
def step_mended(context):
    path = os.path.join(context.folder, FIRST, context.flipped)
    assert stored_folders.segment_digest(path) == context.held


@then("the daemon says that its folder is damaged and shows nothing of it")
def step_refused(context):
    daemon = stored_folders.Daemon(FIRST, os.path.join(context.folder, FIRST), stored_folders.RESTARTED)
    assert daemon.damage and context.flipped in daemon.damage, daemon.damage
    assert not daemon.knows_cohort()


@when("the folder lacks its newest step")
def step_lacks(context):
    os.unlink(path_of(context, "step"))


@when("the folder holds another old job")
def step_other_ticket(context):
    stored_folders.rewritten(path_of(context, "base"), b"key-100", b"key-xyz")


@when("the folder holds another vote")
def step_other_vote(context):
    stored_folders.voted(os.path.join(context.folder, FIRST), term=7, candidate="somebody-else")


@then("it shows otherwise than expected, in {what}")
def step_otherwise(context, what):
    shown = stored_folders.shown_by(context.folder)[FIRST]
    assert shown[what] != context.expected["daemons"][FIRST][what], shown[what]


# --- a committed entry that an earlier version could not apply -------------------------
@given("a copy of the folder of a daemon that could not apply a committed entry")
def step_copy_unapplied(context):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    stored_folders.unpacked_copy(unapplied_folders.KIND, folder.name)


@when("this version's daemon starts on it")
def step_start_unapplied(context):
    context.cohort = stored_folders.restarted(context.folder)


@then("the jobs and the configuration that were acknowledged are there, and the entry is applied")
def step_taken_up(context):
    states = [
        unapplied_folders.state_of(context.cohort, place)
        for place in (unapplied_folders.OTHER_JOB, unapplied_folders.SMALL_JOB)
    ]
    assert states == ["completed", "completed"], states
    assert context.cohort.told("configuration") == unapplied_folders.configuration(1)


@then("the tenant of the entry has another such job completed, also after one more restart")
def step_goes_on(context):
    cohort = context.cohort
    unapplied_folders.submit(cohort, unapplied_folders.NEXT_JOB, unapplied_folders.SMALL)
    worker = unapplied_folders.Worker(cohort, "i-next")
    for _ in range(12):
        worker.beat("done")
        cohort.run(0.2)
    assert unapplied_folders.state_of(cohort, unapplied_folders.NEXT_JOB) == "completed"
    cohort.restart()
    assert unapplied_folders.state_of(cohort, unapplied_folders.NEXT_JOB) == "completed"
