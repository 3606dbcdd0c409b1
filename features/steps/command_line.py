"""Steps for the command line: its overview and its exit codes."""

import contextlib
import inspect
import io
import json
import os
import socket
import tempfile
from unittest import mock

from behave import given, then, when

from pinepitch.cli import commands, front_commands, jobs, overview, program, queue_configuration

GROUPS = {
    "area": commands.ZoneCommands,
    "configuration": jobs.Configuration,
    "job": jobs.Job,
    "minion": commands.WorkerCommands,
    "setup": queue_configuration.QueueConfigurationCommands,
    "table": queue_configuration.QueueTableCommands,
    "ticket": commands.PushedJobCommands,
}


def run(*arguments):
    """(exit code, what was printed to either stream) of one command."""
    output = io.StringIO()
    code = 0
    with (
        mock.patch("sys.argv", ["pinepitch", *arguments]),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        try:
            program.main()
        except SystemExit as ended:
            code = ended.code
    return code, output.getvalue()


@when("an operator asks the command line for help")
def step_help(context):
    context.report = {}
    for arguments in ((), ("--help",), ("-h",), ("help",)):
        code, context.report[arguments] = run(*arguments)
        assert code == 0, code


@then("every command of every group stands in a line of its own with what it does")
def step_listed(context):
    wanted = {name for name in vars(commands.Commands) if not name.startswith("_")}
    for name, group in GROUPS.items():
        acts = [act for act, _ in inspect.getmembers(group, inspect.isfunction) if not act.startswith("_")]
        wanted |= {f"{name} {act}" for act in acts}
    assert vars(commands.Commands()) == GROUPS
    assert len(set(context.report.values())) == 1
    lines = context.report[()].splitlines()
    for name in wanted:
        found = [line for line in lines if line.startswith(f"  {name} ")]
        assert len(found) == 1, (name, found)
        assert len(found[0].removeprefix(f"  {name} ").strip()) > 10, found


@then("each exit code is explained")
def step_codes(context):
    codes = {value for name, value in vars(front_commands).items() if name.startswith("EXIT_")} | {0}
    assert codes == {code for code, _ in overview.EXIT_CODES}
    for code, meaning in overview.EXIT_CODES:
        assert f"  {code}  {meaning}" in context.report[()]


@when("an operator lists jobs of a daemon that is not there")
def step_nobody(context):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))  # bound but not listening: refused at once
        context.ended, _ = run("ticket", f"--verge=127.0.0.1:{taken.getsockname()[1]}", "list")


@then("the command ends with the exit code for no answer")
def step_no_answer(context):
    assert context.ended == front_commands.EXIT_UNREACHED, context.ended


# --- the timeline of jobs ----------------------------------------------------------------
JOB = "5c0e7a21d94b36f8"
RUN = {"task": f"{JOB}.0.0.0", "run": 1}


def timeline(lines):
    """What the command prints about a log of these lines."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "log")
        with open(path, "w") as file:
            file.writelines(f"{line}\n" for line in lines)
        code, output = run("timeline", path)
    assert code == 0, output
    return output


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
