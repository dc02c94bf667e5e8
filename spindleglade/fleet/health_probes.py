"""Probes machines that have missed heartbeats, and detects that this controller reaches few machines."""

import logging
from dataclasses import dataclass, field
from datetime import timedelta

from spindleglade.fleet.parameters import AutoscalerContext, SilenceLimits, WorkerConnections
from spindleglade.fleet.state import FleetState
from spindleglade.http.errors import ConnectionLimitError, NoResponseError
from spindleglade.runtime.background import run_in_background
from spindleglade.workers.machines import Machine

log = logging.getLogger("spindleglade.fleet")

# Minimum number of machines that left a message unanswered for this controller to count as unreachable. Fewer
# say nothing about this controller.
MIN_UNANSWERED_MACHINES = 3
# Minimum number of machines that must have been sent a message before this controller is judged; all machines
# if there are fewer.
MIN_TRIED_MACHINES = 4 * MIN_UNANSWERED_MACHINES
# Minimum ratio of machines that left a message unanswered to those that answered at which this controller
# counts as unreachable.
MIN_UNANSWERED_TO_ANSWERED_RATIO = 2


@dataclass(slots=True)
class _HeartbeatSurvey:
    """The machines with a known address, grouped by their heartbeats."""

    silent: list[Machine] = field(default_factory=list)
    alive: list[Machine] = field(default_factory=list)
    # Machines that messages seem not to reach, though they send heartbeats; also in one of the lists above.
    unreachable: list[Machine] = field(default_factory=list)


class HealthProbes:
    """Asks machines for their status, with a limit on concurrent probes."""

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
        # Names of the machines whose probe has not ended.
        self._probing: set[str] = set()
        # Machines still to be probed in this pass, by name.
        self._probe_queue: dict[str, Machine] = {}
        # Whether this controller's messages reach few or none of the machines, though their heartbeats arrive
        # through its peers. Another controller should lead then.
        self.is_controller_unreachable = False

    def run(self, now: timedelta) -> None:
        """Probes the machines that have missed heartbeats or seem unreachable."""
        with self._cluster.lock:
            to_probe = self._machines_to_probe(self._survey_heartbeats(now), now)
        unanswered, answered, untried = self._cluster.reachability(now)
        if unanswered:
            # Probing further machines shows whether these machines or this controller are unreachable.
            to_probe += untried[: len(unanswered) + MIN_UNANSWERED_MACHINES]
        self.is_controller_unreachable = _is_controller_unreachable(
            len(unanswered), len(answered), len(untried)
        )
        self._probe_queue = {machine.name: machine for machine in to_probe}
        self._start_probes()

    def _survey_heartbeats(self, now: timedelta) -> _HeartbeatSurvey:
        """Groups the machines by their heartbeats. The caller holds the cluster's lock."""
        survey = _HeartbeatSurvey()
        for machine in self._cluster.machines.values():
            if not machine.address:
                continue
            is_silent = self._cluster.is_silent(machine, now, self._probe_after)
            (survey.silent if is_silent else survey.alive).append(machine)
            if machine.unreachable_since is not None:
                survey.unreachable.append(machine)
        return survey

    def _machines_to_probe(self, survey: _HeartbeatSurvey, now: timedelta) -> list[Machine]:
        """The machines to be probed by their heartbeats. The caller holds the cluster's lock."""
        # The leases of these machines are renewed by a peer that cannot reach this controller. If this
        # controller can reach the machines, they become usable again.
        to_probe = [machine for machine in survey.alive if self._is_renewed_by_peer_only(machine, now)]
        # If most machines have missed heartbeats, this controller is the one that is partitioned, and missed
        # heartbeats say nothing about the machines.
        if len(survey.silent) <= len(survey.alive):
            to_probe += [machine for machine in survey.silent if machine.unanswered_since is None]
            to_probe += survey.unreachable
        return to_probe

    def _is_renewed_by_peer_only(self, machine: Machine, now: timedelta) -> bool:
        """Whether the latest heartbeat is so old that only a peer's lease renewals show the machine alive."""
        return machine.last_heartbeat_at is not None and now - machine.last_heartbeat_at > self._probe_after

    def _start_probes(self) -> None:
        """Starts queued probes up to the limit. The probe of a dead machine occupies a connection until it
        times out, and connections are needed for the commands to other machines."""
        while self._probe_queue and self._may_start_probe():
            name, machine = self._probe_queue.popitem()
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
        """Records an unanswered probe. A heartbeat since the start of the probe shows that the machine is
        alive, so `unanswered_since` is left as it is then."""
        with self._cluster.lock:
            machine.last_command_unanswered_at = self._clock.now()
            if machine.last_heartbeat_at is None or machine.last_heartbeat_at < started_at:
                machine.unanswered_since = machine.last_command_unanswered_at


def _is_controller_unreachable(unanswered: int, answered: int, untried: int) -> bool:
    """Whether enough machines were sent a message to judge this controller, and most left it unanswered.

    The parameters are numbers of machines.
    """
    tried = unanswered + answered
    min_tried = min(MIN_TRIED_MACHINES, tried + untried)
    return tried >= min_tried and unanswered >= max(
        MIN_UNANSWERED_MACHINES, answered * MIN_UNANSWERED_TO_ANSWERED_RATIO
    )
