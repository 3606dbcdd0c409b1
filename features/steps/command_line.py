"""Steps for the command line: its overview, its exit codes, earlier names and the timeline."""

import contextlib
import inspect
import io
import json
import os
import socket
import subprocess
import sys
import tempfile
from typing import NamedTuple
from unittest import mock

from behave import given, then, when

from pinepitch.cli import (
    commands,
    earlier_names,
    earlier_programs,
    exit_codes,
    front_commands,
    leased_jobs,
    program,
    pushed_jobs,
    queue_configuration,
    queue_table,
    tenants,
    workers,
)
from pinepitch.transport.http import Response

GROUPS = {
    "configuration": leased_jobs.RouteConfigurationCommands,
    "job": leased_jobs.LeasedJobCommands,
    "pushed_job": pushed_jobs.PushedJobCommands,
    "queue_configuration": queue_configuration.QueueConfigurationCommands,
    "queue_table": queue_table.QueueTableCommands,
    "tenant": tenants.TenantCommands,
    "worker": workers.WorkerCommands,
    "zone": workers.ZoneCommands,
}


class Ended(NamedTuple):
    """How a command ended and what it printed."""

    code: int
    output: str
    errors: str


def run(*arguments, main=program.main):
    """Runs one command in this process."""
    output, errors = io.StringIO(), io.StringIO()
    code = 0
    with (
        mock.patch("sys.argv", ["pinepitch", *arguments]),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        try:
            main()
        except SystemExit as ended:
            code = ended.code
    return Ended(code, output.getvalue(), errors.getvalue())


@when("an operator asks the command line for help")
def step_help(context):
    context.report = {}
    for arguments in ((), ("--help",), ("-h",), ("help",)):
        ended = run(*arguments)
        assert ended.code == 0 and not ended.errors, ended
        context.report[arguments] = ended.output


@then("every command of every group stands in a line of its own with what it does")
def step_listed(context):
    wanted = {name for name in vars(commands.Commands) if not name.startswith("_")} | set(program.PROGRAMS)
    for name, group in GROUPS.items():
        acts = [act for act, _ in inspect.getmembers(group, inspect.isfunction) if not act.startswith("_")]
        wanted |= {f"{name} {act}" for act in acts}
    assert vars(commands.Commands()) == GROUPS
    assert len(set(context.report.values())) == 1
    lines = context.report[()].splitlines()
    for name in (one.replace("_", "-") for one in wanted):
        found = [line for line in lines if line.startswith(f"  {name} ")]
        assert len(found) == 1, (name, found)
        assert len(found[0].removeprefix(f"  {name} ").strip()) > 10, found


@then("each exit code is explained")
def step_codes(context):
    assert set(exit_codes.ExitCode) == set(exit_codes.MEANINGS) and {0, 1, 2, 3, 4} == set(
        exit_codes.ExitCode
    )
    for code, meaning in exit_codes.MEANINGS.items():
        assert f"  {int(code)}  {meaning}" in context.report[()]


# --- earlier names -----------------------------------------------------------------------
ACCORD_FLAGS = ("--area=z", "--founders=1", "--address=127.0.0.1:1", "--seeds=127.0.0.1:1", "--data=unused")
CONTROL_FLAGS = ("--zone=z", "--bootstrap-size=1", *ACCORD_FLAGS[2:])
EARLIER_FLAGS = {
    "accord": ACCORD_FLAGS,
    "verge": ("--area=z", "--address=127.0.0.1:1", "--seeds=127.0.0.1:1", "--http=127.0.0.1:1"),
    "whence": ("t1", "--verge=127.0.0.1:1"),
}
PRESENT_FLAGS = {
    "control": CONTROL_FLAGS,
    "front": ("--zone=z", *EARLIER_FLAGS["verge"][1:]),
    "explain": ("t1", "--front=127.0.0.1:1"),
}


@then("each earlier name stands below the commands with what replaces it")
def step_earlier_listed(context):
    above, _, below = context.report[()].partition("Earlier names")
    assert below and {"accord", "verge", "whence"} == set(earlier_names.PROGRAMS)
    for names in (earlier_names.PROGRAMS, earlier_names.COMMANDS):
        for earlier, now in names.items():
            assert f"{earlier}: {now}" in below, (earlier, below)
            assert not any(line.startswith(f"  {earlier} ") for line in above.splitlines()), earlier
    for earlier, now in earlier_names.FLAGS.items():
        assert f"--{earlier}: --{now}" in below and f"--{earlier}" not in above, earlier


def told(errors):
    """The one line on standard error that mentions earlier names."""
    lines = [line for line in errors.splitlines() if "earlier names" in line]
    assert len(lines) == 1, errors
    return lines[0]


def untold(errors):
    """Standard error without the lines about earlier names."""
    return [line for line in errors.splitlines() if "earlier names" not in line]


@when("the program {name} is started with its earlier flags")
def step_earlier_program(context, name):
    context.ended = run(*EARLIER_FLAGS[name], main=getattr(earlier_programs, name))


@then('it ends as "pinepitch {command}" with the present flags does')
def step_as_command(context, command):
    present = run(command, *PRESENT_FLAGS[command])
    assert present.code == context.ended.code != 0 and present.output == context.ended.output, present
    assert "earlier" not in present.errors, present.errors
    assert untold(context.ended.errors) == present.errors.splitlines() != [], context.ended.errors
    # the flags arrived: nothing but the seeds, or the front daemon that is not there, is at fault
    assert len(present.errors.splitlines()) == 1, present.errors


@then('one line on standard error says that {name} is now "{now}"')
@then("the same line says that {name} is now {now}")
@then("standard error says that {name} is now {now}")
def step_told(context, name, now):
    assert f"{name} is now {now}" in told(context.ended.errors).split(": ", 2)[2].split(", "), context.ended


@given("a front daemon that tells what it was asked")
def step_listening(context):
    context.asked = []

    def request(front, method, target, document=None, headers=()):
        context.asked.append((front, method, target, document, tuple(headers)))
        return Response(200, {"answered": 1, "setups": [], "holds": []})

    patch = mock.patch.object(front_commands, "request", request)
    patch.start()
    context.add_cleanup(patch.stop)
    context.ended_all = []


@when('an operator runs "{words}" against it')
def step_against(context, words):
    context.ended_all.append(run(*words.split()))


@then("it was asked the same both times and answered with 0")
def step_same(context):
    assert [ended.code for ended in context.ended_all] == [0, 0], context.ended_all
    first, second = context.asked
    assert first == second, context.asked
    assert context.ended_all[0].output == context.ended_all[1].output != "", context.ended_all


@then("only the first said, in one line on standard error, that {name} is now {now}")
def step_only_first(context, name, now):
    first, second = context.ended_all
    expected = f"earlier names, to be dropped in the next version: {name} is now {now}"
    assert first.errors == f"pinepitch: {expected}\n", first
    assert second.errors == "", second


@when("an operator names it by --verge")
def step_by_flag(context):
    context.ended = run("cluster", "--verge=127.0.0.9:8")


@when("an operator names it by the variable PINEPITCH_VERGE")
def step_by_variable(context):
    with mock.patch.dict(os.environ, {"PINEPITCH_VERGE": "127.0.0.9:8"}):
        os.environ.pop("PINEPITCH_FRONT", None)
        context.ended = run("cluster")


@then("the answer comes and standard error says that {name} is now {now}")
def step_answer_told(context, name, now):
    assert context.ended.code == 0 and "answered: 1" in context.ended.output, context.ended
    assert context.asked[-1][0] == "127.0.0.9:8", context.asked
    assert told(context.ended.errors).endswith(f": {name} is now {now}"), context.ended.errors


@when('an operator runs the simulation "{words}"')
def step_simulation(context, words):
    arguments = words.split()
    name = earlier_names.COMMANDS.get(arguments[0], arguments[0]).replace("-", "_")
    replaced = mock.create_autospec(getattr(commands.Commands, name), return_value=None)
    with mock.patch.object(commands.Commands, name, replaced):
        context.ended = run(*arguments)
    (context.call,) = replaced.call_args_list


@then('it is run with {argument} "{value}"')
def step_run_with(context, argument, value):
    assert context.call.kwargs == {argument: value} or value in context.call.args, context.call


@when('"pinepitch {daemon}" is started with settings that are not there')
def step_daemon_lazily(context, daemon):
    context.ended = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys\n"
            "from pinepitch.cli.program import main\n"
            "try:\n    main()\n"
            "finally:\n    print(*sorted(sys.modules))",
            daemon,
            "--settings=/nowhere/settings.toml",
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )


