"""Constants of the simulated fleet that runs leased jobs, and the tolerances of its checks."""

HOST = "jobs.example"
HEARTBEAT_PATIENCE = 0.8  # seconds; a daemon tries for this long to get an answer to a heartbeat
READ_EVERY = 0.7  # seconds; mean time between two reads of a job
CAPACITY = (4000, 8192, 1)  # of one worker: millicores, megabytes, accelerators
TENANTS = 8  # workers; half of them enforce their capacity themselves
ATTEMPTS = 3  # failed runs of a task after which its job fails
MAX_EARLY_START = 0.1  # seconds; tolerance for the start of a timed task before it is due
IN_FLIGHT = 1.1  # seconds; an answer sent before a change may start a run for this long after the change
LEASE_LONGEST = 5.0 / 0.98 + 0.1  # seconds; the longest lease by the slowest clock, plus a tick
SERVED_WITHIN = 8.0  # seconds; until jobs are accepted again while a majority of control daemons runs
ENDS_WITHIN = 90.0  # seconds; until every job has ended after the last fault
RUSHES = 5  # times during a scenario that the operators send as many orders at once as may be pending
CONTROL_RUSHES = 1  # the same during a scenario of the control daemons, in addition to other orders
ORDERS_END_WITHIN = 40.0  # seconds; until every order is answered or abandoned
FAILED_ENDS_WITHIN = 5.0  # seconds; the same with an injected fault, or after a fault was found
FINAL = ("completed", "failed", "cancelled")
PROCESSES = 2  # that run trials in parallel
THREE, FIVE = ("a", "b", "c"), ("a", "a", "b", "c", "c")  # zones of a fleet's control daemons
