"""Constants of the simulated fleet that runs jobs, and what its checks allow for."""

HOST = "jobs.example"
HEARTBEAT_PATIENCE = 0.8  # seconds; a daemon seeks an answer to a heartbeat this long
READ_EVERY = 0.7  # seconds; between two looks at a job
CAPACITY = (4000, 8192, 1)  # of one tenant: thousandths of a core, megabytes, accelerators
TENANTS = 8  # half of them guard their capacity
ATTEMPTS = 3  # runs of a task that may fail
EARLY = 0.1  # seconds; a timed task may start so much before it is due
IN_FLIGHT = 1.1  # seconds; an answer sent before a change may start something this long after it
LEASE_LONGEST = 5.0 / 0.98 + 0.1  # seconds; the longest hold on the slowest clock, and a tick
SERVED_WITHIN = 8.0  # seconds; until jobs are taken again while most control daemons run
ENDS_WITHIN = 90.0  # seconds; until every job has ended once faults stop
RUSHES = 5  # times; that the operators give as many orders as may be under way, during a scenario
CONTROL_RUSHES = 1  # times; the same during one of the control daemons, beside other orders
ORDERS_END_WITHIN = 40.0  # seconds; until every order is answered or given up
FAILED_ENDS_WITHIN = 5.0  # seconds; the same where a fault was found already, or is injected
FINAL = ("completed", "failed", "cancelled")
PROCESSES = 2  # that run trials side by side
THREE, FIVE = ("a", "b", "c"), ("a", "a", "b", "c", "c")  # zones of a fleet's control daemons
