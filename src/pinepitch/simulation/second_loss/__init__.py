"""Second losses: what is tried around replacements of voters, each trial replayed by its name and seed.

Every trial loses no more at once than a fleet of its size may, but where it says otherwise; then service
must go on. Where more is lost, nothing acknowledged may be, and service must be back once it is back.
"""
