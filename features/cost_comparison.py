"""Compares what single acts of a leader cost in two source trees.

    python -m features.cost_comparison BEFORE_TREE AFTER_TREE --runs 5
        [--before-module pinepitch.simulation.scale.costs] [--after-module ...]

A tree is a checkout, with the program under its src. Each run measures one tree and then the
other, every second one the other way round, each in a process of its own that imports the
tree's own measuring module. Of that module these are used: herd_of(workers, running), what it
returns (the leader's hand_in and core.step, the workers' round and running).

Told for each act is the ratio after / before: of the least and of the median time, which depend
on how busy the machine is, and of counts that do not: calls of functions, bytecode instructions,
and the most bytes that were allocated at once. No check of this project may depend on a time.
"""

import argparse
import gc
import importlib
import json
import os
import statistics
import subprocess
import sys
import time
import tracemalloc

MODULE = "pinepitch.simulation.scale.costs"
ACTS = ("heartbeat", "start", "append", "commit")
COUNTS = ("calls", "instructions", "bytes")
WORKERS, RUNNING = 40, 120  # of the leader that is measured
REPEATS = 30  # of each act that is timed in one process
ROUNDS_MOST = 200  # of heartbeats, until a job has started


class Timed:
    """Measures the seconds of what happens inside."""

    def __enter__(self):
        self.begun = time.perf_counter()
        return self

    def __exit__(self, *_):
        self.found = time.perf_counter() - self.begun


class Counted:
    """Counts the calls of functions inside, written in Python or not."""

    def __enter__(self):
        self.found = 0
        sys.setprofile(self._seen)
        return self

    def _seen(self, frame, event, argument):
        self.found += event in ("call", "c_call")

    def __exit__(self, *_):
        sys.setprofile(None)


class Instructions:
    """Counts the bytecode instructions inside."""

    def __enter__(self):
        self.found = 0
        sys.settrace(self._entered)
        return self

    def _entered(self, frame, event, argument):
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return self._seen

    def _seen(self, frame, event, argument):
        self.found += event == "opcode"
        return self._seen

    def __exit__(self, *_):
        sys.settrace(None)


class Allocated:
    """The most bytes inside that were allocated at once beyond those held before."""

    def __enter__(self):
        tracemalloc.start()
        self.before = tracemalloc.get_traced_memory()[0]
        return self

    def __exit__(self, *_):
        self.found = tracemalloc.get_traced_memory()[1] - self.before
        tracemalloc.stop()


METERS = {"seconds": Timed, "calls": Counted, "instructions": Instructions, "bytes": Allocated}


class Bench:
    """A leader with workers, of one tree. Invariant: the same acts in the same order meet the
    same state, whichever meter is used."""

    def __init__(self, module):
        self.leader, self.herd = module.herd_of(WORKERS, RUNNING)

    def heartbeat(self, meter):
        """One heartbeat of every worker; what one of them took."""
        with meter() as measured:
            self.herd.round()
        return measured.found / WORKERS

    def start(self, meter):
        """From a job that is handed in until its worker heard of it; counts rounds of heartbeats."""
        before = self._running()
        with meter() as measured:
            self.leader.hand_in(1)
            for _ in range(ROUNDS_MOST):
                if self._running() > before:
                    break
                self.herd.round()
        assert self._running() > before, "the job did not start"
        return measured.found

    def append_and_commit(self, meter):
        """(an append, a commit) of one entry: the step that takes a job up to its save, and those that
        follow once it is saved."""
        step, parts = self.leader.core.step, []

        def measured_step(*arguments):
            with meter() as measured:
                effects = step(*arguments)
            parts.append(measured.found)
            return effects

        self.leader.core.step = measured_step
        try:
            self.leader.hand_in(1, cpu=9000)  # more than any worker has: nothing else follows from it
        finally:
            self.leader.core.step = step
        assert len(parts) >= 2, "nothing was saved"
        return parts[0], sum(parts[1:])

    def _running(self):
        return sum(map(len, self.herd.running.values()))


def measured_acts(bench, meter, repeats):
    """{act: what each repeat took}"""
    found = {act: [] for act in ACTS}
    for _ in range(repeats):
        gc.collect()
        found["heartbeat"].append(bench.heartbeat(meter))
        gc.collect()
        found["start"].append(bench.start(meter))
        gc.collect()
        append, commit = bench.append_and_commit(meter)
        found["append"].append(append)
        found["commit"].append(commit)
    return found


def measure(module_name):
    """Prints what the acts cost in the tree that this process imports: seconds of each repeat, and
    each count of the last of three repeats, when caches are filled."""
    module = importlib.import_module(module_name)
    gc.disable()
    told = {"file": module.__file__, "seconds": measured_acts(Bench(module), Timed, REPEATS)}
    for name in COUNTS:
        counted = measured_acts(Bench(module), METERS[name], 3)
        told[name] = {act: found[-1] for act, found in counted.items()}
    print(json.dumps(told))


def measured_tree(tree, module):
    """What a process of its own measured in a tree."""
    source = os.path.join(os.path.abspath(tree), "src")
    ended = subprocess.run(
        [sys.executable, os.path.abspath(__file__), "--measure", module],
        env={**os.environ, "PYTHONPATH": source, "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
    )
    if ended.returncode:
        sys.exit(f"{tree}: {ended.stderr}")
    told = json.loads(ended.stdout.splitlines()[-1])
    if not os.path.realpath(told["file"]).startswith(os.path.realpath(source) + os.sep):
        sys.exit(f"{tree}: measured {told['file']}, which is not of this tree")
    return told


def compared(before, after):
    """{act: {what: (before, after, ratio)}} of the processes that measured either tree."""
    found = {}
    for act in ACTS:
        told = found[act] = {}
        for name, reduce in (("least time", min), ("median time", statistics.median)):
            sides = [reduce([one for run in runs for one in run["seconds"][act]]) for runs in (before, after)]
            told[name] = (*sides, sides[1] / sides[0])
        for name in COUNTS:
            sides = [statistics.median(run[name][act] for run in runs) for runs in (before, after)]
            told[name] = (*sides, sides[1] / sides[0])
    return found


def compare(before_tree, after_tree, runs, before_module=MODULE, after_module=MODULE):
    """Measures both trees in alternation and prints a table."""
    sides = {"before": (before_tree, before_module), "after": (after_tree, after_module)}
    found = {"before": [], "after": []}
    for run in range(runs):
        for side in ("before", "after") if run % 2 == 0 else ("after", "before"):
            found[side].append(measured_tree(*sides[side]))
    ratios = compared(found["before"], found["after"])
    print(f"{'act':10} {'what':13} {'before':>12} {'after':>12} {'after/before':>13}")
    for act, told in ratios.items():
        for what, (before, after, ratio) in told.items():
            if what.endswith("time"):
                before, after = f"{before * 1e6:.1f} us", f"{after * 1e6:.1f} us"
            else:
                before, after = f"{before:.1f}", f"{after:.1f}"
            print(f"{act:10} {what:13} {before:>12} {after:>12} {ratio:13.3f}")
    for name in COUNTS:
        for side, told in found.items():
            if any(one[name] != told[0][name] for one in told):
                print(f"{name} differ between the runs of {side}: the median is shown")
    return ratios


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("before_tree")
    parser.add_argument("after_tree")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--before-module", default=MODULE)
    parser.add_argument("--after-module", default=MODULE)
    given = parser.parse_args()
    compare(given.before_tree, given.after_tree, given.runs, given.before_module, given.after_module)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--measure"]:
        measure(sys.argv[2])
    else:
        main()
