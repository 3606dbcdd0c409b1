"""The registry behind docs/proof.md: each guarantee of the brief crossed with what it says
fails. `pinepitch proof` writes the page; a feature sees that it is whole and up to date.
"""

from typing import NamedTuple

from .fault_scenarios.registry import FAULT_SCENARIOS
from .injected_faults import INJECTED_FAULTS
from .jobs.control_injected_faults import CONTROL_INJECTED_FAULTS
from .jobs.control_scenarios.registry import CONTROL_SCENARIOS
from .jobs.key_injected_faults import KEY_INJECTED_FAULTS
from .jobs.key_scenarios import KEY_SCENARIOS


class Guarantee(NamedTuple):
    """One line of what must never happen. Invariant: each injected fault breaks just this guarantee's
    ground, and a check of it finds it.
    """

    line: str
    checks: tuple
    injected_faults: tuple
    owed: object = None  # the fault scenarios under which it is owed; None for all
    why: str = ""  # why it is not owed under the others


HEALTHY = ("scattered",)
OUTAGES = ("outage", "power", "final", "clock-outage", "areas-fall", "full")
GUARANTEES = (
    Guarantee(
        "a task runs twice at once, or again after its end",
        ("never_twice",),
        ("early-proof", "silence-is-an-end", "sent-again", "lost-is-tried-again", "saved-too-soon"),
    ),
    Guarantee(
        "an accepted job is forgotten, or unknown after 3 s",
        ("never_forgotten", "read_again", "never quiet again"),
        ("amnesia", "promises-when-full"),
    ),
    Guarantee(
        "a task starts before its forerunners, or over 0.1 s early",
        ("in_order",),
        ("forerunners-ignored", "not-before-ignored", "own-clock", "any-clock"),
    ),
    Guarantee(
        "a task retries beyond its allowed failures",
        ("attempts_kept",),
        ("attempts-unbounded", "lost-not-counted"),
    ),
    Guarantee(
        "a cancelled job starts tasks after 3 s or keeps any running",
        ("cancelled_truly",),
        ("cancel-in-word", "killed-once"),
    ),
    Guarantee(
        "a draining worker gets work after 2 s, an emptied zone after 5 s",
        ("closed_kept",),
        ("closed-ignored",),
    ),
    Guarantee("an unguarded worker is packed beyond its capacity", ("capacity_kept",), ("room-doubled",)),
    Guarantee(
        "a gang member waits alone while all is healthy",
        ("gangs_together",),
        ("gangs-apart",),
        HEALTHY,
        "owed only while all is healthy; a member that did not start is tried in features/placing.feature",
    ),
    Guarantee(
        "an acknowledged change is not in force within 2 s, slips back, or is missing at day's end",
        ("Operator.in_force", "limits_kept", "queue_configurations_kept"),
        ("change-not-kept", "news-kept-back", "limit-ignored", "history-cut"),
    ),
    Guarantee(
        "a refused or losing change takes effect, or two on one version are accepted",
        ("Operator.race", "queue_configurations_kept"),
        ("base-ignored", "refused-takes-effect"),
    ),
    Guarantee(
        "a job shows finished while a task hasn't ended well", ("finished_truly",), ("failed-counts-as-done",)
    ),
    Guarantee(
        "service is not back 12 s after a total outage",
        ("the fault scenario itself",),
        ("slow-elections",),
        OUTAGES,
        "no total outage there; that service goes on is seen by every trial's end",
    ),
    Guarantee(
        "good work is shed, or crowds are not shed at once",
        ("the fault scenario itself",),
        ("impossible-unseen", "bound-ignored"),
        ("impossible", "crowds", "crowds-ten"),
        "bounds are not reached there",
    ),
    Guarantee(
        "(the ground of all) two leaders of a term, logs or records that differ",
        ("Simulator._event", "Simulator.agreement"),
        ("votes-twice",),
    ),
)
CONDITIONS = ("frequent-snapshots",)  # injected faults that are no faults
FAILURES = (
    ("nothing", ("calm",)),
    ("crowds of users, large jobs and urgent jobs at once", ("crowds", "crowds-ten", "scattered")),
    ("impossible jobs pile up", ("impossible", "crowds")),
    ("workers crash or vanish", ("crashes", "minions-fail")),
    (
        "workers slow down, stall, fail tasks while reporting themselves well",
        ("minions-fail", "failing", "freezes"),
    ),
    ("workers cut off that run on", ("minions-fail", "cuts", "cancel-cut")),
    ("workers withdrawn at short notice", ("withdrawn",)),
    ("daemons killed", ("kills", "leaders-fall", "verges-restart", "storm")),
    ("daemons frozen", ("freezes", "storm")),
    ("power lost just after an acknowledgement; total outage", ("power", "outage", "final")),
    ("disk lost just after an acknowledgement", ("wiped", "forgotten", "outage")),
    ("disks slow, stalled, full", ("disks", "full")),
    ("clocks jump", ("clocks", "clock-outage")),
    ("core split or cut off, single machines isolated, links foul", ("cuts", "foul")),
    ("a zone lost", ("areas-fall",)),
    (
        "a core machine replaced by an empty one at a new address, contact points swapped",
        ("replaced", "verges-restart"),
    ),
    (
        "configurations change, race, come in storms, grow large; zones emptied and taken back",
        ("operators", "setup-storm", "large-setup"),
    ),
    ("a final fault at day's end", ("final",)),
)


