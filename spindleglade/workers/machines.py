"""Machines as the leader knows them, and what their types offer."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from spindleglade.backfill.snapshot import MachineView
from spindleglade.workers.attempts import Attempt, AttemptKey, ExitedAttempt
from spindleglade.workers.messages import TaskStatus


class MachineTypeCapacity(NamedTuple):
    """What a machine of a type offers to tasks."""

    cpus: float
    gpus: float
    memory: float
    cache_gb: float
    pull_gb_per_s: float


class MachineLocation(NamedTuple):
    """Where the cloud says that a machine is."""

    name: str
    address: str
    zone: str


class ReservedCapacity(NamedTuple):
    """Capacity that only one job may use for a while."""

    task_count: int
    until: timedelta


@dataclass(slots=True, eq=False)
class Machine:
    """A machine: what its heartbeats say, what is placed on it, and whether it can be reached."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    incarnation: int = 0
    sequence: int = -1
    # Whether a heartbeat of this incarnation has come under this leader's token.
    acknowledged_token: bool = False
    last_heartbeat_at: timedelta | None = None
    # When a heartbeat last came by the worker's own request, which alone renews its lease; before that, when
    # the machine came to be known.
    last_own_heartbeat_at: timedelta | None = None
    # When a peer that cannot reach this leader last reported, through the store, that it renews the lease.
    renewed_by_peer_at: timedelta | None = None
    # When a message sent directly to it last went unanswered since its latest heartbeat.
    unanswered_since: timedelta | None = None
    # Since when it is taken to be unreachable: its heartbeats arrive, but what is sent to it does not.
    unreachable_since: timedelta | None = None
    # When a message of this leader last reached it, and when one last went unanswered.
    last_command_answered_at: timedelta | None = None
    last_command_unanswered_at: timedelta | None = None
    # When a heartbeat of this incarnation was last answered.
    last_response_at: timedelta | None = None
    # The tasks of its latest heartbeat.
    tasks: list[TaskStatus] = field(default_factory=list)
    idle_since: timedelta | None = None
    # When the cloud takes it away.
    terminates_at: timedelta | None = None
    quarantined: bool = False
    # The leader has asked the cloud to terminate it: nothing may be placed any more.
    terminating: bool = False
    refuses_starts_until: timedelta = timedelta(0)
    # By job and task number.
    placed: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    exited: dict[AttemptKey, ExitedAttempt] = field(default_factory=dict)
    # Attempts whose start was sent directly and never answered: it may still arrive, so they are never
    # forgotten in this incarnation, nor taken as over for being absent. Value: when it was sent.
    unacknowledged_starts: dict[AttemptKey, timedelta] = field(default_factory=dict)
    # Attempts on the machine that are not placed there, with their states.
    unexpected_attempts: dict[AttemptKey, str] = field(default_factory=dict)
    failed_jobs: set[str] = field(default_factory=set)
    # Images in its cache and their sizes in GB, least recently used first.
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # By the job that it is reserved for.
    reserved_capacity: dict[str, ReservedCapacity] = field(default_factory=dict)
    command_in_flight: bool = False
    # The tasks of the latest heartbeat, if they are all as placed and no command is pending; else None.
    reconciled_tasks: list[TaskStatus] | None = None
    # As planning sees it, until something here changes.
    planning_view: MachineView | None = None

    def unacknowledged_starts_of_cancelled_jobs(self) -> list[timedelta]:
        """When those starts were sent directly that were never answered, and may still start a task of a
        cancelled job."""
        if not self.unacknowledged_starts:
            return []
        return [
            self.unacknowledged_starts[key]
            for attempt in self.placed.values()
            if attempt.job.cancelled
            and not attempt.is_confirmed
            and (key := (attempt.task, attempt.attempt)) in self.unacknowledged_starts
        ]


class MachineReachability(NamedTuple):
    """The machines with recent heartbeats, by the outcome of the latest message sent directly to them."""

    unanswered: list[Machine]
    answered: list[Machine]
    # Nothing was sent to them recently.
    untried: list[Machine]
