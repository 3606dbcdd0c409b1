"""The error with which a replica stops at a committed entry that it can't apply."""

import traceback

ADVICE = (
    "the entry is committed, so it is not skipped; keep the data folder, and start a version on it that can "
    "apply the entry"
)


class EntryNotAppliedError(AssertionError):
    """A committed entry could not be applied; the original error is its cause.

    The state may have changed in part, so it must not be used any more: the process ends, and the next one
    rebuilds its state from the newest image and the log.
    """

    def __init__(self, index: int, operation: str, fault: Exception) -> None:
        super().__init__(f"entry {index}, {operation!r}, could not be applied: {fault!r}; {ADVICE}")
        self.index = index  # in the log
        self.operation = operation  # its name in the log
        self.fault = fault

    def fields(self) -> dict[str, object]:
        """The fields of the event for operators: which entry, what went wrong and where, and what to do."""
        frames = traceback.extract_tb(self.fault.__traceback__)
        where = f"{frames[-1].filename}:{frames[-1].lineno} {frames[-1].name}" if frames else ""
        return {
            "index": self.index,
            "operation": self.operation,
            "fault": repr(self.fault),
            "where": where,
            "advice": ADVICE,
        }