class ControlFault(NamedTuple):
    """One fault scenario of the control daemons, tried under jobs, changes and evacuations."""

    scenario: str
    fails: str
    injected_fault: str = ""  # an injected fault that it was seen to find


CONTROL_FAULTS = (
    ControlFault("control-cut", "control daemons cut off for 20 s, callers reach them", "committed-alone"),
    ControlFault("control-cut-seeds", "the same, contact points swapped, fronts restarted", "elections-slow"),
    ControlFault("control-cut-restart", "the same, every control daemon restarted", "elections-slow"),
    ControlFault("zone-cut", "a zone cut off, callers reach it", "lease-ignored"),
    ControlFault("acknowledgements-lost", "acknowledgements lost on their way", "versions-forgotten"),
    ControlFault("connections-reset", "connections reset, orders under way", "versions-forgotten"),
    ControlFault("killed-after-promise", "power lost within 4 ms of an acknowledgement", "elections-slow"),
    ControlFault("wiped-after-promise", "disks lost right after it, power elsewhere too"),
    ControlFault("herd-killed", "all control daemons and fronts lose power at once", "saved-early"),
    ControlFault("zone-lost", "a zone without power", "elections-slow"),
    ControlFault("disks-bad", "disks slow, stalled, full", "durable-when-full"),
    ControlFault("machines-slow", "machines slow", "evacuation-endless"),
    ControlFault("control-frozen", "daemons frozen amid orders"),
    ControlFault("clocks-stepped", "clocks step and restarts happen", "clock-of-its-own"),
    ControlFault("settings-changed", "settings name other contact points, restarts"),
    ControlFault("loss-during-repair", "a second loss at each step of a repair", "never-admitted"),
    ControlFault("replacement-chain", "replacements of replacements", "never-admitted"),
    ControlFault("replacement-planned", "planned replacements, a loss right after"),
    ControlFault("wiped-in-turn", "one disk after another lost", "never-admitted"),
    ControlFault("many-changes", "hundreds of changes, then restarts and losses", "versions-forgotten"),
    ControlFault("mixed", "several of these, small faults beside them", "evacuation-endless"),
)


class KeyRule(NamedTuple):
    """One rule of tenants' keys, checked under every fault scenario of keys."""

    line: str  # what must never happen
    check: str
    injected_faults: tuple[str, ...]  # that the check finds


KEY_RULES = (
    KeyRule(
        "a call with no key, or one that no configuration ever held, is answered with success",
        "never_held_refused",
        ("key-unchecked", "missing-key-unchecked"),
    ),
    KeyRule(
        "a call is handled as only a configuration allows that was replaced before it was sent",
        "configuration_heeded",
        ("keys-not-renewed", "keys-one-version-late"),
    ),
    KeyRule(
        "a job is read, cancelled or handed in again by another tenant",
        "jobs_kept_apart",
        ("owner-unheeded",),
    ),
)
KEY_FAULTS = (
    ControlFault("keys-calm", "nothing, while keys change", "keys-not-renewed"),
    ControlFault("keys-leaders-fail", "the leader is killed, frozen or restarted amid changes of keys"),
    ControlFault("keys-leader-deaf", "the leader is cut off, callers reach it", "lease-ignored"),
    ControlFault("keys-answers-lost", "answers lost, connections reset amid changes of keys"),
)


