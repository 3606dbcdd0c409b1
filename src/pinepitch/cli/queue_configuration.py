"""Commands for queue configurations: the versions of the queue table with its weights."""

import difflib
import json

from .front_commands import Document, FrontCommands, as_json_text, finish, read_file, request
from .text_tables import flat, table


class QueueConfigurationCommands(FrontCommands):
    """show, put, patch, history, diff, back. put and patch skip rehearsal: for emergencies."""

    def diff(self, earlier: int, later: int) -> None:
        """Shows the differences between two versions."""
        before, after = self._version_lines(earlier), self._version_lines(later)
        lines = difflib.unified_diff(before, after, f"version {earlier}", f"version {later}", lineterm="")
        print("\n".join(lines))

    def _version_lines(self, version: int) -> list[str]:
        answer = request(self._front, "GET", f"/v1/setup/versions/{version}")
        if answer.status != 200:
            finish(answer, True, flat)
        return json.dumps(answer.document["setup"], indent=2, sort_keys=True).splitlines()

    def show(self, version: int | None = None) -> None:
        """Shows the active queue configuration, or an earlier version."""
        target = "/v1/setup" if version is None else f"/v1/setup/versions/{version}"
        self._get(target, as_json_text)

    def put(self, file: str, base: int, why: str = "") -> None:
        """Activates the complete queue configuration in a JSON file, based on version `base`."""
        self._change("PUT", file, base, why)

    def patch(self, file: str, base: int, why: str = "") -> None:
        """Merges a JSON file into the queue configuration, based on version `base`."""
        self._change("PATCH", file, base, why)

    def _change(self, method: str, file: str, base: int, why: str) -> None:
        self._send_change(method, "/v1/setup", read_file(file), _change_headers(base, why))

    def history(self) -> None:
        """Lists the versions of the queue configuration, with operator and reason."""
        self._get("/v1/setup/versions", _history_text)

    def back(self, version: int, base: int, why: str = "") -> None:
        """Creates a new version from an old one."""
        self._send_change("POST", "/v1/setup/back", {"version": version}, _change_headers(base, why))


def _change_headers(base: int, why: str) -> tuple[tuple[str, str], ...]:
    """The headers with the version that a change is based on and its reason."""
    return ("If-Match", str(base)), ("X-Reason", why)


def _history_text(document: Document) -> str:
    return table(document["setups"])
