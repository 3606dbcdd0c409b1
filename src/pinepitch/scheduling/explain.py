"""Why jobs are where they are, which workers there are, what is in force: reading calls for
operators, answered from the record and from what the leader has gathered."""

from ..common import constants

ROOM = ("cpu", "mem_mb", "gpu")


def _answer(document):
    return ("answer", (200, document, None))


def _room(room):
    return dict(zip(ROOM, room, strict=False))


def _taken(held):
    """The room of placements, added up."""
    return tuple(sum(one.room[place] for one in held.values()) for place in range(len(ROOM)))


# --- jobs ----------------------------------------------------------------------------
def job(core, token, arguments, now):
    """A job's waves and placements, and why what waits does."""
    identity, board = arguments[0], core.record.board
    found = board.jobs.get(identity)
    if found is None:
        final = board.final.get(identity)
        if final is None:
            return (
                "answer",
                (404, {"error": {"code": "unknown_job", "message": f"no job {identity!r}"}}, None),
            )
        state, ended, queue = final[:3]
        return _answer(
            {
                "job": identity,
                "state": state,
                "queue": queue,
                "ended": ended,
                "waves": [],
                "more_waves": 0,
                "placements": _placements(core, identity),
            }
        )
    time = core._now(now)
    # what is not done comes first, so that a page's bound leaves out what is of least interest
    waves = sorted(found.waves.values(), key=lambda wave: (not wave.left, wave.time, wave.number))
    told = [_wave(core, wave, time, now) for wave in waves[: constants.PAGE_MOST]]
    return _answer(
        {
            "job": identity,
            "state": board.state(identity),
            "queue": found.queue,
            "service": found.service,
            "priority": found.priority,
            "attempts": found.attempts,
            "accepted": found.accepted,
            "ended": None,
            "waves": told,
            "more_waves": len(waves) - len(told),
            "placements": _placements(core, identity),
        }
    )


def _wave(core, wave, time, now):
    states = {"waiting": 0, "placed": 0, "done": 0}
    for task in wave.tasks:
        states[task.state] += 1
    each = [task.failures for task in wave.tasks]
    line = {
        "time": wave.time,
        "step": wave.number,
        "due": wave.due,
        "since": wave.since,
        **states,
        "gang": wave.step.gang,
        "failures": wave.failures if wave.step.gang else sum(each),
        "most_failures": wave.failures if wave.step.gang else max(each),
        "why": _why(core, wave, time),
    }
    if states["waiting"] and not wave.blocked and wave.due <= time:
        line["candidates"] = _candidates(core, wave, now)
    return line


def _why(core, wave, time):
    """What a wave waits for, or "" when none of it waits."""
    if not wave.waiting:
        return ""
    if wave.blocked:
        steps = [one for one in wave.step.after if wave.job.waves[(wave.time, one)].left]
        return "waits for " + ", ".join(f"step {one}" for one in steps)
    if wave.due > time:
        return f"not before {wave.due:.3f}"
    if wave.breaking():
        return "waits for the ends of the rest of its gang"
    return core.keeper.assigner.why.get(wave.key(), "not yet looked at by a round")


def _candidates(core, wave, now):
    """How many workers of the job's service each reason rules out."""
    counts = {}
    for worker in core.keeper.workers.values():
        if worker.service == wave.job.service:
            why = _ruled_out(core, worker, wave, now)
            counts[why] = counts.get(why, 0) + 1
    return counts


def _ruled_out(core, worker, wave, now):
    """What keeps a worker from one more task of a wave, or "open"."""
    board, step = core.record.board, wave.step
    held = board.placements.get(worker.identity, {})
    lacking = sorted(set(step.needs) - worker.labels)
    free = [all_of - taken for all_of, taken in zip(worker.room, _taken(held), strict=False)]
    of_step = sum((one.job, one.number) == (wave.job.identity, wave.number) for one in held.values())
    closed = _closed(board, worker, now)
    if closed:
        return closed
    if any(key not in held for key in worker.running):
        return "runs what is not placed there"
    if lacking:
        return "lacks " + ", ".join(lacking)
    if any(wants > left for wants, left in zip(step.room, free, strict=False)):
        return "no room"
    if step.apart and of_step >= step.apart:
        return f"has {of_step} of the step, apart {step.apart}"
    if worker.failing > constants.LIVENESS_POOR and held:
        return "on trial"
    return "open"


def _closed(board, worker, now):
    """Why a worker gets no new work of any kind, or ""."""
    if worker.silent(now):
        return "silent"
    if worker.state != "ready":
        return worker.state
    if worker.zone in board.evacuated:
        return "its zone is evacuated"
    if worker.stale:
        return "its beats come late"
    return "wary" if now < worker.wary_until else ""


def _placements(core, identity):
    """Every run of a job whose end is not proven, as recorded and as its worker told it."""
    listed = []
    for minion, held in core.record.board.placements.items():
        worker = core.keeper.workers.get(minion)
        for (reference, run), one in held.items():
            if one.job == identity:
                seen = worker.running.get((reference, run)) if worker else None
                listed.append(
                    {
                        "task": reference,
                        "run": run,
                        "minion": minion,
                        "since": one.since,
                        "epoch": one.epoch,
                        "stop": one.stop,
                        "running": seen is not None,
                        "percent": seen[1] if seen else None,
                    }
                )
    return sorted(listed, key=lambda one: (one["task"], one["run"]))


# --- workers, evacuations ------------------------------------------------------------
def workers(core, token, arguments, now):
    """Each worker this leader knows, and those that only placements name."""
    board, listed = core.record.board, []
    for identity in sorted(set(core.keeper.workers) | set(board.placements)):
        worker, held = core.keeper.workers.get(identity), board.placements.get(identity, {})
        line = {
            "minion": identity,
            "service": None,
            "zone": None,
            "rack": None,
            "state": "unheard",
            "closed": "silent",
            "room": None,
            "free": None,
            "placed": len(held),
            "running": 0,
            "silent": True,
            "wary": False,
            "failing": 0.0,
            "speed": 1.0,
            "heard": None,
        }
        if worker is not None:
            free = [all_of - taken for all_of, taken in zip(worker.room, _taken(held), strict=False)]
            line.update(
                service=worker.service,
                zone=worker.zone,
                rack=worker.rack,
                state=worker.state,
                closed=_closed(board, worker, now),
                room=_room(worker.room),
                free=_room(free),
                running=len(worker.running),
                silent=worker.silent(now),
                wary=now < worker.wary_until,
                failing=round(worker.failing, 3),
                speed=round(worker.speed, 3),
                heard=round(now - worker.heard_at, 3),
            )
        listed.append(line)
    return _answer({"workers": listed})


def evacuations(core, token, arguments, now):
    """The zones that get no new work, and since when."""
    return _answer(
        {
            "evacuations": [
                {"zone": zone, "since": since} for zone, since in sorted(core.record.board.evacuated.items())
            ]
        }
    )


# name -> how it is made; part of the registry in calls.py
CALLS = {"job-explain": job, "workers": workers, "evacuations": evacuations}
