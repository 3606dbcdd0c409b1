"""The roles of a replica."""

import enum


class Role(enum.StrEnum):
    """The role of a replica in its term. The values appear in the daemons' status and metrics."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "prospect"  # requests pre-votes (section 8)
    CANDIDATE = "candidate"
    LEADER = "leader"


# In Python 3.11 each access to an enum member is a function call, and every message compares roles.
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = Role
