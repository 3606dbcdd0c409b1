"""Each act of the HTTP API as a command."""

import os
import sys

from .front_commands import EXIT_USE, FrontCommands, read_file, table
from .jobs import WORKER_COLUMNS, Configuration, Job, capacity_text
from .queue_configuration import QueueConfigurationCommands, QueueTableCommands


class PushedJobCommands(FrontCommands):
    """submit, show, list, cancel."""

    def submit(self, file, key=None):
        """Hands in the ticket in a JSON file ('-' for standing input)."""
        document = read_file(file)
        headers = (("Idempotency-Key", str(key)),) if key else ()
        self._do("POST", "/v1/tickets", document, headers)

    def show(self, ticket):
        """A ticket with the state of each task."""
        self._get(f"/v1/tickets/{ticket}")

    def list(self, after=0, limit=50, state="", queue=""):
        """Tickets, a page at a time, by state or queue."""
        self._get(
            f"/v1/tickets?after={after}&limit={limit}&state={state}&queue={queue}",
            lambda document: table(
                document["tickets"], ["ticket", "state", "queue", "urgency", "tasks", "key"]
            ),
        )

    def cancel(self, ticket):
        """Cancels a ticket: nothing more of it starts."""
        self._do("POST", f"/v1/tickets/{ticket}/cancel")


class WorkerCommands(FrontCommands):
    """list, drain, undrain, withdraw."""

    def list(self):
        """The minions that report, with their room and state."""
        self._get("/v1/minions", lambda document: table(document["minions"]))

    def drain(self, minion):
        """Gives a minion no new work."""
        self._do("POST", f"/v1/minions/{minion}/drain")

    def undrain(self, minion):
        """Takes a drain back."""
        self._do("POST", f"/v1/minions/{minion}/undrain")

    def withdraw(self, minion, due=0.0):
        """The machine is gone for good at `due` (seconds since 1970; 0 for now)."""
        self._do("POST", f"/v1/minions/{minion}/withdraw", {"due": due})


class ZoneCommands(FrontCommands):
    """list, empty, take_back."""

    def list(self):
        """The areas and whether they are emptied."""
        self._get("/v1/areas", lambda document: table(document["areas"]))

    def empty(self, area):
        """Gives the minions of an area no new work."""
        self._do("POST", f"/v1/areas/{area}/empty")

    def take_back(self, area):
        """Lets an area have work again."""
        self._do("POST", f"/v1/areas/{area}/take-back")


class Commands:
    """pinepitch: drive the scheduler. Global flags of each group: --verge, --json, --operator."""

    def __init__(self):
        self.ticket = PushedJobCommands
        self.minion = WorkerCommands
        self.area = ZoneCommands
        self.setup = QueueConfigurationCommands
        self.table = QueueTableCommands
        self.job = Job
        self.configuration = Configuration

    def workers(self, verge=None, json=False):
        """The workers that run jobs under holds, as the leader knows them."""
        FrontCommands(verge, json)._get(
            "/v1/workers",
            lambda document: table(
                [
                    {**one, "free": capacity_text(one["free"]), "room": capacity_text(one["room"])}
                    for one in document["workers"]
                ],
                WORKER_COLUMNS,
            ),
        )

    def evacuations(self, verge=None, json=False):
        """The zones whose workers get no new work."""
        FrontCommands(verge, json)._get("/v1/evacuations", lambda document: table(document["evacuations"]))

    def pending(self, verge=None, json=False):
        """Waiting tasks, credits and limits of every queue."""
        FrontCommands(verge, json)._get("/v1/pending", lambda document: table(document["queues"]))

    def cohort(self, verge=None, json=False):
        """The accords, their leader and every session."""
        FrontCommands(verge, json)._get("/v1/cohort")

    def figures(self, verge=None, json=False):
        """Counts of the record."""
        FrontCommands(verge, json)._get("/v1/figures")

    def holds(self, verge=None, json=False):
        """The alerts that hold approvals back now."""
        FrontCommands(verge, json)._get("/v1/holds", lambda document: table(document["holds"]))

    def health(self, verge=None, json=False):
        """What one verge knows of itself."""
        FrontCommands(verge, json)._get("/v1/health")

    def timeline(self, *logs, window=2.0):
        """Tells from control daemons' logs at level debug where the time of jobs went, stage by stage."""
        from .timeline import report

        lines = []
        for log in logs:
            try:
                with open(log) as file:
                    lines.extend(file)
            except (OSError, UnicodeDecodeError) as fault:
                print(f"pinepitch: {log}: {fault}", file=sys.stderr)
                sys.exit(EXIT_USE)
        print(report(lines, window))

    def fleet(self, plan="nkansah", seconds=20, rate=1.0, seed=0, folder=None, level="warning", disturb=""):
        """Runs a whole deployment on this machine, checks its histories."""
        from ..simulation.fleet.runs import fleet

        fleet(plan, seconds, rate, seed, folder, level, disturb)

    def scale(self, sweep="workers", seconds=8, seed=0, most=None, out=None):
        """Runs real daemons beside hollow workers at rising sizes; prints what each spends."""
        from ..simulation.scale.sweep import scale

        scale(sweep, seconds, seed, most, out)

    def traffic(self, verge=None, seconds=30, rate=1.0):
        """Sends stand-in tickets to the queue `default`, for a try."""
        from ..simulation.fleet.client_traffic import traffic

        traffic(verge or os.environ.get("PINEPITCH_VERGE", "127.0.0.1:8080"), seconds, rate)

    def disturbances(self, plans="nkansah,pinturas", only="", seconds=12):
        """Runs fleets of processes under every disturbance in turn; prints a table."""
        from ..simulation.fleet.runs import run_faults

        run_faults(plans, only, seconds)

    def trials(self, weather="all", seeds=20, first=0, fleet="all", mode="static", plant=""):
        """Runs simulated fleets under failures, over many seeds; prints how to replay a fault."""
        from ..simulation.pushed_job_trial import trials

        trials(weather, seeds, first, fleet, mode, plant)

    def explore(self, model="all", states=0, walks=1_000, fault=""):
        """Searches every schedule of small fleets of consensus, at length; prints what breaks and how."""
        from ..simulation.model_checker.search import explore

        explore(model, states, walks, fault)

    def forecasts(self, seconds=20):
        """Compares rehearsals' forecasts with what fleets of processes then do."""
        from ..simulation.fleet.forecasts import forecasts

        forecasts(seconds)

    def rates(self, idle=200, known=25):
        """Measures how often rehearsals err, over idle drafts and drafts with a known effect."""
        from ..simulation.rates import rates

        rates(idle, known)

    def proof(self, page="docs/proof.md"):
        """Writes the tables of promises, failures, weathers and plants into a page."""
        from ..simulation.guarantees import written

        with open(page) as file:
            text = file.read()
        with open(page, "w") as file:
            file.write(written(text))
