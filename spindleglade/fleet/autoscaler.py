"""The leader's dealings with the cloud: renting for demand, giving back what stands idle or is lost.

A machine's release is also the one proof that does not need its worker: once the cloud has answered 200, the
machine and all on it are gone. So the silent ones are released before their tasks are placed anew.
"""

import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from spindleglade.backfill.plan import ExpectedRelease, Plan, UnplacedDemand
from spindleglade.backfill.snapshot import unclaimed_guarantee_cpus
from spindleglade.fleet.client import (
    MAX_PROVISIONED_PER_REQUEST,
    MAX_TERMINATED_PER_REQUEST,
    CloudClient,
    CloudRequestRejectedError,
    CloudTimeoutError,
    InsufficientCapacityError,
    LeadershipUnprovenError,
)
from spindleglade.fleet.demand import (
    CapacityBackoff,
    CapacityPool,
    FreeCapacity,
    MachineOffer,
    MachinePool,
    add_soon_free_capacity,
    choose_provisioning,
)
from spindleglade.fleet.messages import ListedMachine, MachineType, ProvisionRequest
from spindleglade.fleet.on_demand import OnDemandPolicy
from spindleglade.http.errors import ConnectionLimitError, NoResponseError
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ZERO, Clock, seconds, sleep
from spindleglade.runtime.periodic_task import PeriodicTask
from spindleglade.settings.operator import FleetSettings, WorkerSettings
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.machines import Machine

log = logging.getLogger("spindleglade.fleet")

# Fewer machines that do not answer say nothing of this node.
MIN_SILENT_MACHINES = 3
# Between two passes of renting and giving back.
SCALING_INTERVAL = seconds(0.5)
# How soon a release that failed is tried again.
TERMINATE_RETRY_DELAY = seconds(0.7)


@dataclass(slots=True)
class BootingMachine:
    type: MachineType
    zone: str
    spot: bool
    since: timedelta
    # Listed as running when it was found.
    listed_as_running: bool = False


