"""The roles of a replica."""

import enum


class Role(enum.StrEnum):
    """What a replica is in its term. The values are the words of the daemons' status and metrics."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "prospect"  # asks for pre-votes (section 8)
    CANDIDATE = "candidate"
    LEADER = "leader"


# Python 3.11 looks a member up by a function call; the roles are compared at every message.
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = Role
