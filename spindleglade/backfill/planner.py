"""One planning round: which waiting tasks start where, which running ones are stopped for them.

The ordinary path is the design's: one queue in submission order, array jobs task by task; the first job that
does not fit holds a reservation; a later one passes it if its chance of delaying it is below tau. Priority
and guarantees enter where the protocol lets them: work that could stop a task of the head is not held back
by the head's reservation, and may stop running work to make room.

Everything here is a function of the snapshot it is given, so it runs without any lock.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from spindleglade.backfill.distributions import Predictor
from spindleglade.backfill.probability import Unit, delays
from spindleglade.settings.platform import Team


@dataclass(slots=True)
class Running:
    """A task that is, or must be taken to be, on a machine."""

    job: str
    index: int
    team: str
    rank: int
    cpus: float
    gpus: float
    memory: float
    estimate: timedelta
    elapsed: timedelta
    # What stopping it now would lose, and whether it is being stopped already.
    unsaved: timedelta
    stopping: bool = False


@dataclass(slots=True)
class MachineView:
    name: str
    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    pull_gb_per_s: float
    tasks: list[Running]
    # Images present, and those being fetched.
    images: set[str] = field(default_factory=set)
    pulling: set[str] = field(default_factory=set)
    open: bool = True
    # Room being made for a job by preemption: job -> tasks it may place here.
    claims: dict[str, int] = field(default_factory=dict)
    # Tasks that may not come here because an older attempt still lies here uncleared.
    barred: frozenset[tuple[str, int]] = frozenset()
    # Jobs that failed here.
    avoided: frozenset[str] = frozenset()
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory: float = 0.0

    def settle(self) -> None:
        self.free_cpus = self.cpus - sum(task.cpus for task in self.tasks)
        self.free_gpus = self.gpus - sum(task.gpus for task in self.tasks)
        self.free_memory = self.memory - sum(task.memory for task in self.tasks)


@dataclass(slots=True)
class JobView:
    id: str
    team: str
    job_class: str
    rank: int
    # Waiting task numbers, in order; only as many as may be of use in one round.
    waiting: list[int]
    tasks: int
    cpus: float
    gpus: float
    memory: float
    image: str
    image_gb: float
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate: timedelta
    # Tasks now placed, by zone.
    zones: dict[str, int] = field(default_factory=dict)
    # All waiting tasks start in one round, or none does.
    whole: bool = False

    def like(self) -> tuple:
        """Tasks with the same key are decided together."""
        return (
            self.team,
            self.job_class,
            self.rank,
            self.cpus,
            self.gpus,
            self.memory,
            self.types,
            self.zone,
            self.one_zone,
            self.spread,
            self.spot,
            self.image,
            self.estimate,
        )

    def place(self) -> tuple:
        """Tasks with the same key fit the same machines."""
        return (self.cpus, self.gpus, self.memory, self.types, self.zone, self.spot)


@dataclass(slots=True)
class Snapshot:
    # In submission order.
    jobs: list[JobView]
    machines: list[MachineView]
    teams: dict[str, Team]
    predictor: Predictor


@dataclass(slots=True)
class Start:
    job: str
    index: int
    machine: str


@dataclass(slots=True)
class Stop:
    job: str
    index: int
    machine: str
    # The job room is made for.
    claimant: str


@dataclass(slots=True)
class Unmet:
    """Waiting tasks of one job that found no room and are within their team's limit."""

    job: JobView
    count: int
    guaranteed: bool


@dataclass(slots=True)
class Freeing:
    """What a machine has free now, and what its tasks are expected to free: after how many seconds, how many
    CPUs and GPUs, how much memory."""

    machine: MachineView
    tasks: list[tuple[float, float, float, float]]


@dataclass(slots=True)
class Plan:
    starts: list[Start] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    # Room held on a machine for a job's tasks: machine, job, tasks.
    claims: list[tuple[str, str, int]] = field(default_factory=list)
    unmet: list[Unmet] = field(default_factory=list)
    # For the fleet; only where something found no room.
    freeing: list[Freeing] = field(default_factory=list)
    # CPUs of usable machines that nothing takes, and those that teams use.
    spare_cpus: float = 0.0
    used_cpus: dict[str, float] = field(default_factory=dict)
    head: str | None = None
    checks: int = 0


_EPS = 1e-6


class Planner:
    def __init__(self, tau: float, preempt: str = "none") -> None:
        self._tau = tau
        self._preempt = preempt

    def plan(self, snapshot: Snapshot) -> Plan:
        return _Round(snapshot, self._tau, self._preempt).run()