def missing():
    """What stands in no row: fault scenarios of both kinds and injected faults, named."""
    shown = {fault_scenario for _, scenarios_listed in FAILURES for fault_scenario in scenarios_listed}
    injected = {
        injected_fault for guarantee in GUARANTEES for injected_fault in guarantee.injected_faults
    } | set(CONDITIONS)
    scenarios = {fault.scenario for fault in CONTROL_FAULTS}
    key_scenarios = {fault.scenario for fault in KEY_FAULTS}
    key_injected = {injected_fault for rule in KEY_RULES for injected_fault in rule.injected_faults}
    unseen = set(CONTROL_INJECTED_FAULTS) - {fault.injected_fault for fault in CONTROL_FAULTS}
    return sorted(
        (set(FAULT_SCENARIOS) ^ shown)
        | (set(INJECTED_FAULTS) ^ injected)
        | (set(CONTROL_SCENARIOS) ^ scenarios)
        | (set(KEY_SCENARIOS) ^ key_scenarios)
        | (set(KEY_INJECTED_FAULTS) ^ key_injected)
        | unseen
    )


def matrix():
    """The tables of docs/proof.md, in Markdown."""
    lines = ["| | must never happen | checks | injected faults that they find |", "| --- | --- | --- | --- |"]
    for place, guarantee in enumerate(GUARANTEES, 1):
        checks = ", ".join(f"`{one}`" for one in guarantee.checks)
        found_faults = ", ".join(f"`{one}`" for one in guarantee.injected_faults)
        lines.append(f"| {place} | {guarantee.line} | {checks} | {found_faults} |")
    lines += [
        "",
        "| what fails | " + " | ".join(str(place) for place in range(1, len(GUARANTEES) + 1)) + " |",
        "| --- |" + " --- |" * len(GUARANTEES),
    ]
    for failure, scenarios_listed in FAILURES:
        cells = []
        for place, guarantee in enumerate(GUARANTEES):
            owed = [one for one in scenarios_listed if guarantee.owed is None or one in guarantee.owed]
            cells.append(", ".join(owed) if owed else f"({chr(97 + place)})")
        lines.append(f"| {failure} | " + " | ".join(cells) + " |")
    lines.append("")
    lines += [
        f"({chr(97 + place)}) {guarantee.why}." for place, guarantee in enumerate(GUARANTEES) if guarantee.why
    ]
    lines += _fault_rows("control daemons", CONTROL_FAULTS)
    lines += ["", "| of tenants' keys must never happen | check | injected faults that it finds |"]
    lines.append("| --- | --- | --- |")
    for rule in KEY_RULES:
        found_faults = ", ".join(f"`{one}`" for one in rule.injected_faults)
        lines.append(f"| {rule.line} | `{rule.check}` | {found_faults} |")
    lines += _fault_rows("tenants' keys", KEY_FAULTS)
    return "\n".join(lines)


def _fault_rows(of_what, faults):
    """The lines of a table of fault scenarios."""
    lines = ["", f"| fault scenario of {of_what} | what fails | an injected fault that it finds |"]
    lines.append("| --- | --- | --- |")
    for fault in faults:
        injected_fault = f"`{fault.injected_fault}`" if fault.injected_fault else ""
        lines.append(f"| `{fault.scenario}` | {fault.fails} | {injected_fault} |")
    return lines


BEGIN, END = "<!-- tables: pinepitch proof -->", "<!-- end of tables -->"


def written(page):
    """The page with its tables as the registry has them."""
    before, _, rest = page.partition(BEGIN)
    return f"{before}{BEGIN}\n\n{matrix()}\n\n{END}{rest.partition(END)[2]}"
