"""What soaks that are started by hand print."""


def report(first, count, run):
    """Runs soaks by seeds, one after another, and prints a line a seed and what was found; returns 1 when
    anything was. `run` takes a seed and returns an Outcome and more words about the soak.
    """
    found = 0
    for seed in range(first, first + count):
        one, words = run(seed)
        print(
            f"seed {seed}: {len(one.fault_log)} troubles, {one.most_at_once} at once, {words}"
            f"{one.jobs} jobs, {one.starts} starts, {len(one.faults)} faults, "
            f"{len(one.requests_cut)} requests cut",
            flush=True,
        )
        for fault in (*one.faults[:10], *one.requests_cut[:10]):
            print(f"   {fault}", flush=True)
        found += bool(one.faults or one.requests_cut)
    print(f"{found} of {count} soaks found a fault")
    return 1 if found else 0