class _Round:
    def __init__(self, snapshot: Snapshot, tau: float, preempt: str) -> None:
        self.plan = Plan()
        self.jobs = snapshot.jobs
        self.by_id = {job.id: job for job in snapshot.jobs}
        self.machines = [machine for machine in snapshot.machines if machine.open]
        self.teams = snapshot.teams
        self.predictor = snapshot.predictor
        self.tau = tau
        self.preempt = preempt
        # Every assignment not proven over counts, on closed machines too.
        self.used_cpus: dict[str, float] = {}
        self.used_gpus: dict[str, float] = {}
        for machine in snapshot.machines:
            machine.settle()
            for task in machine.tasks:
                self._use(task.team, task.cpus, task.gpus)
        self.head: JobView | None = None
        self.head_lacks = 1
        self.head_units: list[tuple[MachineView, Unit, float, float, float]] = []

    def _use(self, team: str, cpus: float, gpus: float) -> None:
        self.used_cpus[team] = self.used_cpus.get(team, 0.0) + cpus
        self.used_gpus[team] = self.used_gpus.get(team, 0.0) + gpus

    def _within(self, job: JobView, guarantee: bool) -> bool:
        """Whether one more task of the job keeps its team within its limit, or within its guarantee."""
        team = self.teams.get(job.team)
        if team is None:
            return False
        cpus, gpus = (team.cpus, team.gpus) if guarantee else (team.cpus_max, team.gpus_max)
        return (
            self.used_cpus.get(job.team, 0.0) + job.cpus <= cpus + _EPS
            and self.used_gpus.get(job.team, 0.0) + job.gpus <= gpus + _EPS
        )

    def run(self) -> Plan:
        refused: set[tuple] = set()
        full: set[tuple] = set()
        # Submission order within a priority. A higher priority goes first because it could stop what a lower
        # one started in the same round, and starting only to stop loses work.
        for job in sorted(self.jobs, key=lambda job: -job.rank):
            if job.waiting:
                self._place_job(job, refused, full)
        if self.preempt != "none":
            self._make_room()
        self.plan.spare_cpus = sum(max(0.0, machine.free_cpus) for machine in self.machines)
        self.plan.used_cpus = self.used_cpus
        if self.plan.unmet:
            self.plan.freeing = [self._freeing(machine) for machine in self.machines]
        return self.plan

    def _freeing(self, machine: MachineView) -> Freeing:
        tasks = []
        for task in machine.tasks:
            ends, weights = self.predictor.remaining(task.team, task.estimate, task.elapsed)
            tasks.append((float(ends @ weights), task.cpus, task.gpus, task.memory))
        return Freeing(machine, tasks)

    def _place_job(self, job: JobView, refused: set[tuple], full: set[tuple]) -> None:
        like, place = job.like(), job.place()
        placed: list[MachineView] = []
        for index in job.waiting:
            if not self._within(job, guarantee=False):
                # Held only by its team's limit: no reservation, others need not make way for it.
                if job.whole:
                    self._take_back(job, placed)
                return
            passes = self.head is None or self._outranks(job)
            if not passes and like in refused:
                break
            machine = None if place in full else self._best(job, index)
            if machine is None:
                # A task barred from a machine says nothing about the others of its kind.
                if not (
                    job.one_zone
                    or job.spread
                    or job.whole
                    or any(job.id in at.avoided or (job.id, index) in at.barred for at in self.machines)
                ):
                    full.add(place)
                break
            if not passes and self._delays_head(job, machine):
                refused.add(like)
                break
            self._start(job, index, machine)
            placed.append(machine)
        if job.whole and len(placed) < len(job.waiting):
            self._take_back(job, placed)
            placed = []
        rest = len(job.waiting) - len(placed)
        if rest:
            self.plan.unmet.append(Unmet(job, rest, self._within(job, guarantee=True)))
            if self.head is None:
                self._reserve(job, rest if job.whole else 1)

    def _take_back(self, job: JobView, placed: list[MachineView]) -> None:
        """Undoes the starts of a job that did not find room as a whole."""
        for machine in reversed(placed):
            self.plan.starts.pop()
            machine.tasks.pop()
            machine.free_cpus += job.cpus
            machine.free_gpus += job.gpus
            machine.free_memory += job.memory
            job.zones[machine.zone] -= 1
            self._use(job.team, -job.cpus, -job.gpus)

    def _outranks(self, job: JobView) -> bool:
        """Whether the job might stop a task of the head by the protocol's rules; then holding it back behind
        the head would only make it do so later, at the price of the work lost."""
        assert self.head is not None
        if job.rank > self.head.rank:
            return True
        return (
            job.team != self.head.team
            and self._within(job, guarantee=True)
            and not self._within(self.head, guarantee=True)
        )

    def _allowed(self, job: JobView, machine: MachineView) -> bool:
        if job.types is not None and machine.type not in job.types:
            return False
        if job.zone is not None and machine.zone != job.zone:
            return False
        if machine.spot and not job.spot:
            return False
        if job.one_zone and any(count and zone != machine.zone for zone, count in job.zones.items()):
            return False
        return not (job.spread and job.zones.get(machine.zone, 0) + 1 > (job.tasks + 1) // 2)

    def _fits(self, job: JobView, machine: MachineView) -> bool:
        cpus, gpus, memory = self._unclaimed(machine, job)
        return job.cpus <= cpus + _EPS and job.gpus <= gpus + _EPS and job.memory <= memory + _EPS

    def _unclaimed(self, machine: MachineView, job: JobView | None) -> tuple[float, float, float]:
        """What is free on the machine, less the room held there for jobs other than this one."""
        cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory
        for claimant, count in machine.claims.items():
            other = self.by_id.get(claimant) if job is None or claimant != job.id else None
            if other is not None and count > 0:
                cpus -= other.cpus * count
                gpus -= other.gpus * count
                memory -= other.memory * count
        return cpus, gpus, memory

    @staticmethod
    def _fetch_s(job: JobView, machine: MachineView) -> float:
        if job.image in machine.images:
            return 0.0
        alone = job.image_gb / machine.pull_gb_per_s
        if job.image in machine.pulling:
            return alone * len(machine.pulling)
        return alone * (len(machine.pulling) + 1)

    def _best(self, job: JobView, index: int) -> MachineView | None:
        """Where the task runs soonest; among those, the fullest, so that others stay whole or fall idle."""
        best, best_score = None, None
        for machine in self.machines:
            if (
                not self._fits(job, machine)
                or not self._allowed(job, machine)
                or job.id in machine.avoided
                or (machine.barred and (job.id, index) in machine.barred)
            ):
                continue
            score = (self._fetch_s(job, machine), machine.free_cpus)
            if best_score is None or score < best_score:
                best, best_score = machine, score
        return best

    def _start(self, job: JobView, index: int, machine: MachineView) -> None:
        self.plan.starts.append(Start(job.id, index, machine.name))
        machine.tasks.append(
            Running(
                job.id,
                index,
                job.team,
                job.rank,
                job.cpus,
                job.gpus,
                job.memory,
                job.estimate,
                timedelta(0),
                timedelta(0),
            )
        )
        machine.free_cpus -= job.cpus
        machine.free_gpus -= job.gpus
        machine.free_memory -= job.memory
        if job.image not in machine.images:
            machine.pulling.add(job.image)
        if machine.claims.get(job.id):
            machine.claims[job.id] -= 1
        job.zones[machine.zone] = job.zones.get(machine.zone, 0) + 1
        self._use(job.team, job.cpus, job.gpus)

    # The reservation.

    def _reserve(self, job: JobView, tasks: int) -> None:
        self.head = job
        self.plan.head = job.id
        self.head_units = []
        for machine in self.machines:
            unit = self._unit(job, machine)
            if unit is not None:
                self.head_units.append(unit)
        free = sum(unit.free for _, unit, _, _, _ in self.head_units)
        self.head_lacks = max(1, min(tasks, len(self.head_units)) - free)

    def _unit(
        self, head: JobView, machine: MachineView
    ) -> tuple[MachineView, Unit, float, float, float] | None:
        """The machine as a unit for the head: which of its tasks must end for one head task to fit, soonest
        first, and what would then be left over."""
        if not self._allowed(head, machine):
            return None
        cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory
        ends = []
        for task in machine.tasks:
            times, weights = self.predictor.remaining(task.team, task.estimate, task.elapsed)
            ends.append((float(times @ weights), times, weights, task))
        ends.sort(key=lambda end: end[0])
        parts = []
        for _, times, weights, task in ends:
            if head.cpus <= cpus + _EPS and head.gpus <= gpus + _EPS and head.memory <= memory + _EPS:
                break
            cpus += task.cpus
            gpus += task.gpus
            memory += task.memory
            parts.append((times, weights))
        if not (head.cpus <= cpus + _EPS and head.gpus <= gpus + _EPS and head.memory <= memory + _EPS):
            return None
        return machine, Unit(parts), cpus - head.cpus, gpus - head.gpus, memory - head.memory

    def _delays_head(self, job: JobView, machine: MachineView) -> bool:
        """Algorithm 2 for one task of the candidate on the machine found for it. The head lacks one unit, for
        its next task (a whole job: as many as it lacks). Both together lack one more if the candidate leaves
        its machine without room for the head's task; else they lack no more, and nothing is delayed."""
        for unit_machine, _, spare_cpus, spare_gpus, spare_memory in self.head_units:
            if unit_machine is machine:
                if (
                    job.cpus <= spare_cpus + _EPS
                    and job.gpus <= spare_gpus + _EPS
                    and job.memory <= spare_memory + _EPS
                ):
                    return False
                break
        else:
            return False
        self.plan.checks += 1
        ends, weights = self.predictor.remaining(job.team, job.estimate, timedelta(0))
        units = [unit for _, unit, _, _, _ in self.head_units if not unit.free]
        return delays(units, ends, weights, self.head_lacks, self.head_lacks + 1, self.tau)

    # Preemption.

    def _make_room(self) -> None:
        """Stops running work for waiting work that the protocol puts above it."""
        # What earlier rounds have stopped or promised, though it still runs or waits: counted as it was, the
        # same excess would be taken again each round until its team is far below its guarantee.
        for machine in self.machines:
            for task in machine.tasks:
                if task.stopping:
                    self._use(task.team, -task.cpus, -task.gpus)
            for claimant, count in machine.claims.items():
                other = self.by_id.get(claimant)
                if other is not None:
                    self._use(other.team, other.cpus * count, other.gpus * count)
        every = self.preempt == "all"
        wanting = [unmet for unmet in self.plan.unmet if unmet.guaranteed or (every and unmet.job.rank > 0)]
        wanting.sort(key=lambda unmet: (not unmet.guaranteed, -unmet.job.rank))
        for unmet in wanting:
            job = unmet.job
            claimed = sum(machine.claims.get(job.id, 0) for machine in self.machines)
            for _ in range(unmet.count - claimed):
                if not self._within(job, guarantee=False) or not self._stop_for(job):
                    break

    def _may_stop(self, job: JobView, guaranteed: bool, victim: Running, freed: dict[str, float]) -> bool:
        """Work within its team's guarantee stands above work beyond one, then the priorities decide. Both of
        the protocol's reasons are kept to, but with one order between them: taken each for itself, a high
        priority beyond its guarantee and a normal one within would stop each other for ever."""
        team = self.teams.get(victim.team)
        if team is None:
            return self.preempt == "all"
        used = self.used_cpus.get(victim.team, 0.0) - freed.get(victim.team, 0.0)
        beyond = used - victim.cpus >= team.cpus - _EPS
        if guaranteed and beyond and victim.team != job.team:
            return True
        if self.preempt != "all" or (beyond != (not guaranteed) and victim.team != job.team):
            return False
        return victim.rank < job.rank

    def _stop_for(self, job: JobView) -> bool:
        guaranteed = self._within(job, guarantee=True)
        best, best_loss = None, None
        for machine in self.machines:
            if not self._allowed(job, machine) or job.id in machine.avoided:
                continue
            cpus, gpus, memory = self._unclaimed(machine, None)
            chosen: list[Running] = []
            freed: dict[str, float] = {}
            loss = 0.0
            for task in sorted(machine.tasks, key=lambda task: (not task.stopping, task.rank, task.unsaved)):
                if job.cpus <= cpus + _EPS and job.gpus <= gpus + _EPS and job.memory <= memory + _EPS:
                    break
                if not task.stopping:
                    if not self._may_stop(job, guaranteed, task, freed):
                        continue
                    chosen.append(task)
                    loss += task.unsaved.total_seconds() * task.cpus
                    freed[task.team] = freed.get(task.team, 0.0) + task.cpus
                cpus += task.cpus
                gpus += task.gpus
                memory += task.memory
            if not (job.cpus <= cpus + _EPS and job.gpus <= gpus + _EPS and job.memory <= memory + _EPS):
                continue
            if best_loss is None or loss < best_loss:
                best, best_loss = (machine, chosen), loss
        if best is None:
            return False
        machine, chosen = best
        for task in chosen:
            task.stopping = True
            self.plan.stops.append(Stop(task.job, task.index, machine.name, job.id))
            self._use(task.team, -task.cpus, -task.gpus)
        machine.claims[job.id] = machine.claims.get(job.id, 0) + 1
        self.plan.claims.append((machine.name, job.id, 1))
        self._use(job.team, job.cpus, job.gpus)
        return True
