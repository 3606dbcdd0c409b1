"""A stored data folder whose log holds a committed entry that the version that wrote it can't apply.

That version (5e89c37) ends with a KeyError, again after each restart, once two tasks of a tenant that ask for
nothing have ended. The folder was made by, from the root of a tree of that version:

    PYTHONPATH=src:features/steps python path/to/unapplied_folders.py make FILE
"""

import os
import sys
import tempfile

import stored_folders

KIND = "unapplied"
KEY = "key of acme"
SMALL_JOB, OTHER_JOB, NEXT_JOB = 0, 1, 2  # numbers of jobs, as in stored_folders.job_path
OTHER = stored_folders.job(100, 1)
SMALL = {"spec": "asks for nothing", "steps": [{"count": 2, "est_ms": 100}]}


def configuration(version):
    """A configuration with one tenant, whose key every job needs."""
    document = stored_folders.configuration(1)
    return {**document, "version": version, "tenants": [{"name": "acme", "keys": [KEY]}]}


def submit(cohort, place, document):
    """Submits a job of the tenant."""
    return cohort.told("job", stored_folders.HOST, stored_folders.job_path(place), document, KEY)


def state_of(cohort, place):
    """The state of a job of the tenant, as its caller is told."""
    return cohort.told("job-read", stored_folders.HOST, stored_folders.job_path(place), KEY)["state"]


class Worker(stored_folders.Worker):
    """A worker whose runs of one job end as done, one after another."""

    def finish(self, place):
        """Ends the runs of a job."""
        for reference, run in [one for one in self.running if one[0].startswith(f"{place:016x}.")]:
            self.end_count += 1
            self.ended.append([self.end_count, reference, run, "done", ""])
            self.running.remove((reference, run))


def fill(cohort):
    """A daemon alone with an acknowledged configuration, a job that is completed, and the small job."""
    cohort.found("first")
    cohort.told("configure", 0, configuration(1))
    worker = Worker(cohort, "i-worker")
    submit(cohort, OTHER_JOB, OTHER)
    submit(cohort, SMALL_JOB, SMALL)
    for _ in range(12):
        worker.beat()
        cohort.run(0.2)
    worker.finish(OTHER_JOB)
    worker.beat()
    cohort.run(0.2)
    assert state_of(cohort, OTHER_JOB) == "completed"
    worker.finish(SMALL_JOB)
    try:
        worker.beat()
    except KeyError as fault:
        print(f"ended as expected: KeyError: {fault}")
        return
    raise AssertionError("this version applies the entry")


def make(target):
    """Writes the folder to a file."""
    with tempfile.TemporaryDirectory(prefix="pinepitch-") as folder:
        fill(stored_folders.Cohort(folder, stored_folders.BEGUN))
        stored_folders._pack(folder, os.path.abspath(target))


if __name__ == "__main__":
    if len(sys.argv) != 3 or sys.argv[1] != "make":
        sys.exit(__doc__)
    make(sys.argv[2])
