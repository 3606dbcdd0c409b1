"""Steps for the command line: its overview and its exit codes."""

import contextlib
import inspect
import io
import socket
from unittest import mock

from behave import then, when

from pinepitch.client import commands, overview, program

GROUPS = (
    commands.Area,
    commands.Configuration,
    commands.Job,
    commands.Minion,
    commands.Setup,
    commands.Table,
    commands.Ticket,
)


def run(*arguments):
    """(exit code, what was printed to either stream) of one command."""
    told = io.StringIO()
    code = 0
    with (
        mock.patch("sys.argv", ["pinepitch", *arguments]),
        contextlib.redirect_stdout(told),
        contextlib.redirect_stderr(told),
    ):
        try:
            program.main()
        except SystemExit as ended:
            code = ended.code
    return code, told.getvalue()


@when("an operator asks the command line for help")
def step_help(context):
    context.told = {}
    for arguments in ((), ("--help",), ("-h",), ("help",)):
        code, context.told[arguments] = run(*arguments)
        assert code == 0, code


@then("every command of every group stands in a line of its own with what it does")
def step_listed(context):
    wanted = {name for name in vars(commands.Commands) if not name.startswith("_")}
    for group in GROUPS:
        acts = [name for name, _ in inspect.getmembers(group, inspect.isfunction) if not name.startswith("_")]
        wanted |= {f"{group.__name__.lower()} {act}" for act in acts}
    assert len(set(context.told.values())) == 1
    lines = context.told[()].splitlines()
    for name in wanted:
        found = [line for line in lines if line.startswith(f"  {name} ")]
        assert len(found) == 1, (name, found)
        assert len(found[0].removeprefix(f"  {name} ").strip()) > 10, found


@then("each exit code is explained")
def step_codes(context):
    codes = {value for name, value in vars(commands).items() if name.startswith("EXIT_")} | {0}
    assert codes == {code for code, _ in overview.EXIT_CODES}
    for code, meaning in overview.EXIT_CODES:
        assert f"  {code}  {meaning}" in context.told[()]


@when("an operator lists tickets of a daemon that is not there")
def step_nobody(context):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))  # bound but not listening: refused at once
        context.ended, _ = run("ticket", f"--verge=127.0.0.1:{taken.getsockname()[1]}", "list")


@then("the command ends with the exit code for no answer")
def step_no_answer(context):
    assert context.ended == commands.EXIT_UNREACHED, context.ended
