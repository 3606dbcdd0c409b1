"""Plays one crowd of any size by hand, and prints what it led to:

python -m features.crowds ROLE PORT WHAT [--members=N] [--memory-mb=N] [--descriptors=N]
"""

import fire

from .behaviours import behaviour
from .deployment import DESCRIPTORS, MEMORY_MB, Deployment, play

SEED = 54


def run(role, port, what, members=0, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
    """Plays the crowd `what` at a port of the front daemon or of the leading control daemon."""
    deployment = Deployment(SEED, memory_mb, descriptors)
    try:
        deployment.start()
        deployment.target = "front0" if role == "front" else deployment.leader()
        crowd = behaviour(what, port)
        if members:
            crowd = crowd._replace(members=members)
        played = play(deployment, port, crowd)
    finally:
        deployment.stop()
    print(
        f"{role} {port}: {crowd.members} {what}: {'lives' if played.lives else 'ENDED'}, "
        f"{played.memory / 1e6:.0f} of {memory_mb} MB, {played.descriptors} descriptors, "
        f"answered beside: {played.answered_beside}, afterwards: {played.answered_afterwards}"
    )


fire.Fire(run)
