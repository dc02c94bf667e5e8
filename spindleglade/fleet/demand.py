"""How many machines of which kind to rent for the work that found no room. Pure logic.

Waiting tasks are packed onto the machines that are booting; what is left over is packed onto machines to be
rented, of the kind that runs it at the least price.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

import numpy as np
from numpy.typing import ArrayLike

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.plan import ExpectedRelease, UnplacedDemand
from spindleglade.backfill.snapshot import JobView, MachineView
from spindleglade.fleet.messages import MachineType
from spindleglade.settings.platform import Team

MachinePool = tuple[str, str, bool]


@dataclass(slots=True)
class MachineOffer:
    """A kind of machine that may be had now."""

    type: MachineType
    zone: str
    spot: bool
    # Machines already in its zone, booting ones too.
    machines_in_zone: int = 0
    # Nothing is heard from its zone.
    zone_partitioned: bool = False

    @property
    def pool(self) -> MachinePool:
        return (self.type.name, self.zone, self.spot)

    @property
    def price(self) -> float:
        return self.type.spot_price if self.spot else self.type.price


class FreeCapacity(NamedTuple):
    """A machine on its way: what is still free on it once it is up."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float


class CapacityPool:
    """Many of them as columns, filled in order."""

    def __init__(self, rooms: Sequence[FreeCapacity] = ()) -> None:
        self._kinds: dict[MachinePool, int] = {}
        self._codes = np.zeros(0, np.int64)
        self._free = np.zeros((0, 3))
        self._add([room[:3] for room in rooms], [room[3:] for room in rooms])

    def _add(self, kinds: list[MachinePool], free: ArrayLike) -> None:
        codes = [self._kinds.setdefault(kind, len(self._kinds)) for kind in kinds]
        self._codes = np.append(self._codes, np.array(codes, np.int64))
        self._free = np.vstack((self._free, np.reshape(free, (-1, 3))))

    def add(self, machines: Sequence[MachineView], free: Array) -> None:
        self._add([(view.type, view.zone, view.spot) for view in machines], free)

    def add_new(self, offer: MachineOffer) -> None:
        self._add([offer.pool], (offer.type.cpus, offer.type.gpus, offer.type.memory_gb))

    def allocate(self, job: JobView, most: int) -> int:
        """Puts up to that many tasks of the job into the rooms; returns how many fitted."""
        suits = np.array([_is_eligible(job, *kind) for kind in self._kinds], bool)
        if most <= 0 or not suits.any():
            return 0
        fits = np.where(suits[self._codes], job.count_fitting_each(self._free), 0.0)
        before = np.cumsum(fits) - fits
        taken = np.clip(most - before, 0.0, fits)
        self._free -= taken[:, None] * np.array(job.demand)
        return int(taken.sum())


def add_soon_free_capacity(rooms: CapacityPool, freeing: ExpectedRelease, boot_s: dict[str, float]) -> None:
    """Adds running machines as room for waiting work: what will be free there before a machine rented now
    could be up. Renting for it would pay for a boot and save no time."""
    horizon = np.array([boot_s.get(view.type, 0.0) for view in freeing.machines])
    free = freeing.free.copy()
    if len(freeing.machine_indices):
        soon = freeing.seconds_until < horizon[freeing.machine_indices]
        np.add.at(free, freeing.machine_indices[soon], freeing.released[soon])
    rooms.add(freeing.machines, free)


def _is_eligible(job: JobView, type: str, zone: str, spot: bool) -> bool:
    return (
        (job.types is None or type in job.types)
        and (job.zone is None or job.zone == zone)
        and (job.spot or not spot)
        and not (job.one_zone and any(count and at != zone for at, count in job.tasks_by_zone.items()))
    )


def _may_use_on_demand(entry: UnplacedDemand, overdue: frozenset[str]) -> bool:
    return not entry.job.spot or entry.may_use_on_demand or entry.job.id in overdue


def _demand_key(entry: UnplacedDemand, may_use_on_demand: bool) -> tuple:
    """Work with the same key is rented for as one: it fits the same machines and counts against the same
    limit. A queue of hundreds of jobs over hundreds of machines, each job by itself, took a third of the
    leader's time."""
    job = entry.job
    key = (job.team, *job.placement_key(), may_use_on_demand)
    return (*key, job.id) if job.one_zone else key


