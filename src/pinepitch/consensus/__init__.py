"""FlexiRaft: a replicated log with flexible quorums, free of I/O; it knows nothing of jobs."""