class Autoscaler:
    def __init__(
        self,
        cluster: ClusterState,
        cloud: CloudClient,
        clock: Clock,
        token: int,
        types: Callable[[], list[MachineType]],
        zones: list[str],
        settings: FleetSettings,
        workers: WorkerSettings,
        show: Callable[[Machine], Awaitable[None]],
        probes: int,
        proven: Callable[[], bool],
        soonest: timedelta | None,
        changed: Callable[[], None],
        greet: Callable[[str, int], None],
    ) -> None:
        self._cluster = cluster
        self._cloud = cloud
        self._clock = clock
        self._token = token
        self._types = types
        self._zones = zones
        self._settings = settings
        # How soon an aim of the deployment wants work to start.
        self._min_start_objective = soonest
        self._on_demand_policy = OnDemandPolicy(settings)
        # A machine that has been silent for so long has missed reports.
        self._probe_after = cluster.policy.heartbeat_interval * 2 + seconds(0.5)
        self._silence_limit = cluster.policy.lease + seconds(workers.silence_margin_s)
        # A machine that misses so many reports and does not answer either is given up before its lease ends.
        self._unanswered_silence_limit = max(
            cluster.policy.heartbeat_interval * workers.silent_reports, seconds(4)
        )
        self._request_status = show
        self._on_changed = changed
        self._introduce_leader = greet
        self._introduced: set[str] = set()
        self._capacity_backoff = CapacityBackoff(
            seconds(settings.refused_s), seconds(settings.refused_most_s)
        )
        self._booting: dict[str, BootingMachine] = {}
        # Requests made, which number their names.
        self._request_count = 0
        # Requests under way: what they may bring counts as booting until they are answered.
        self._pending_requests: dict[str, tuple[ProvisionRequest, MachineType]] = {}
        # Machines being given back, with their kind as far as it is known.
        self._terminating: dict[str, MachinePool | None] = {}
        # Zones from which nothing is heard.
        self._partitioned_zones: set[str] = set()
        self._probing: set[str] = set()
        self._to_probe: dict[str, Machine] = {}
        self._max_probes = probes
        self._is_leadership_proven = proven
        self._unplaced_demand: list[UnplacedDemand] = []
        self._expected_release: Callable[[], ExpectedRelease] = ExpectedRelease.nothing
        self._spare_cpus = 0.0
        self._used_cpus: dict[str, float] = {}
        # Whether this node's messages reach none or few of the machines, though theirs arrive by way of its
        # siblings: it is cut off from them, and another would lead better.
        self.is_unreachable_for_machines = False
        self._stopped = False
        self._loops = (
            PeriodicTask(
                clock, "machine list", self._read_list, partial(sleep, clock, seconds(settings.list_s))
            ),
            PeriodicTask(
                clock, "fleet", self._scale, partial(sleep, clock, SCALING_INTERVAL), waits_first=True
            ),
        )

    def start(self) -> None:
        """Begins to watch the list of machines, to rent and to give back."""
        for loop in self._loops:
            loop.start()

    def stop(self) -> None:
        """Nothing is asked of the cloud any more."""
        self._stopped = True
        for loop in self._loops:
            loop.stop()

    @property
    def stall_reason(self) -> str | None:
        """Why machines are not managed, if so."""
        return next((loop.stall_reason for loop in self._loops if loop.stall_reason), None)

    @property
    def summary(self) -> str:
        """What is on its way and what keeps machines from being rented, for the log."""
        paused = self._capacity_backoff.paused_count(self._clock.now())
        return (
            f"machines_booting={len(self._booting)} rentals_under_way={len(self._pending_requests)} "
            f"kinds_refused={paused} term_proven={self._is_leadership_proven()}"
        )

    @property
    def needs_headroom(self) -> bool:
        """Whether work has to start sooner than a machine boots, so that machines must stand ready. The
        settings do not say whether money counts; it is taken to, except there. An aim that leaves time for a
        boot once passed for readiness too, and 71 ordinary machines were rented at four times the price."""
        types = self._types()
        if self._min_start_objective is None or not types:
            return False
        return self._min_start_objective < min(seconds(entry.boot_s) for entry in types)

    def on_plan(self, plan: Plan) -> None:
        """What the latest planning round found no room for, and what will be free soon."""
        self._unplaced_demand = plan.unplaced
        self._spare_cpus, self._used_cpus = plan.spare_cpus, plan.used_cpus
        self._expected_release = plan.expected_release
        self._on_demand_policy.observe_demand(plan.unplaced, self._cluster.teams, self._clock.now())

    async def _scale(self) -> None:
        now = self._clock.now()
        self._forget_booted_machines()
        self.is_unreachable_for_machines = False
        if not self._is_leadership_proven():
            # The cloud knows no tokens and does what anybody asks. A leader that had stood still for
            # 20 s, and did not know of its successor yet, once gave back every machine as silent.
            return
        self._probe_silent_machines(now)
        self._scale_in(now)
        self._scale_out(now)

    def _forget_booted_machines(self) -> None:
        with self._cluster.lock:
            for name in [name for name in self._booting if name in self._cluster.machines]:
                del self._booting[name]

    def _probe_silent_machines(self, now: timedelta) -> None:
        """Asks the machines that have missed reports straight. Where most of them have, it is this node that
        is cut off, and nothing is concluded."""
        missing, living, deaf = [], [], []
        with self._cluster.lock:
            for machine in self._cluster.machines.values():
                if not machine.address:
                    continue
                silent = self._cluster.is_silent(machine, now, self._probe_after)
                (missing if silent else living).append(machine)
                if machine.unreachable_since is not None:
                    deaf.append(machine)
            # Their leases are renewed by a node that cannot reach this one; they can be asked all the same,
            # and are of use again. While nodes refused each other's links, two thirds of all stood idle.
            wanted = [
                m
                for m in living
                if m.last_heartbeat_at is not None and now - m.last_heartbeat_at > self._probe_after
            ]
            if len(missing) <= len(living):
                wanted += [m for m in missing if m.unanswered_since is None] + deaf
        unanswered, answered, untried = self._cluster.reachability(now)
        if unanswered:
            # Is it they that do not hear, or this node that is not heard? Others tell.
            wanted += untried[: len(unanswered) + MIN_SILENT_MACHINES]
        tried = len(unanswered) + len(answered)
        enough = min(4 * MIN_SILENT_MACHINES, tried + len(untried))
        self.is_unreachable_for_machines = tried >= enough and len(unanswered) >= max(
            MIN_SILENT_MACHINES, len(answered) * 2
        )
        self._to_probe = {machine.name: machine for machine in wanted}
        self._start_probes()

    def _start_probes(self) -> None:
        """Only so many at once: each that died holds a connection for a while, and the orders for those that
        live need some."""
        while self._to_probe and len(self._probing) < self._max_probes and not self._stopped:
            name, machine = self._to_probe.popitem()
            if name not in self._probing and name not in self._terminating:
                self._probing.add(name)
                run_in_background(self._probe_machine(machine), "probe")

    async def _probe_machine(self, machine: Machine) -> None:
        began = self._clock.now()
        try:
            await self._request_status(machine)
        except ConnectionLimitError:
            # Not asked, so nothing is learned.
            pass
        except NoResponseError as error:
            with self._cluster.lock:
                machine.last_command_unanswered_at = self._clock.now()
                if machine.last_heartbeat_at is None or machine.last_heartbeat_at < began:
                    machine.unanswered_since = machine.last_command_unanswered_at
            log.info("machine does not answer machine=%s reason=%s", machine.name, error)
        finally:
            self._probing.discard(machine.name)
            self._start_probes()

    # Renting.

    def _offers(self, now: timedelta) -> list[MachineOffer]:
        offers = []
        there: dict[str, int] = {}
        with self._cluster.lock:
            for machine in self._cluster.machines.values():
                there[machine.zone] = there.get(machine.zone, 0) + 1
        for boot in self._booting.values():
            there[boot.zone] = there.get(boot.zone, 0) + 1
        for rent, _ in self._pending_requests.values():
            there[rent.zone] = there.get(rent.zone, 0) + rent.count
        for machine_type in self._types():
            for zone in machine_type.zones or self._zones:
                for spot in (True, False):
                    offer = MachineOffer(
                        machine_type, zone, spot, there.get(zone, 0), zone in self._partitioned_zones
                    )
                    if self._capacity_backoff.allows(offer.pool, now):
                        offers.append(offer)
        return offers

    def _is_lost(self, boot: BootingMachine, now: timedelta) -> bool:
        """Whether it is no room to count on. The list is old, at times by twice its lag, so after a change of
        leader it still names as running what the one before gave back. Taken for machines on their way until
        they had booted too long, those kept others from being rented. One that runs reports, if it can."""
        return boot.listed_as_running and now - boot.since > self._silence_limit

    def _scale_out(self, now: timedelta) -> None:
        if len(self._pending_requests) >= 4 or not self._is_leadership_proven():
            return
        coming = [
            FreeCapacity(
                boot.type.name, boot.zone, boot.spot, boot.type.cpus, boot.type.gpus, boot.type.memory_gb
            )
            for boot in self._booting.values()
            if not self._is_lost(boot, now)
        ]
        for rent, kind in self._pending_requests.values():
            coming += [
                FreeCapacity(rent.type, rent.zone, rent.spot, kind.cpus, kind.gpus, kind.memory_gb)
                for _ in range(rent.count)
            ]
        with self._cluster.lock:
            used: dict[str, float] = {}
            for job in self._cluster.jobs.values():
                used[job.spec.team] = used.get(job.spec.team, 0.0) + job.spec.cpus * len(job.placed)
        types = self._types()
        rooms = CapacityPool(coming)
        if not self.needs_headroom:
            add_soon_free_capacity(
                rooms, self._expected_release(), {entry.name: entry.boot_s for entry in types}
            )
        wanted = choose_provisioning(
            self._demand_with_on_demand_allowed(now),
            rooms,
            self._offers(now),
            self._cluster.teams,
            used,
            MAX_PROVISIONED_PER_REQUEST,
            steady=self.needs_headroom,
            overdue=None if self.needs_headroom else frozenset(),
        )
        if self.needs_headroom and not wanted:
            wanted = self._provision_headroom(now)
        for offer, count in wanted:
            self._request_count += 1
            # The token is never given twice, so neither is the name, by whichever node.
            rent = ProvisionRequest(
                f"r-{self._token}-{self._request_count}", offer.type.name, offer.zone, offer.spot, count
            )
            self._pending_requests[rent.request_id] = (rent, offer.type)
            run_in_background(self._provision(rent, offer.type), "ask")

    def _has_open_jobs(self) -> bool:
        with self._cluster.lock:
            return any(job.is_open for job in self._cluster.jobs.values())

    def _headroom_deficit_cpus(self) -> float:
        """CPUs that teams could claim by their guarantees beyond what is spare. A machine takes longer to
        boot than such work may wait, so where the aims ask for readiness, and while there is work at all,
        room for the guarantees is kept up."""
        if not self._has_open_jobs():
            return -1e9
        claims = unclaimed_guarantee_cpus(self._cluster.teams, self._used_cpus)
        now = self._clock.now()
        coming = sum(boot.type.cpus for boot in self._booting.values() if not self._is_lost(boot, now))
        coming += sum(rent.count * kind.cpus for rent, kind in self._pending_requests.values())
        return claims * self._settings.hold_guarantees - self._spare_cpus - coming

    def _provision_headroom(self, now: timedelta) -> list[tuple[MachineOffer, int]]:
        missing = self._headroom_deficit_cpus()
        offers = [offer for offer in self._offers(now) if offer.type.cpus > 0]
        if missing <= 0 or not offers:
            return []
        offer = min(
            offers,
            key=lambda offer: (
                offer.zone_partitioned,
                offer.spot,
                offer.price / offer.type.cpus,
                offer.machines_in_zone,
            ),
        )
        return [(offer, min(MAX_PROVISIONED_PER_REQUEST, math.ceil(missing / offer.type.cpus)))]

    def _demand_with_on_demand_allowed(self, now: timedelta) -> list[UnplacedDemand]:
        """What waits for room, with what of it may have ordinary machines; where readiness counts, all."""
        if self.needs_headroom:
            return self._unplaced_demand
        booting = (boot for boot in self._booting.values() if not self._is_lost(boot, now))
        with self._cluster.lock:
            spot_there = any(machine.spot for machine in self._cluster.machines.values())
        # Requests under way do not count: one kind after the other is asked for, and all may be refused.
        spot_there = spot_there or any(boot.spot for boot in booting)
        return self._on_demand_policy.allow(self._unplaced_demand, self._cluster.has_begun, spot_there, now)

    async def _provision(self, rent: ProvisionRequest, kind: MachineType) -> None:
        key: MachinePool = (rent.type, rent.zone, rent.spot)
        try:
            for _ in range(5):
                try:
                    names = await self._cloud.provision(rent, self._is_leadership_proven)
                except LeadershipUnprovenError:
                    # What an earlier try may have brought is found in the list.
                    log.info("rental given up request=%s reason=no proof of the term", rent.request_id)
                    return
                except InsufficientCapacityError:
                    self._capacity_backoff.on_rejected(key, self._clock.now())
                    log.info("rental refused type=%s zone=%s spot=%s reason=no capacity", *key)
                    return
                except CloudRequestRejectedError as error:
                    log.info("rental refused type=%s zone=%s spot=%s reason=%s", *key, error)
                    self._capacity_backoff.on_rejected(key, self._clock.now())
                    return
                except CloudTimeoutError as error:
                    # Asked again by the same name, the cloud gives the same machines.
                    log.info("rental unanswered request=%s reason=%s", rent.request_id, error)
                    if self._stopped:
                        return
                    continue
                now = self._clock.now()
                for name in names:
                    self._booting[name] = BootingMachine(kind, rent.zone, rent.spot, now)
                if len(names) < rent.count:
                    self._capacity_backoff.on_rejected(key, now)
                else:
                    self._capacity_backoff.on_provisioned(key)
                log.info("rented type=%s zone=%s spot=%s asked=%d got=%s", *key, rent.count, ",".join(names))
                return
        finally:
            del self._pending_requests[rent.request_id]
            # Another kind may have what this one lacks.
            if not self._stopped:
                self._scale_out(self._clock.now())

    # Giving back.

    def _scale_in(self, now: timedelta) -> None:
        names: dict[str, str] = {}
        extra = -self._headroom_deficit_cpus() if self.needs_headroom else math.inf
        # While there is work, a machine kept up is also a warm image cache.
        patience = seconds(
            self._settings.idle_ready_s
            if self.needs_headroom and self._has_open_jobs()
            else self._settings.idle_s
        )
        on_demand_idle_limit = seconds(self._settings.idle_ordinary_s)
        with self._cluster.lock:
            self._detect_partitioned_zones(now)
            for machine in self._cluster.machines.values():
                if machine.name in self._terminating:
                    continue
                reason = None
                if self._cluster.is_silent(machine, now, self._silence_limit):
                    reason = "silent"
                elif (
                    machine.unanswered_since is not None
                    and machine.zone not in self._partitioned_zones
                    and self._cluster.is_silent(machine, now, self._unanswered_silence_limit)
                ):
                    reason = "silent and does not answer"
                elif (
                    machine.unreachable_since is not None
                    and now - machine.unreachable_since > self._silence_limit * 2
                ):
                    reason = "does not hear"
                elif machine.quarantined and not machine.placed:
                    reason = "faulty"
                elif any(
                    now - sent > self._cluster.policy.lease / 2
                    for sent in machine.unacknowledged_starts_of_cancelled_jobs()
                ):
                    # A start of an aborted job may still land there, and nothing else could take it back.
                    reason = "unsure start of an aborted job"
                elif (
                    machine.idle_since is not None
                    and not machine.placed
                    and now - machine.idle_since
                    > (patience if machine.spot or self.needs_headroom else on_demand_idle_limit)
                ):
                    cpus = (
                        self._cluster.machine_types[machine.type].cpus
                        if machine.type in self._cluster.machine_types
                        else 0
                    )
                    if cpus <= extra:
                        extra -= cpus
                        reason = "idle"
                if reason is not None:
                    machine.terminating = True
                    names[machine.name] = reason
        for name, boot in list(self._booting.items()):
            if now - boot.since > seconds(boot.type.boot_s * self._settings.boot_patience):
                names[name] = "boots too long"
        if names:
            self._terminate(names)

    def _detect_partitioned_zones(self, now: timedelta) -> None:
        """Where most of a zone fell silent together, that is a cut, not machines that died one by one. Their
        workers need some seconds to find a node that they reach, and it some more to vouch for them. It lasts
        until one there is heard: that all have been given up by then says nothing of the zone."""
        seen: dict[str, list[bool]] = {}
        for machine in self._cluster.machines.values():
            seen.setdefault(machine.zone, []).append(self._cluster.is_silent(machine, now, self._probe_after))
        for zone, silent in seen.items():
            if sum(silent) >= max(3, len(silent) / 2):
                self._partitioned_zones.add(zone)
            elif not all(silent):
                self._partitioned_zones.discard(zone)

    def _pool_of(self, name: str) -> MachinePool | None:
        with self._cluster.lock:
            machine = self._cluster.machines.get(name)
        if machine is not None:
            return (machine.type, machine.zone, machine.spot)
        boot = self._booting.get(name)
        return None if boot is None else (boot.type.name, boot.zone, boot.spot)

    def _terminate(self, names: dict[str, str]) -> None:
        for name in names:
            self._terminating[name] = self._pool_of(name)
            self._booting.pop(name, None)
        chosen = list(names)
        for at in range(0, len(chosen), MAX_TERMINATED_PER_REQUEST):
            part = {name: names[name] for name in chosen[at : at + MAX_TERMINATED_PER_REQUEST]}
            run_in_background(self._terminate_group(part), "release part")

    async def _terminate_group(self, names: dict[str, str]) -> None:
        while not self._stopped:
            try:
                # Each try needs the term: a leader that stood still between two of them may have a successor
                # that uses the machines.
                await self._cloud.terminate(list(names), self._is_leadership_proven)
            except (CloudRequestRejectedError, CloudTimeoutError, LeadershipUnprovenError) as error:
                log.info("release delayed machines=%s reason=%s", ",".join(names), error)
                await sleep(self._clock, TERMINATE_RETRY_DELAY)
                continue
            except Exception:
                # Given up, the machines would neither be used nor given back for as long as this node leads.
                log.exception("release broke machines=%s", ",".join(names))
                await sleep(self._clock, TERMINATE_RETRY_DELAY)
                continue
            for name, reason in names.items():
                self._cluster.on_machine_terminated(name, reason)
                kind = self._terminating.pop(name, None)
                if kind is not None:
                    self._capacity_backoff.on_terminated(kind, self._clock.now())
            self._on_changed()
            return

    # The list.

    async def _read_list(self) -> None:
        try:
            self._apply_machine_list(await self._cloud.list_machines())
        except (CloudRequestRejectedError, CloudTimeoutError) as error:
            log.info("machines not listed reason=%s", error)

    def _apply_machine_list(self, listed: list[ListedMachine]) -> None:
        now = self._clock.now()
        types = {machine_type.name: machine_type for machine_type in self._types()}
        failed: dict[str, str] = {}
        with self._cluster.lock:
            known, gone = set(self._cluster.machines), set(self._cluster.terminated)
            proven = {
                machine.name for machine in self._cluster.machines.values() if machine.acknowledged_token
            }
            incarnations = {
                machine.name: max(assignment.incarnation for assignment in machine.placed.values())
                for machine in self._cluster.machines.values()
                if machine.placed
            }
        self._cluster.observe_listed_machines(
            [
                (machine.name, machine.address, machine.zone)
                for machine in listed
                if machine.state == "running" and machine.name not in self._terminating
            ]
        )
        for machine in listed:
            if machine.name in self._terminating:
                continue
            if machine.state == "running" and machine.name not in (self._introduced | proven | gone):
                self._introduced.add(machine.name)
                self._introduce_leader(machine.address, incarnations.get(machine.name, 1))
            if machine.state == "failed" and machine.name not in gone:
                failed[machine.name] = "failed"
            elif machine.name in known or machine.name in gone or machine.name in self._booting:
                continue
            elif machine.type in types:
                # Rented by a leader before us, or by a request that we gave up: it will report, or be given
                # back for booting too long.
                age = min(seconds(machine.age_s), now) if machine.state == "starting" else ZERO
                self._booting[machine.name] = BootingMachine(
                    types[machine.type], machine.zone, machine.spot, now - age, machine.state == "running"
                )
                log.info("machine found machine=%s stage=%s", machine.name, machine.state)
        if failed and self._is_leadership_proven():
            self._terminate(failed)
