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

from spindleglade.backfill.snapshot import Freeing, Plan, Unmet, claimable_cpus
from spindleglade.clock import ZERO, Clock, seconds, sleep
from spindleglade.fleet.client import (
    MOST_RELEASED,
    MOST_RENTED,
    CloudClient,
    NoCapacity,
    Refused,
    Silent,
    Withheld,
)
from spindleglade.fleet.demand import Kind, Offer, Refusals, Room, Rooms, rentals, soon_free
from spindleglade.fleet.messages import Listed, MachineType, Rent
from spindleglade.fleet.ordinary import OrdinaryPolicy
from spindleglade.loop import Loop
from spindleglade.settings.operator import FleetSettings, WorkerSettings
from spindleglade.tasks import spawn
from spindleglade.web import Crowded, NoAnswer
from spindleglade.workers.attempts import Machine
from spindleglade.workers.cluster import Cluster

log = logging.getLogger("spindleglade.fleet")

# Fewer machines that do not answer say nothing of this node.
FEW = 3
# Between two passes of renting and giving back.
MANAGE_EVERY = seconds(0.5)
# How soon a release that failed is tried again.
RELEASE_AGAIN_AFTER = seconds(0.7)


@dataclass(slots=True)
class Booting:
    type: MachineType
    zone: str
    spot: bool
    since: timedelta
    # Listed as running when it was found.
    up: bool = False


