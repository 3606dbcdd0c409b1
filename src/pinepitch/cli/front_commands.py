"""Shared code of the commands: a call to a front daemon, and its answer as text."""

import json
import os
import sys
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import curio
from fire.decorators import SetParseFn

from ..common import daemon_settings
from ..transport import http, http_client
from . import earlier_names
from .exit_codes import ExitCode, leave, of_status
from .text_tables import flat

Document = dict[str, Any]
Headers = Sequence[tuple[str, str]]
Function = TypeVar("Function", bound=Callable[..., Any])

DEFAULT_FRONT = "127.0.0.1:8080"
ANSWER_WITHIN = 10  # seconds; a call that a leader has to answer may take a whole election


def front_address(address: str | None) -> str:
    """IP:PORT of the front daemon to call: the argument, else the environment variable, else the default."""
    if address:
        return address
    environment = earlier_names.environment("PINEPITCH_FRONT", os.environ)
    return environment or DEFAULT_FRONT


def request(front: str, method: str, target: str, document: Any = None, headers: Headers = ()) -> Any:
    """The http.Response of a front daemon; the process exits with NO_ANSWER if there is none."""

    async def call() -> Any:
        client = http_client.Client(*daemon_settings.split(front))
        try:
            return await curio.ignore_after(ANSWER_WITHIN, client.call(method, target, document, headers))
        finally:
            await client.close()

    answer = curio.run(call)
    if not isinstance(answer, http.Response):
        leave(ExitCode.NO_ANSWER, f"no answer from {front}")
    return answer


def finish(answer: Any, as_json: bool, show: Callable[[Document], str]) -> None:
    """Prints an answer and, unless it is a success, exits with the matching code."""
    code = of_status(answer.status)
    if code is not ExitCode.DONE:
        print(json.dumps(answer.document, indent=2), file=sys.stdout if answer.status < 300 else sys.stderr)
        leave(code)
    print(json.dumps(answer.document, indent=2) if as_json else show(answer.document))


def as_json_text(document: Document) -> str:
    """A document as indented JSON."""
    return json.dumps(document, indent=2)


def text_argument(name: str) -> Callable[[Function], Function]:
    """A decorator that passes an argument to a command as text, even if it looks like a number."""

    def decorate(function: Function) -> Function:
        SetParseFn(str, name)(function)
        return function

    return decorate


class FrontCommands:
    """Commands that call one front daemon: --front IP:PORT or PINEPITCH_FRONT."""

    def __init__(self, front: str | None = None, json: bool = False, operator: str | None = None) -> None:
        self._front = front_address(front)
        self._json = json
        self._operator = operator or os.environ.get("USER", "unnamed")

    def _get(self, target: str, show: Callable[[Document], str] = flat) -> None:
        """Prints the answer to a read call."""
        finish(request(self._front, "GET", target), self._json, show)

    def _send_change(
        self,
        method: str,
        target: str,
        document: Any = None,
        headers: Headers = (),
        show: Callable[[Document], str] = flat,
    ) -> None:
        """Prints the answer to a change; the request carries the operator's name."""
        headers = (("X-Operator", self._operator), *headers)
        finish(request(self._front, method, target, document, headers), self._json, show)


def read_file(file: str) -> Any:
    """The JSON document in a file ('-' for standard input); WRONG_USE if it can't be read."""
    try:
        if file == "-":
            return json.load(sys.stdin)
        with open(file) as opened:
            return json.load(opened)
    except (OSError, ValueError) as fault:
        leave(ExitCode.WRONG_USE, f"{file}: {fault}")