def choose_provisioning(
    unplaced: list[UnplacedDemand],
    rooms: CapacityPool,
    offers: list[MachineOffer],
    teams: dict[str, Team],
    used_cpus: dict[str, float],
    most: int,
    steady: bool = False,
    overdue: frozenset[str] | None = None,
) -> list[tuple[MachineOffer, int]]:
    """`rooms` is used up. Where `overdue` is given, work that may use spot machines gets ordinary ones only
    if its job is in it or the entry says so; else whatever is cheapest, with `steady` ordinary ones first."""
    wanted: dict[MachinePool, int] = {}
    by_kind = {offer.pool: offer for offer in offers}
    used = dict(used_cpus)
    asked = 0
    alike: dict[tuple, tuple[JobView, int, bool]] = {}
    for entry in unplaced:
        may_use_on_demand = overdue is None or _may_use_on_demand(entry, overdue)
        key = _demand_key(entry, may_use_on_demand)
        job, count, _ = alike.get(key, (entry.job, 0, may_use_on_demand))
        alike[key] = (job, count + entry.count, may_use_on_demand)
    for job, count, may_use_on_demand in alike.values():
        team = teams.get(job.team)
        if team is None:
            continue
        left = min(count, job.count_fitting(team.cpus_max - used.get(job.team, 0.0), math.inf))
        took = rooms.allocate(job, left)
        while took < left and asked < most:
            offer = _cheapest_offer(job, offers, steady, may_use_on_demand, wanted)
            if offer is None:
                break
            wanted[offer.pool] = wanted.get(offer.pool, 0) + 1
            asked += 1
            rooms.add_new(offer)
            took += rooms.allocate(job, left - took)
        used[job.team] = used.get(job.team, 0.0) + job.cpus * took
    return [(by_kind[kind], count) for kind, count in wanted.items()]


def _cheapest_offer(
    job: JobView,
    offers: list[MachineOffer],
    steady: bool,
    may_use_on_demand: bool,
    wanted: dict[MachinePool, int],
) -> MachineOffer | None:
    """The least price for each CPU the job's tasks can use; among equals the smaller machine, which stands
    idle less, then the zone with the fewest machines: a zone that is cut off then takes no more than its
    share of the fleet with it. One that is cut off comes last: it has the fewest machines just when all of
    them have been given up, and a new one there can no more report than they could. `steady`: machines that
    are not taken back come first whatever they cost. Without `ordinary` only spot machines are looked at."""
    best, best_score = None, None
    for offer in offers:
        fits = job.count_fitting(offer.type.cpus, offer.type.gpus, offer.type.memory_gb)
        if fits == 0 or not _is_eligible(job, offer.type.name, offer.zone, offer.spot):
            continue
        if not may_use_on_demand and not offer.spot:
            continue
        # Of a machine that the job's shape cannot fill, the rest may serve others: it counts half.
        filled = min(1.0, fits * job.cpus / offer.type.cpus)
        price = offer.price / (offer.type.cpus * (filled + 1) / 2)
        there = offer.machines_in_zone + wanted.get(offer.pool, 0)
        score = (offer.zone_partitioned, steady and offer.spot, price, offer.type.cpus, there)
        if best_score is None or score < best_score:
            best, best_score = offer, score
    return best


@dataclass(slots=True)
class Backoff:
    """How long a kind that was refused is left alone."""

    until: timedelta
    length: timedelta


class CapacityBackoff:
    def __init__(self, first: timedelta, most: timedelta) -> None:
        self._first = first
        self._most = most
        self._pauses: dict[MachinePool, Backoff] = {}

    def on_rejected(self, kind: MachinePool, now: timedelta) -> None:
        pause = self._pauses.get(kind)
        length = self._first if pause is None else min(pause.length * 2, self._most)
        self._pauses[kind] = Backoff(now + length, length)

    def on_provisioned(self, kind: MachinePool) -> None:
        self._pauses.pop(kind, None)

    def on_terminated(self, kind: MachinePool, now: timedelta) -> None:
        """There is one to be had again. Refused once more, it is left alone for longer all the same."""
        pause = self._pauses.get(kind)
        if pause is not None:
            pause.until = min(pause.until, now)

    def allows(self, kind: MachinePool, now: timedelta) -> bool:
        pause = self._pauses.get(kind)
        return pause is None or now >= pause.until

    def paused_count(self, now: timedelta) -> int:
        """How many kinds are left alone now."""
        return sum(now < pause.until for pause in self._pauses.values())
