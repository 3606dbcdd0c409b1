"""What an operation says of how it went, as it is answered to whoever proposed it.

An outcome is a tuple whose first element says how it went; the rest depends on it. Outcomes are
part of the image (those of changes, by their watermark), so their form is that of stored data.
"""

from typing import Any

Outcome = tuple[Any, ...]

OK: Outcome = ("ok",)
MISSING: Outcome = ("missing",)
STALE_EPOCH: Outcome = ("refused", "epoch")  # whoever proposed it no longer holds the role
