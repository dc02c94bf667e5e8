"""Probes machines that have missed heartbeats, and judges whether this controller reaches the machines."""

import logging
from dataclasses import dataclass, field
from datetime import timedelta

from spindleglade.fleet.parameters import AutoscalerContext, SilenceLimits, WorkerConnections
from spindleglade.fleet.state import FleetState
from spindleglade.http.errors import ConnectionLimitError, NoResponseError
from spindleglade.runtime.background import run_in_background
from spindleglade.workers.machines import Machine

log = logging.getLogger("spindleglade.fleet")

# Fewer machines that do not answer say nothing about this controller.
MIN_UNANSWERED_MACHINES = 3
# Machines that must have been sent a message, where there are so many, before this controller is judged.
MIN_TRIED_MACHINES = 4 * MIN_UNANSWERED_MACHINES
# This controller is unreachable if so many times as many machines leave it unanswered as answer.
UNANSWERED_TO_ANSWERED = 2


@dataclass(slots=True)
class _HeartbeatSurvey:
    """The machines with an address, by how their heartbeats come in."""

    missing: list[Machine] = field(default_factory=list)
    alive: list[Machine] = field(default_factory=list)
    # They send heartbeats, but what is sent to them seems not to arrive.
    unreachable: list[Machine] = field(default_factory=list)


class HealthProbes:
    """Asks machines for their status, only so many at a time."""

    def __init__(
        self,
        context: AutoscalerContext,
        limits: SilenceLimits,
        connections: WorkerConnections,
        state: FleetState,
    ) -> None:
        self._cluster = context.cluster
        self._clock = context.clock
        self._probe_after = limits.probe
        self._connections = connections
        self._state = state
        # Names of the machines with a probe under way.
        self._probing: set[str] = set()
        self._to_probe: dict[str, Machine] = {}
        # Whether this controller's messages reach none or few of the machines, though their heartbeats arrive
        # by way of its peers: another controller would lead better.
        self.is_controller_unreachable = False

    def run(self, now: timedelta) -> None:
        """Probes the machines that have missed heartbeats or seem unreachable."""
        with self._cluster.lock:
            wanted = self._machines_to_probe(self._survey_heartbeats(now), now)
        unanswered, answered, untried = self._cluster.reachability(now)
        if unanswered:
            # More machines tell whether those are unreachable or this controller is.
            wanted += untried[: len(unanswered) + MIN_UNANSWERED_MACHINES]
        self.is_controller_unreachable = _is_controller_unreachable(
            len(unanswered), len(answered), len(untried)
        )
        self._to_probe = {machine.name: machine for machine in wanted}
        self._start_probes()

    def _survey_heartbeats(self, now: timedelta) -> _HeartbeatSurvey:
        """The caller holds the cluster's lock."""
        survey = _HeartbeatSurvey()
        for machine in self._cluster.machines.values():
            if not machine.address:
                continue
            is_silent = self._cluster.is_silent(machine, now, self._probe_after)
            (survey.missing if is_silent else survey.alive).append(machine)
            if machine.unreachable_since is not None:
                survey.unreachable.append(machine)
        return survey

    def _machines_to_probe(self, survey: _HeartbeatSurvey, now: timedelta) -> list[Machine]:
        # The leases of these are renewed by a controller that does not reach this one. This one may still
        # reach the machines, and they are of use again if it does.
        wanted = [machine for machine in survey.alive if self._is_renewed_by_peer_only(machine, now)]
        # If most machines have missed heartbeats, it is this controller that is partitioned, and the silence
        # of the machines says nothing about them.
        if len(survey.missing) <= len(survey.alive):
            wanted += [machine for machine in survey.missing if machine.unanswered_since is None]
            wanted += survey.unreachable
        return wanted

    def _is_renewed_by_peer_only(self, machine: Machine, now: timedelta) -> bool:
        return machine.last_heartbeat_at is not None and now - machine.last_heartbeat_at > self._probe_after

    def _start_probes(self) -> None:
        """Starts as many probes as may run at once. Each of a machine that died holds a connection for a
        while, and the commands for the others need some."""
        while self._to_probe and self._may_start_probe():
            name, machine = self._to_probe.popitem()
            if name not in self._probing and name not in self._state.terminating:
                self._probing.add(name)
                run_in_background(self._probe(machine), "probe")

    def _may_start_probe(self) -> bool:
        return len(self._probing) < self._connections.max_concurrent_probes and not self._state.stopped

    async def _probe(self, machine: Machine) -> None:
        started_at = self._clock.now()
        try:
            await self._connections.request_status(machine)
        except ConnectionLimitError:
            # The probe was not sent, so it says nothing about the machine.
            pass
        except NoResponseError as error:
            self._on_unanswered(machine, started_at)
            log.info("probe unanswered machine=%s reason=%s", machine.name, error)
        finally:
            self._probing.discard(machine.name)
            self._start_probes()

    def _on_unanswered(self, machine: Machine, started_at: timedelta) -> None:
        with self._cluster.lock:
            machine.last_command_unanswered_at = self._clock.now()
            if machine.last_heartbeat_at is None or machine.last_heartbeat_at < started_at:
                machine.unanswered_since = machine.last_command_unanswered_at


def _is_controller_unreachable(unanswered: int, answered: int, untried: int) -> bool:
    """Whether the machines that were sent a message are enough to judge, and most did not answer."""
    tried = unanswered + answered
    enough = min(MIN_TRIED_MACHINES, tried + untried)
    return tried >= enough and unanswered >= max(MIN_UNANSWERED_MACHINES, answered * UNANSWERED_TO_ANSWERED)
