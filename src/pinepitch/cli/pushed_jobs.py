"""Commands for pushed jobs, whose tasks are pushed to workers by start orders."""

from .front_commands import Document, FrontCommands, Headers, read_file
from .text_tables import table

COLUMNS = ("ticket", "state", "queue", "urgency", "tasks", "key")


class PushedJobCommands(FrontCommands):
    """submit, show, list, cancel."""

    def submit(self, file: str, key: str | None = None) -> None:
        """Submits the pushed job in a JSON file ('-' for standard input)."""
        document = read_file(file)
        headers: Headers = (("Idempotency-Key", str(key)),) if key else ()
        self._send_change("POST", "/v1/tickets", document, headers)

    def show(self, job: str) -> None:
        """Shows a pushed job with the state of each task."""
        self._get(f"/v1/tickets/{job}")

    def list(self, after: int = 0, limit: int = 50, state: str = "", queue: str = "") -> None:
        """Lists pushed jobs by state or queue, one page at a time."""
        self._get(f"/v1/tickets?after={after}&limit={limit}&state={state}&queue={queue}", page_text)

    def cancel(self, job: str) -> None:
        """Cancels a pushed job: no more of its tasks start."""
        self._send_change("POST", f"/v1/tickets/{job}/cancel")


def page_text(document: Document) -> str:
    """A page of pushed jobs as a table."""
    return table(document["tickets"], COLUMNS)
