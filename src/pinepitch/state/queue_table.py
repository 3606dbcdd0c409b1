"""The record's part for setups: changes, their history, drafts, approvals and holds."""

from ..common import constants
from ..model import queue_settings as queue_documents

OK = ("ok",)
MARKS_LEVEL = 3  # of operations; from it on all members know which marks they have forgotten


class QueueTable:
    """What Record does with setups and drafts. Invariants: as of Record; a draft builds on one
    version, is measured under the epoch it was asked in, and is approved at most once."""

    def _change_queue_configuration(self, mark, base, manner, document, who, why):
        """A change of the setup: `manner` is whole or merge; base None takes any."""
        return self._once(mark, lambda: self._change(base, manner, document, who, why))

    def _once(self, mark, change):
        """The outcome of a change, the same one however often it is carried here."""
        known = self.marks.outcome(mark)
        if known is not None:
            return known
        outcome = (*change(), self.index)
        self.marks.keep(mark, outcome, self.level >= MARKS_LEVEL)
        return outcome

    def _change(self, base, manner, document, who, why):
        if base is not None and base != self.version:
            return ("conflict", self.version)
        if manner == "merge":
            document = queue_documents.merged(self.queue_configuration, document)
        return self._apply_queue_configuration(document, who, why, self.version)

    def queue_configuration_faults(self, document):
        """(checked, ()) or (None, faults) of a whole setup against the live tickets."""
        checked, faults = queue_documents.checked(document, self.queue_configuration)
        if checked is not None:
            faults = tuple(
                (f"queues.{queue}", f"{count} live tickets, so it can't go")
                for queue, count in sorted(self.live_counts.items())
                if count and queue not in checked["queues"]
            )
        return (None, faults) if faults else (checked, ())

    def _apply_queue_configuration(self, document, who, why, base):
        checked, faults = self.queue_configuration_faults(document)
        if faults:
            return ("invalid", faults)
        self.version += 1
        before, self.queue_configuration = self.queue_configuration, checked
        self.queue_configurations.add(self.version, checked, who, why, self.time, base)
        kept = self.queue_settings
        self.queue_settings = {
            queue: kept[queue]
            if queue in kept and before["queues"].get(queue) is queue_settings
            else queue_documents.queue_settings_of(queue_settings)
            for queue, queue_settings in checked["queues"].items()
        }
        return ("setup", self.version)

    # --- drafts -----------------------------------------------------------------------
    def _draft(self, mark, base, patch, who, why):
        """A change to be measured before it is made."""
        return self._once(mark, lambda: self._new_draft(base, patch, who, why))

    def _new_draft(self, base, patch, who, why):
        if base != self.version:
            return ("conflict", self.version)
        checked, faults = self.queue_configuration_faults(
            queue_documents.merged(self.queue_configuration, patch)
        )
        if faults:
            return ("invalid", faults)
        self.draft_count += 1
        identity = f"d{self.draft_count}"
        while len(self.drafts) >= constants.MAX_DRAFTS:
            self.drafts = self.drafts.delete(min(self.drafts, key=lambda one: int(one[1:])))
        self.drafts = self.drafts.set(
            identity,
            {
                "draft": identity,
                "base": base,
                "setup": checked,
                "patch": patch,
                "who": who,
                "why": why,
                "time": self.time,
                "state": "open",
                "measure": None,
                "rooms": [],
                "asked": 0,
            },
        )
        return ("draft", identity)

    def _change_draft(self, identity, **changed):
        self.drafts = self.drafts.set(identity, {**self.drafts[identity], **changed})

    def _draft_refusal(self, identity):
        """Why a draft can't be gone on with, or None."""
        draft = self.drafts.get(identity)
        if draft is None:
            return ("missing",)
        if draft["state"] == "approved":
            return ("ended", "approved")
        return ("conflict", self.version) if draft["base"] != self.version else None

    def _rehearse(self, identity, worker_capacities):
        """Asks the holder of the rehearsal duty to measure a draft on these rooms."""
        refusal = self._draft_refusal(identity)
        if refusal is not None:
            return refusal
        draft = self.drafts[identity]
        self._change_draft(
            identity, state="rehearsing", measure=None, rooms=worker_capacities, asked=draft["asked"] + 1
        )
        return ("draft", identity)

    def _measure(self, epoch, identity, asked, measure):
        """The result of a rehearsal, from whoever holds the duty."""
        draft = self.drafts.get(identity)
        if epoch != self.epochs.get("rehearsal", (0, ""))[0]:
            return ("refused", "epoch")
        if draft is None or draft["state"] != "rehearsing" or draft["asked"] != asked:
            return ("refused", "not asked")
        self._change_draft(identity, state="measured", measure=measure)
        return ("draft", identity)

    def _approve(self, mark, identity, who, why):
        """Puts a draft in force if it was found better on the version in force."""
        return self._once(mark, lambda: self._approve_once(identity, who, why))

    def _approve_once(self, identity, who, why):
        refusal = self._draft_refusal(identity)
        if refusal is not None:
            return refusal
        draft = self.drafts[identity]
        if draft["state"] != "measured" or draft["measure"]["verdict"] == "not measured":
            return ("unmeasured",)
        if draft["measure"]["verdict"] != "better":
            return ("worse", draft["measure"]["verdict"])
        if self.approval_pauses:
            return ("held", tuple((alert, why) for alert, (_, why) in sorted(self.approval_pauses.items())))
        outcome = self._apply_queue_configuration(
            draft["setup"], who, why or f"draft {identity}: {draft['why']}", self.version
        )
        if outcome[0] == "setup":
            self._change_draft(identity, state="approved")
        return outcome

    def _pause_approvals(self, epoch, alert, why):
        """An alert begins to hold approvals back, or (why is None) no longer does."""
        if epoch != self.epochs.get("placing", (0, ""))[0]:
            return ("refused", "epoch")
        if why is None:
            self.approval_pauses.pop(alert, None)
        else:
            self.approval_pauses[alert] = (self.time, why)
        return OK

    def _drop(self, identity):
        if identity not in self.drafts:
            return ("missing",)
        self.drafts = self.drafts.delete(identity)
        return OK