@then("it ends with 2, and neither {other} nor the operators' commands were loaded")
def step_not_loaded(context, other):
    assert context.ended.returncode == 2 and "/nowhere/settings.toml" in context.ended.stderr, context.ended
    loaded = {name for name in context.ended.stdout.split() if name.startswith("pinepitch")}
    assert "pinepitch.cli.program" in loaded, loaded
    assert not any(name == other or name.startswith(f"{other}.") for name in loaded), loaded
    assert not any(name.startswith("pinepitch.simulation") for name in loaded), loaded
    of_cli = {name for name in loaded if name.startswith("pinepitch.cli.")}
    assert of_cli == {"pinepitch.cli.program", "pinepitch.cli.earlier_names"}, of_cli


@when("an operator lists jobs of a daemon that is not there")
def step_nobody(context):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))  # bound but not listening: refused at once
        context.ended = run("pushed-job", f"--front=127.0.0.1:{taken.getsockname()[1]}", "list")


@then("the command ends with the exit code for no answer")
def step_no_answer(context):
    assert context.ended.code == 3 == exit_codes.ExitCode.NO_ANSWER, context.ended


# --- the timeline of jobs ----------------------------------------------------------------
JOB = "5c0e7a21d94b36f8"
RUN = {"task": f"{JOB}.0.0.0", "run": 1}


