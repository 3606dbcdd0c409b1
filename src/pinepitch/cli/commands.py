"""The commands of `pinepitch`, except those with their own program (program.PROGRAMS)."""

from .cluster_text import cluster_text
from .exit_codes import ExitCode, leave
from .front_commands import FrontCommands, front_address
from .leased_jobs import LeasedJobCommands, RouteConfigurationCommands, workers_text
from .pushed_jobs import PushedJobCommands
from .queue_configuration import QueueConfigurationCommands
from .queue_table import QueueTableCommands
from .tenants import TenantCommands
from .text_tables import table
from .workers import WorkerCommands, ZoneCommands


class Commands:
    """pinepitch: drive the scheduler. Global flags of each group: --front, --json, --operator."""

    def __init__(self) -> None:
        self.pushed_job = PushedJobCommands
        self.worker = WorkerCommands
        self.zone = ZoneCommands
        self.queue_configuration = QueueConfigurationCommands
        self.queue_table = QueueTableCommands
        self.job = LeasedJobCommands
        self.tenant = TenantCommands
        self.configuration = RouteConfigurationCommands

    def workers(self, front: str | None = None, json: bool = False) -> None:
        """Shows the workers that run leased jobs, as known to the leader."""
        FrontCommands(front, json)._get("/v1/workers", workers_text)

    def evacuations(self, front: str | None = None, json: bool = False) -> None:
        """Shows the zones whose workers get no new work."""
        FrontCommands(front, json)._get("/v1/evacuations", lambda document: table(document["evacuations"]))

    def pending(self, front: str | None = None, json: bool = False) -> None:
        """Shows the waiting tasks, credits and limits of every queue."""
        FrontCommands(front, json)._get("/v1/pending", lambda document: table(document["queues"]))

    def cluster(self, front: str | None = None, json: bool = False) -> None:
        """Shows the control daemons, their leader and when it took over, tolerated losses, every session."""
        FrontCommands(front, json)._get("/v1/cohort", cluster_text)

    def counts(self, front: str | None = None, json: bool = False) -> None:
        """Shows counts of the cluster state."""
        FrontCommands(front, json)._get("/v1/figures")

    def pauses(self, front: str | None = None, json: bool = False) -> None:
        """Shows the alerts that currently pause approvals."""
        FrontCommands(front, json)._get("/v1/holds", lambda document: table(document["holds"]))

    def health(self, front: str | None = None, json: bool = False) -> None:
        """Shows the state that a front daemon reports of itself."""
        FrontCommands(front, json)._get("/v1/health")

    def timeline(self, *logs: str, window: float = 2.0) -> None:
        """Shows how long jobs spent in each stage, from control daemons' logs at level debug."""
        from .timeline import report

        lines: list[str] = []
        for log in logs:
            try:
                with open(log) as file:
                    lines.extend(file)
            except (OSError, UnicodeDecodeError) as fault:
                leave(ExitCode.WRONG_USE, f"{log}: {fault}")
        print(report(lines, window))

    def fleet(
        self,
        plan: str = "nkansah",
        seconds: float = 20,
        rate: float = 1.0,
        seed: int = 0,
        folder: str | None = None,
        level: str = "warning",
        fault: str = "",
    ) -> None:
        """Runs a whole deployment on this machine and checks its histories."""
        from ..simulation.fleet.runs import fleet

        fleet(plan, seconds, rate, seed, folder, level, fault)

    def scale(
        self,
        sweep: str = "workers",
        seconds: float = 8,
        seed: int = 0,
        most: int | None = None,
        out: str | None = None,
    ) -> None:
        """Runs real daemons with simulated workers at increasing sizes; prints what each daemon consumes."""
        from ..simulation.scale.sweep import scale

        scale(sweep, seconds, seed, most, out)

    def traffic(self, front: str | None = None, seconds: float = 30, rate: float = 1.0) -> None:
        """Sends sample pushed jobs to the queue `default`, to try out a deployment."""
        from ..simulation.fleet.client_traffic import traffic

        traffic(front_address(front), seconds, rate)

    def fault_scenarios(self, plans: str = "nkansah,pinturas", only: str = "", seconds: float = 12) -> None:
        """Runs fleets of processes under every fault scenario in turn; prints a table."""
        from ..simulation.fleet.runs import run_faults

        run_faults(plans, only, seconds)

    def trials(
        self,
        scenario: str = "all",
        seeds: int = 20,
        first: int = 0,
        fleet: str = "all",
        mode: str = "static",
        injected_fault: str = "",
    ) -> None:
        """Runs simulated fleets under failures with many seeds; prints how to replay a fault."""
        from ..simulation.pushed_job_trial import trials

        trials(scenario, seeds, first, fleet, mode, injected_fault)

    def explore(self, model: str = "all", states: int = 0, walks: int = 1_000, fault: str = "") -> None:
        """Searches every schedule of small consensus clusters (slow); prints what breaks and how."""
        from ..simulation.model_checker.search import explore

        explore(model, states, walks, fault)

    def forecasts(self, seconds: float = 20) -> None:
        """Compares the forecasts of rehearsals with the measured results of fleets of processes."""
        from ..simulation.fleet.forecasts import forecasts

        forecasts(seconds)

    def rates(self, idle: int = 200, known: int = 25) -> None:
        """Measures the error rate of rehearsals over drafts without effect and drafts with a known effect."""
        from ..simulation.rates import rates

        rates(idle, known)

    def guarantees(self, page: str = "docs/proof.md") -> None:
        """Writes the tables of guarantees, failures, fault scenarios and injected faults into a page."""
        from ..simulation.guarantees import written

        with open(page) as file:
            text = file.read()
        with open(page, "w") as file:
            file.write(written(text))
