"""Types of the plain values that cross the edge of this package: they are encoded as they are, in frames, in
the log and in snapshots, so they stay tuples, lists and dicts.
"""

from typing import Any

# An object as JSON has it; its keys are those of the users' pages.
Document = dict[str, Any]
# A value that is stored in a snapshot and of which the same object is made again.
Image = tuple[Any, ...]
# What an operation on the cluster state led to: a word, and what belongs to it.
Outcome = tuple[Any, ...]
# What is wrong with a document from outside: (path in it, message) pairs.
Faults = tuple[tuple[str, str], ...]
# The arguments of a call, in the order of the contract of calls.
Arguments = tuple[Any, ...]
