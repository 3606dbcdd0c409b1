"""Lines of the scripts that lead a model to where its search begins: each takes a world to another."""

from .invariants import Violation
from .state import Action

STEPS_MOST = 1_000  # steps; after which messages that breed messages count as a fault


def quiet(world):
    """Delivers and saves until nothing is under way."""
    for _ in range(STEPS_MOST):
        action = next((one for one in world.actions() if one.kind in ("save", "deliver")), None)
        if action is None:
            return world
        world = world.step(action)
    raise Violation("messages never end")


def deliver(kind, receiver):
    """A line of a script: delivers the messages of one kind that are under way to one daemon."""

    def line(world):
        for number in sorted(world.letters):
            letter = world.post.letters[number]
            if letter.message[0] == kind and letter.receiver == receiver:
                world = world.step(Action("deliver", number))
        return world

    return line


def quiet_without(*lost):
    """A line of a script: delivers and saves until nothing is under way; what the lost ones send or
    would get is lost."""

    def line(world):
        for _ in range(STEPS_MOST):
            for number in sorted(world.letters):
                if set(lost) & set(world.post.letters[number][:2]):
                    world = world.step(Action("lose", number))
            if not world.letters:
                return world
            world = world.step(Action("deliver", min(world.letters)))
        raise Violation("messages never end")

    return line


def drop(world):
    """Loses all that is under way."""
    for number in sorted(world.letters):
        world = world.step(Action("lose", number))
    return world


def elect(identity):
    """A line of a script: this member is elected and all hear of it."""
    return lambda world: quiet(world.step(Action("stand", identity)))


def act(kind, subject, detail=None):
    """A line of a script: one step, nothing delivered."""
    return lambda world: world.step(Action(kind, subject, detail))


def settle(kind, subject, detail=None):
    """A line of a script: one step, and all that follows from it."""
    return lambda world: quiet(world.step(Action(kind, subject, detail)))


def keep_only(kind):
    """A line of a script: loses all that is under way but messages of one kind."""

    def line(world):
        for number in sorted(world.letters):
            if world.post.letters[number].message[0] != kind:
                world = world.step(Action("lose", number))
        return world

    return line


def wait_without(times, *lost):
    """A line of a script: time passes and all messages arrive, but for those to and from the lost ones."""

    def line(world):
        for _ in range(times):
            world = quiet_without(*lost)(world.step(Action("wait", "")))
        return world

    return line


def wait_unheard(times):
    """A line of a script: time passes and nothing arrives."""

    def line(world):
        for _ in range(times):
            world = world.step(Action("wait", ""))
        return world

    return line
