"""Types of the plain values that this package exchanges with others. They are encoded without conversion in
frames, in the log and in snapshots, so they consist of tuples, lists and dicts.
"""

from typing import Any

# A JSON object, with the keys that the users' pages describe.
Document = dict[str, Any]
# The state of an object as it is stored in a snapshot; the object can be rebuilt from it.
Image = tuple[Any, ...]
# The outcome of an operation on the cluster state: its kind, followed by the values that belong to this kind.
Outcome = tuple[Any, ...]
# The faults of a received document, as (path in the document, message).
Faults = tuple[tuple[str, str], ...]
# The arguments of a call, in the order in which the caller sends them.
Arguments = tuple[Any, ...]
