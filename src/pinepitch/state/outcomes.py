"""The outcome of an operation, which is returned to its proposer.

An outcome is a tuple; its first element says how the operation went and determines the other elements.
The outcomes of changes are stored in the image, by token, so the form of outcomes is part of the stored
format.
"""

from typing import Any

Outcome = tuple[Any, ...]

OK: Outcome = ("ok",)
MISSING: Outcome = ("missing",)
STALE_EPOCH: Outcome = ("refused", "epoch")  # the proposer has lost the role