class FleetManager:
    def __init__(
        self,
        cluster: Cluster,
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
        self._soonest = soonest
        self._ordinary = OrdinaryPolicy(settings)
        # A machine that has been silent for so long has missed reports.
        self._patience = cluster.rules.report * 2 + seconds(0.5)
        self._silence = cluster.rules.lease + seconds(workers.silence_margin_s)
        # A machine that misses so many reports and does not answer either is given up before its lease ends.
        self._early = max(cluster.rules.report * workers.silent_reports, seconds(4))
        self._show = show
        self._changed = changed
        self._greet = greet
        self._greeted: set[str] = set()
        self._refusals = Refusals(seconds(settings.refused_s), seconds(settings.refused_most_s))
        self._booting: dict[str, Booting] = {}
        # Requests made, which number their names.
        self._asked = 0
        # Requests under way: what they may bring counts as booting until they are answered.
        self._asking: dict[str, tuple[Rent, MachineType]] = {}
        # Machines being given back, with their kind as far as it is known.
        self._releasing: dict[str, Kind | None] = {}
        # Zones from which nothing is heard.
        self._cut: set[str] = set()
        self._probing: set[str] = set()
        self._to_probe: dict[str, Machine] = {}
        self._probes = probes
        self._proven = proven
        self._unmet: list[Unmet] = []
        self._freeing: Callable[[], Freeing] = Freeing.nothing
        self._spare = 0.0
        self._used: dict[str, float] = {}
        # Whether this node's messages reach none or few of the machines, though theirs arrive by way of its
        # siblings: it is cut off from them, and another would lead better.
        self.unheard = False
        self._stopped = False
        self._loops = (
            Loop(clock, "machine list", self._read_list, partial(sleep, clock, seconds(settings.list_s))),
            Loop(clock, "fleet", self._manage, partial(sleep, clock, MANAGE_EVERY), waits_first=True),
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
    def stalled(self) -> str | None:
        """Why machines are not managed, if so."""
        return next((loop.stalled for loop in self._loops if loop.stalled), None)

    @property
    def summary(self) -> str:
        """What is on its way and what keeps machines from being rented, for the log."""
        paused = self._refusals.paused(self._clock.now())
        return (
            f"machines_booting={len(self._booting)} rentals_under_way={len(self._asking)} "
            f"kinds_refused={paused} term_proven={self._proven()}"
        )

    @property
    def ready(self) -> bool:
        """Whether work has to start sooner than a machine boots, so that machines must stand ready. The
        settings do not say whether money counts; it is taken to, except there. An aim that leaves time for a
        boot once passed for readiness too, and 71 ordinary machines were rented at four times the price."""
        types = self._types()
        if self._soonest is None or not types:
            return False
        return self._soonest < min(seconds(entry.boot_s) for entry in types)

    def demand(self, plan: Plan) -> None:
        """What the latest planning round found no room for, and what will be free soon."""
        self._unmet = plan.unmet
        self._spare, self._used = plan.spare_cpus, plan.used_cpus
        self._freeing = plan.freeing
        self._ordinary.waits(plan.unmet, self._cluster.teams, self._clock.now())

    async def _manage(self) -> None:
        now = self._clock.now()
        self._arrived()
        self.unheard = False
        if not self._proven():
            # The cloud knows no tokens and does what anybody asks. A leader that had stood still for
            # 20 s, and did not know of its successor yet, once gave back every machine as silent.
            return
        self._probe(now)
        self._give_back(now)
        self._rent(now)

    def _arrived(self) -> None:
        with self._cluster.lock:
            for name in [name for name in self._booting if name in self._cluster.machines]:
                del self._booting[name]

    def _probe(self, now: timedelta) -> None:
        """Asks the machines that have missed reports straight. Where most of them have, it is this node that
        is cut off, and nothing is concluded."""
        missing, living, deaf = [], [], []
        with self._cluster.lock:
            for machine in self._cluster.machines.values():
                if not machine.address:
                    continue
                silent = self._cluster.silent(machine, now, self._patience)
                (missing if silent else living).append(machine)
                if machine.not_receiving is not None:
                    deaf.append(machine)
            # Their leases are renewed by a node that cannot reach this one; they can be asked all the same,
            # and are of use again. While nodes refused each other's links, two thirds of all stood idle.
            wanted = [m for m in living if m.heard is not None and now - m.heard > self._patience]
            if len(missing) <= len(living):
                wanted += [m for m in missing if m.unanswered_since is None] + deaf
        unanswered, answered, untried = self._cluster.contacts(now)
        if unanswered:
            # Is it they that do not hear, or this node that is not heard? Others tell.
            wanted += untried[: len(unanswered) + FEW]
        tried = len(unanswered) + len(answered)
        enough = min(4 * FEW, tried + len(untried))
        self.unheard = tried >= enough and len(unanswered) >= max(FEW, len(answered) * 2)
        self._to_probe = {machine.name: machine for machine in wanted}
        self._probe_more()

    def _probe_more(self) -> None:
        """Only so many at once: each that died holds a connection for a while, and the orders for those that
        live need some."""
        while self._to_probe and len(self._probing) < self._probes and not self._stopped:
            name, machine = self._to_probe.popitem()
            if name not in self._probing and name not in self._releasing:
                self._probing.add(name)
                spawn(self._ask_machine(machine), "probe")

    async def _ask_machine(self, machine: Machine) -> None:
        began = self._clock.now()
        try:
            await self._show(machine)
        except Crowded:
            # Not asked, so nothing is learned.
            pass
        except NoAnswer as error:
            with self._cluster.lock:
                machine.unreached = self._clock.now()
                if machine.heard is None or machine.heard < began:
                    machine.unanswered_since = machine.unreached
            log.info("machine does not answer machine=%s reason=%s", machine.name, error)
        finally:
            self._probing.discard(machine.name)
            self._probe_more()

    # Renting.

    def _offers(self, now: timedelta) -> list[Offer]:
        offers = []
        there: dict[str, int] = {}
        with self._cluster.lock:
            for machine in self._cluster.machines.values():
                there[machine.zone] = there.get(machine.zone, 0) + 1
        for boot in self._booting.values():
            there[boot.zone] = there.get(boot.zone, 0) + 1
        for rent, _ in self._asking.values():
            there[rent.zone] = there.get(rent.zone, 0) + rent.count
        for machine_type in self._types():
            for zone in machine_type.zones or self._zones:
                for spot in (True, False):
                    offer = Offer(machine_type, zone, spot, there.get(zone, 0), zone in self._cut)
                    if self._refusals.open(offer.kind, now):
                        offers.append(offer)
        return offers

    def _lost(self, boot: Booting, now: timedelta) -> bool:
        """Whether it is no room to count on. The list is old, at times by twice its lag, so after a change of
        leader it still names as running what the one before gave back. Taken for machines on their way until
        they had booted too long, those kept others from being rented. One that runs reports, if it can."""
        return boot.up and now - boot.since > self._silence

    def _rent(self, now: timedelta) -> None:
        if len(self._asking) >= 4 or not self._proven():
            return
        coming = [
            Room(boot.type.name, boot.zone, boot.spot, boot.type.cpus, boot.type.gpus, boot.type.memory_gb)
            for boot in self._booting.values()
            if not self._lost(boot, now)
        ]
        for rent, kind in self._asking.values():
            coming += [
                Room(rent.type, rent.zone, rent.spot, kind.cpus, kind.gpus, kind.memory_gb)
                for _ in range(rent.count)
            ]
        with self._cluster.lock:
            used: dict[str, float] = {}
            for job in self._cluster.jobs.values():
                used[job.spec.team] = used.get(job.spec.team, 0.0) + job.spec.cpus * len(job.placed)
        types = self._types()
        rooms = Rooms(coming)
        if not self.ready:
            soon_free(rooms, self._freeing(), {entry.name: entry.boot_s for entry in types})
        wanted = rentals(
            self._allowed(now),
            rooms,
            self._offers(now),
            self._cluster.teams,
            used,
            MOST_RENTED,
            steady=self.ready,
            overdue=None if self.ready else frozenset(),
        )
        if self.ready and not wanted:
            wanted = self._hold(now)
        for offer, count in wanted:
            self._asked += 1
            # The token is never given twice, so neither is the name, by whichever node.
            rent = Rent(f"r-{self._token}-{self._asked}", offer.type.name, offer.zone, offer.spot, count)
            self._asking[rent.request] = (rent, offer.type)
            spawn(self._ask(rent, offer.type), "ask")

    def _working(self) -> bool:
        with self._cluster.lock:
            return any(job.open for job in self._cluster.jobs.values())

    def _missing_cpus(self) -> float:
        """CPUs that teams could claim by their guarantees beyond what is spare. A machine takes longer to
        boot than such work may wait, so where the aims ask for readiness, and while there is work at all,
        room for the guarantees is kept up."""
        if not self._working():
            return -1e9
        claims = claimable_cpus(self._cluster.teams, self._used)
        now = self._clock.now()
        coming = sum(boot.type.cpus for boot in self._booting.values() if not self._lost(boot, now))
        coming += sum(rent.count * kind.cpus for rent, kind in self._asking.values())
        return claims * self._settings.hold_guarantees - self._spare - coming

    def _hold(self, now: timedelta) -> list[tuple[Offer, int]]:
        missing = self._missing_cpus()
        offers = [offer for offer in self._offers(now) if offer.type.cpus > 0]
        if missing <= 0 or not offers:
            return []
        offer = min(
            offers, key=lambda offer: (offer.cut, offer.spot, offer.price / offer.type.cpus, offer.there)
        )
        return [(offer, min(MOST_RENTED, math.ceil(missing / offer.type.cpus)))]

    def _allowed(self, now: timedelta) -> list[Unmet]:
        """What waits for room, with what of it may have ordinary machines; where readiness counts, all."""
        if self.ready:
            return self._unmet
        booting = (boot for boot in self._booting.values() if not self._lost(boot, now))
        with self._cluster.lock:
            spot_there = any(machine.spot for machine in self._cluster.machines.values())
        # Requests under way do not count: one kind after the other is asked for, and all may be refused.
        spot_there = spot_there or any(boot.spot for boot in booting)
        return self._ordinary.allow(self._unmet, self._cluster.has_begun, spot_there, now)

    async def _ask(self, rent: Rent, kind: MachineType) -> None:
        key: Kind = (rent.type, rent.zone, rent.spot)
        try:
            for _ in range(5):
                try:
                    names = await self._cloud.rent(rent, self._proven)
                except Withheld:
                    # What an earlier try may have brought is found in the list.
                    log.info("rental given up request=%s reason=no proof of the term", rent.request)
                    return
                except NoCapacity:
                    self._refusals.refused(key, self._clock.now())
                    log.info("rental refused type=%s zone=%s spot=%s reason=no capacity", *key)
                    return
                except Refused as error:
                    log.info("rental refused type=%s zone=%s spot=%s reason=%s", *key, error)
                    self._refusals.refused(key, self._clock.now())
                    return
                except Silent as error:
                    # Asked again by the same name, the cloud gives the same machines.
                    log.info("rental unanswered request=%s reason=%s", rent.request, error)
                    if self._stopped:
                        return
                    continue
                now = self._clock.now()
                for name in names:
                    self._booting[name] = Booting(kind, rent.zone, rent.spot, now)
                if len(names) < rent.count:
                    self._refusals.refused(key, now)
                else:
                    self._refusals.granted(key)
                log.info("rented type=%s zone=%s spot=%s asked=%d got=%s", *key, rent.count, ",".join(names))
                return
        finally:
            del self._asking[rent.request]
            # Another kind may have what this one lacks.
            if not self._stopped:
                self._rent(self._clock.now())

    # Giving back.

    def _give_back(self, now: timedelta) -> None:
        names: dict[str, str] = {}
        extra = -self._missing_cpus() if self.ready else math.inf
        # While there is work, a machine kept up is also a warm image cache.
        patience = seconds(
            self._settings.idle_ready_s if self.ready and self._working() else self._settings.idle_s
        )
        dear = seconds(self._settings.idle_ordinary_s)
        with self._cluster.lock:
            self._watch_zones(now)
            for machine in self._cluster.machines.values():
                if machine.name in self._releasing:
                    continue
                reason = None
                if self._cluster.silent(machine, now, self._silence):
                    reason = "silent"
                elif (
                    machine.unanswered_since is not None
                    and machine.zone not in self._cut
                    and self._cluster.silent(machine, now, self._early)
                ):
                    reason = "silent and does not answer"
                elif machine.not_receiving is not None and now - machine.not_receiving > self._silence * 2:
                    reason = "does not hear"
                elif machine.condemned and not machine.placed:
                    reason = "faulty"
                elif any(now - sent > self._cluster.rules.lease / 2 for sent in machine.unsure_of_aborted()):
                    # A start of an aborted job may still land there, and nothing else could take it back.
                    reason = "unsure start of an aborted job"
                elif (
                    machine.idle_since is not None
                    and not machine.placed
                    and now - machine.idle_since > (patience if machine.spot or self.ready else dear)
                ):
                    cpus = (
                        self._cluster.kinds[machine.type].cpus if machine.type in self._cluster.kinds else 0
                    )
                    if cpus <= extra:
                        extra -= cpus
                        reason = "idle"
                if reason is not None:
                    machine.releasing = True
                    names[machine.name] = reason
        for name, boot in list(self._booting.items()):
            if now - boot.since > seconds(boot.type.boot_s * self._settings.boot_patience):
                names[name] = "boots too long"
        if names:
            self._release(names)

    def _watch_zones(self, now: timedelta) -> None:
        """Where most of a zone fell silent together, that is a cut, not machines that died one by one. Their
        workers need some seconds to find a node that they reach, and it some more to vouch for them. It lasts
        until one there is heard: that all have been given up by then says nothing of the zone."""
        seen: dict[str, list[bool]] = {}
        for machine in self._cluster.machines.values():
            seen.setdefault(machine.zone, []).append(self._cluster.silent(machine, now, self._patience))
        for zone, silent in seen.items():
            if sum(silent) >= max(3, len(silent) / 2):
                self._cut.add(zone)
            elif not all(silent):
                self._cut.discard(zone)

    def _kind(self, name: str) -> Kind | None:
        with self._cluster.lock:
            machine = self._cluster.machines.get(name)
        if machine is not None:
            return (machine.type, machine.zone, machine.spot)
        boot = self._booting.get(name)
        return None if boot is None else (boot.type.name, boot.zone, boot.spot)

    def _release(self, names: dict[str, str]) -> None:
        for name in names:
            self._releasing[name] = self._kind(name)
            self._booting.pop(name, None)
        chosen = list(names)
        for at in range(0, len(chosen), MOST_RELEASED):
            part = {name: names[name] for name in chosen[at : at + MOST_RELEASED]}
            spawn(self._release_part(part), "release part")

    async def _release_part(self, names: dict[str, str]) -> None:
        while not self._stopped:
            try:
                # Each try needs the term: a leader that stood still between two of them may have a successor
                # that uses the machines.
                await self._cloud.release(list(names), self._proven)
            except (Refused, Silent, Withheld) as error:
                log.info("release delayed machines=%s reason=%s", ",".join(names), error)
                await sleep(self._clock, RELEASE_AGAIN_AFTER)
                continue
            except Exception:
                # Given up, the machines would neither be used nor given back for as long as this node leads.
                log.exception("release broke machines=%s", ",".join(names))
                await sleep(self._clock, RELEASE_AGAIN_AFTER)
                continue
            for name, reason in names.items():
                self._cluster.machine_gone(name, reason)
                kind = self._releasing.pop(name, None)
                if kind is not None:
                    self._refusals.given_back(kind, self._clock.now())
            self._changed()
            return

    # The list.

    async def _read_list(self) -> None:
        try:
            self._listed(await self._cloud.machines())
        except (Refused, Silent) as error:
            log.info("machines not listed reason=%s", error)

    def _listed(self, listed: list[Listed]) -> None:
        now = self._clock.now()
        types = {machine_type.name: machine_type for machine_type in self._types()}
        failed: dict[str, str] = {}
        with self._cluster.lock:
            known, gone = set(self._cluster.machines), set(self._cluster.gone)
            proven = {machine.name for machine in self._cluster.machines.values() if machine.proven}
            sessions = {
                machine.name: max(assignment.session for assignment in machine.placed.values())
                for machine in self._cluster.machines.values()
                if machine.placed
            }
        self._cluster.found(
            [
                (machine.name, machine.address, machine.zone)
                for machine in listed
                if machine.stage == "running" and machine.name not in self._releasing
            ]
        )
        for machine in listed:
            if machine.name in self._releasing:
                continue
            if machine.stage == "running" and machine.name not in (self._greeted | proven | gone):
                self._greeted.add(machine.name)
                self._greet(machine.address, sessions.get(machine.name, 1))
            if machine.stage == "failed" and machine.name not in gone:
                failed[machine.name] = "failed"
            elif machine.name in known or machine.name in gone or machine.name in self._booting:
                continue
            elif machine.type in types:
                # Rented by a leader before us, or by a request that we gave up: it will report, or be given
                # back for booting too long.
                age = min(seconds(machine.age_s), now) if machine.stage == "starting" else ZERO
                self._booting[machine.name] = Booting(
                    types[machine.type], machine.zone, machine.spot, now - age, machine.stage == "running"
                )
                log.info("machine found machine=%s stage=%s", machine.name, machine.stage)
        if failed and self._proven():
            self._release(failed)
