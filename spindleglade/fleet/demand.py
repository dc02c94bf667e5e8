"""How many machines of which kind to rent for the work that found no room. Pure logic.

Waiting tasks are packed onto the machines that are booting; what is left over is packed onto machines to be
rented, of the kind that runs it at the least price.
"""

from dataclasses import dataclass
from datetime import timedelta

from spindleglade.backfill.snapshot import Freeing, JobView, Unmet
from spindleglade.fleet.messages import MachineType
from spindleglade.settings.platform import Team

_EPS = 1e-6
Kind = tuple[str, str, bool]


@dataclass(slots=True)
class Offer:
    """A kind of machine that may be had now."""

    type: MachineType
    zone: str
    spot: bool
    # Machines already in its zone, booting ones too.
    there: int = 0

    @property
    def kind(self) -> Kind:
        return (self.type.name, self.zone, self.spot)

    @property
    def price(self) -> float:
        return self.type.spot_price if self.spot else self.type.price


@dataclass(slots=True)
class Room:
    """A machine on its way: what is still free on it once it is up."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float

    def take(self, job: JobView, most: int) -> int:
        """Puts up to that many tasks of the job here; returns how many fitted."""
        if job.cpus > self.cpus + _EPS or not _suits(job, self.type, self.zone, self.spot):
            return 0
        fits = [most, int((self.cpus + _EPS) / job.cpus)]
        if job.gpus > 0:
            fits.append(int((self.gpus + _EPS) / job.gpus))
        if job.memory > 0:
            fits.append(int((self.memory + _EPS) / job.memory))
        count = max(0, min(fits))
        self.cpus -= job.cpus * count
        self.gpus -= job.gpus * count
        self.memory -= job.memory * count
        return count


def soon_free(freeing: list[Freeing], boot_s: dict[str, float]) -> list[Room]:
    """Running machines as room for waiting work: what will be free there before a machine rented now could
    be up. Renting for it would pay for a boot and save no time."""
    rooms = []
    for entry in freeing:
        machine, horizon = entry.machine, boot_s.get(entry.machine.type, 0.0)
        cpus, gpus, memory = entry.free + entry.tasks[entry.tasks[:, 0] < horizon, 1:].sum(axis=0)
        rooms.append(Room(machine.type, machine.zone, machine.spot, float(cpus), float(gpus), float(memory)))
    return rooms


def _suits(job: JobView, type: str, zone: str, spot: bool) -> bool:
    return (
        (job.types is None or type in job.types)
        and (job.zone is None or job.zone == zone)
        and (job.spot or not spot)
        and not (job.one_zone and any(count and at != zone for at, count in job.zones.items()))
    )


def _per_machine(job: JobView, type: MachineType) -> int:
    fits = [type.cpus / job.cpus]
    if job.gpus > 0:
        fits.append(type.gpus / job.gpus)
    if job.memory > 0:
        fits.append(type.memory_gb / job.memory)
    return int(min(fits) + _EPS)


def rentals(
    unmet: list[Unmet],
    booting: list[Room],
    offers: list[Offer],
    teams: dict[str, Team],
    used_cpus: dict[str, float],
    most: int,
    steady: bool = False,
    overdue: frozenset[str] | None = None,
) -> list[tuple[Offer, int]]:
    rooms = list(booting)
    wanted: dict[Kind, int] = {}
    by_kind = {offer.kind: offer for offer in offers}
    used = dict(used_cpus)
    asked = 0
    for entry in unmet:
        job = entry.job
        team = teams.get(job.team)
        if team is None:
            continue
        left = min(entry.count, int((team.cpus_max - used.get(job.team, 0.0) + _EPS) / job.cpus))
        for room in rooms:
            if left <= 0:
                break
            took = room.take(job, left)
            left -= took
            used[job.team] = used.get(job.team, 0.0) + job.cpus * took
        while left > 0 and asked < most:
            offer = _cheapest(job, offers, steady, overdue, wanted)
            if offer is None:
                break
            wanted[offer.kind] = wanted.get(offer.kind, 0) + 1
            asked += 1
            room = Room(
                offer.type.name,
                offer.zone,
                offer.spot,
                offer.type.cpus,
                offer.type.gpus,
                offer.type.memory_gb,
            )
            took = room.take(job, left)
            left -= took
            used[job.team] = used.get(job.team, 0.0) + job.cpus * took
            rooms.append(room)
    return [(by_kind[kind], count) for kind, count in wanted.items()]


def _cheapest(
    job: JobView,
    offers: list[Offer],
    steady: bool,
    overdue: frozenset[str] | None,
    wanted: dict[Kind, int],
) -> Offer | None:
    """The least price for each CPU the job's tasks can use; among equals the smaller machine, which stands
    idle less, then the zone with the fewest machines: a zone that is cut off then takes no more than its
    share of the fleet with it. `steady`: machines that are not taken back come first whatever they
    cost. With `overdue`, work that may use spot machines gets ordinary ones only if its job is in it."""
    best, best_score = None, None
    for offer in offers:
        fits = _per_machine(job, offer.type)
        if fits == 0 or not _suits(job, offer.type.name, offer.zone, offer.spot):
            continue
        if overdue is not None and job.spot and not offer.spot and job.id not in overdue:
            continue
        # Of a machine that the job's shape cannot fill, the rest may serve others: it counts half.
        filled = min(1.0, fits * job.cpus / offer.type.cpus)
        price = offer.price / (offer.type.cpus * (filled + 1) / 2)
        there = offer.there + wanted.get(offer.kind, 0)
        score = (steady and offer.spot, price, offer.type.cpus, there)
        if best_score is None or score < best_score:
            best, best_score = offer, score
    return best


@dataclass(slots=True)
class Pause:
    """How long a kind that was refused is left alone."""

    until: timedelta
    length: timedelta


class Refusals:
    def __init__(self, first: timedelta, most: timedelta) -> None:
        self._first = first
        self._most = most
        self._pauses: dict[Kind, Pause] = {}

    def refused(self, kind: Kind, now: timedelta) -> None:
        pause = self._pauses.get(kind)
        length = self._first if pause is None else min(pause.length * 2, self._most)
        self._pauses[kind] = Pause(now + length, length)

    def granted(self, kind: Kind) -> None:
        self._pauses.pop(kind, None)

    def open(self, kind: Kind, now: timedelta) -> bool:
        pause = self._pauses.get(kind)
        return pause is None or now >= pause.until
