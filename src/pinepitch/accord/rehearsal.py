"""Rehearsal: recent real traffic replayed through the record and the placing code, with
the table in force and with a draft, under the same seeds; pure, so that it can run apart
from the placing path."""

import heapq
import random

from ..ground import constants
from ..world.minion import Minion, Report
from .placing import Placer
from .record import Record

OBJECTIVE = {"wait_99": 1.0, "wait_median": 1.0, "dues_missed": 10.0, "shed": 10.0}
FIGURES = ("wait_median", "wait_99", "dues_missed", "room_used", "shed", "preemptions")


def traffic(record):
    """The recent tickets with the durations seen, oldest first: all a replay needs."""
    found, number = [], record.count
    while number > 0 and len(found) < constants.TRAFFIC_MOST:
        ticket = record.tickets.get(f"t{number}")
        number -= 1
        if ticket is None or ticket.kind == "feed":
            continue
        if record.time - ticket.accepted > constants.TRAFFIC_WINDOW:
            break
        tasks = [(task.name, task.units, task.labels, task.after, max(0.0, task.not_before - ticket.accepted),
                  task.gang, ticket.standings[task.name].took if ticket.standings[task.name].state == "done" else None)
                 for task in ticket.tasks.values()]
        found.append((ticket.accepted, ticket.queue, ticket.urgency,
                      max(0.0, ticket.due - ticket.accepted) if ticket.due else 0.0, tasks))
    return found[::-1]


def resampled(arrivals, seed):
    """The same tickets with the gaps between them drawn anew from the gaps seen."""
    draw = random.Random(f"rehearsal-{seed}")
    gaps = [max(0.0, later[0] - earlier[0]) for earlier, later in zip(arrivals, arrivals[1:])]
    lengths = {}
    for _, queue, _, _, tasks in arrivals:
        lengths.setdefault(queue, []).extend(one[6] for one in tasks if one[6] is not None)
    result, moment = [], 0.0
    for place, (_, queue, urgency, due, tasks) in enumerate(arrivals):
        moment += draw.choice(gaps) if place and gaps else 0.0
        known = lengths.get(queue) or [1.0]
        result.append((moment, queue, urgency, due, [
            (*one[:6], one[6] if one[6] is not None else draw.choice(known)) for one in tasks]))
    return result