def timeline(lines):
    """What the command prints about a log of these lines."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "log")
        with open(path, "w") as file:
            file.writelines(f"{line}\n" for line in lines)
        ended = run("timeline", path)
    assert ended.code == 0, ended
    return ended.output


@given("the log of a job that waited 2 seconds for capacity and whose run was stopped as stalled")
def step_log(context):
    output = (
        (10.0, 186, {"job": JOB, "queue": "work"}),
        (10.1, 187, {"job": JOB}),
        (12.1, 188, {**RUN, "minion": "one"}),
        (12.2, 189, {**RUN, "minion": "one"}),
        (15.0, 183, {**RUN, "minion": "one", "why": "stalled"}),
        (15.5, 155, {"task": RUN["task"], "attempt": 1, "how": "stopped", "result": "again"}),
    )
    context.lines = ["what is no event", "  -3.0 core-1 {broken"]
    for second, number, fields in output:
        stamp = f"2026-01-01T00:00:{second:09.6f}Z"
        context.lines.append(
            f"{second} core-1 " + json.dumps({"number": number, **fields, "timestamp": stamp})
        )


@when("the timeline of that log is asked for")
def step_timeline(context):
    context.report = timeline(context.lines)


@then("it tells 2.000 seconds until placed, and 1 run stopped as stalled that ended stopped")
def step_timeline_notified(context):
    lines = [line.split() for line in context.report.splitlines()]
    by_queue = next(line for line in lines if line[:1] == ["work"])
    assert by_queue[:8] == ["work", "1", "0.100", "/", "0.100", "2.000", "/", "2.000"], by_queue
    assert ["stalled", "stopped", "1"] in lines, context.report


@when("the timeline of a log without jobs is asked for")
def step_timeline_empty(context):
    context.report = timeline(["nothing"])


@then("it says that no job's handing in is told")
def step_timeline_none(context):
    assert "no job's handing in is told" in context.report, context.report