def replay(arrivals, setup, rooms):
    """queue -> figures of one replay of `arrivals` under `setup` on `rooms`."""
    record, placer = Record(), Placer()
    # A queue the table lacks sheds all its tickets; rows take effect as they would.
    record.apply(1, 0.0, ("setup", "rehearsal", None, "whole", setup, "rehearsal", ""))
    record.apply(2, 0.0, ("duty", "placing", "rehearsal"))
    minions = {name: Minion(Report(name, area, "", room, tuple(labels), False, "one", 1, 0.0, (), ()), 0.0)
               for name, area, room, labels in rooms}
    moments = [(arrival[0], place, "arrive", arrival) for place, arrival in enumerate(arrivals)]
    heapq.heapify(moments)
    number, index = len(moments), 2
    lengths, waits, figures = {}, {}, {}
    for _, queue, *_ in arrivals:
        figures.setdefault(queue, dict.fromkeys(FIGURES, 0))
        waits.setdefault(queue, [])
    last = arrivals[-1][0]
    dues, round_at = {}, None
    while moments and moments[0][0] <= last + constants.REHEARSAL_LONGEST:
        now, _, kind, what = heapq.heappop(moments)
        index += 1
        if kind == "arrive":
            _, queue, urgency, due, tasks = what
            plain = {"queue": queue, "kind": "batch", "urgency": urgency, "not_before": 0,
                     "due": now + due if due else 0, "tasks": [
                         {"name": name, "units": units, "labels": labels, "after": after, "gang": gang,
                          "not_before": now + wait, "attempts": 1, "limit": 0, "work": None}
                         for name, units, labels, after, wait, gang, _ in tasks]}
            outcome = record.apply(index, now, ("ticket", f"r{index}", "", plain))
            if outcome[0] != "accepted":
                figures[queue]["shed"] += 1
                continue
            for name, *_, took in tasks:
                lengths[f"{outcome[1]}/{name}"] = took
            if due:
                dues[outcome[1]] = now + due
        elif kind == "end":
            ref, attempt, how = what
            record.apply(index, now, ("ended", ((ref, attempt, how),)))
        elif kind == "round":
            round_at = None
            for minion in minions.values():
                minion.heard_at = now
            items, yields = placer.round(record, minions, [("verge", "")], now, now)
            if items:
                outcome = record.apply(index, now, ("place", 1, record.version, items))
                placer.settled([item[0] for item in items])
                for ref, refusal in outcome[1] if outcome[0] == "placed" else ():
                    if refusal:
                        continue
                    ticket, task, standing = record.find(ref)
                    number += 1
                    heapq.heappush(moments, (now + lengths[ref], number, "end", (ref, standing.attempt, "done")))
                    if standing.attempt == 1:
                        ready = max([ticket.accepted, task.not_before,
                                     *(ticket.standings[one].since for one in task.after)])
                        waits[ticket.queue].append(max(0.0, now - ready))
                    figures[ticket.queue]["room_used"] += task.units * lengths[ref]
            if yields:
                record.apply(index, now, ("yield", 1, yields))
                for ref, attempt, _ in yields:
                    if ref in record.yielding:
                        figures[record.find(ref)[0].queue]["preemptions"] += 1
                        number += 1
                        heapq.heappush(moments, (now + 0.1, number, "end", (ref, attempt, "killed")))
        waiting = any(record.ready.values())
        if waiting and round_at is None and (kind != "round" or moments or items):
            round_at = now + constants.PLACE_EVERY
            if kind == "round" and not items and not yields and moments:
                round_at = max(round_at, min(moments[0][0], now + 0.5))
            number += 1
            heapq.heappush(moments, (round_at, number, "round", None))
    for ticket in record.tickets.values():
        due = dues.get(ticket.identity)
        if due is not None and (ticket.state == "pending" or ticket.ended_at > due):
            figures[ticket.queue]["dues_missed"] += 1
        if ticket.state == "pending":
            for task in ticket.tasks.values():
                if ticket.standings[task.name].attempt == 0:
                    waits[ticket.queue].append(last + constants.REHEARSAL_LONGEST - ticket.accepted)
    for queue, found in waits.items():
        found.sort()
        figures[queue]["wait_median"] = found[len(found) // 2] if found else 0.0
        figures[queue]["wait_99"] = found[min(len(found) - 1, len(found) * 99 // 100)] if found else 0.0
    return figures


def cost(figures, objective):
    """What the objective makes of a replay: less is better."""
    weights = {**OBJECTIVE, **objective}
    return sum(weights[name] * one[name] for one in figures.values() for name in weights)


def measure(arrivals, in_force, draft, rooms, pairs=constants.REHEARSAL_PAIRS):
    """Replays both tables in pairs under the same seeds and says which is better by the
    objective in force, or that there was too little traffic to tell."""
    if len(arrivals) < constants.TRAFFIC_LEAST or not rooms:
        return {"verdict": "not measured", "tickets": len(arrivals),
                "why": f"{len(arrivals)} recent tickets, {constants.TRAFFIC_LEAST} needed"
                if rooms else "no minion is known"}
    objective = in_force.get("objective", {})
    costs, sums = [], ({}, {})
    for seed in range(pairs):
        sample = resampled(arrivals, seed)
        both = (replay(sample, in_force, rooms), replay(sample, draft, rooms))
        costs.append((cost(both[0], objective), cost(both[1], objective)))
        for held, figures in zip(sums, both):
            for queue, one in figures.items():
                line = held.setdefault(queue, dict.fromkeys(FIGURES, 0.0))
                for name in FIGURES:
                    line[name] += one[name] / pairs
    least = constants.REHEARSAL_LEAST * max(1e-9, sum(one for one, _ in costs) / pairs)
    better = sum(after < before - least for before, after in costs)
    worse = sum(after > before + least for before, after in costs)
    needed = max(1, pairs * constants.REHEARSAL_AGREE // constants.REHEARSAL_PAIRS)
    verdict = "better" if better >= needed else "worse" if worse >= needed else "no difference"
    return {
        "verdict": verdict, "tickets": len(arrivals), "pairs": pairs, "better_in": better, "worse_in": worse,
        "cost_in_force": sum(one for one, _ in costs) / pairs, "cost_draft": sum(one for _, one in costs) / pairs,
        "queues": [{"queue": queue, **{name: round(sums[0][queue][name], 4) for name in FIGURES},
                    **{f"draft_{name}": round(sums[1][queue][name], 4) for name in FIGURES}}
                   for queue in sorted(sums[0])],
    }
