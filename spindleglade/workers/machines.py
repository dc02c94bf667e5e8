"""Machines in the leader's memory, and the capacities of their types."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from spindleglade.backfill.snapshot import MachineView
from spindleglade.workers.attempts import Attempt, AttemptKey, ExitedAttempt
from spindleglade.workers.messages import TaskStatus


class MachineTypeCapacity(NamedTuple):
    """The capacity that a machine of a type has for tasks. Memory and the image cache are in GB."""

    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float


class MachineLocation(NamedTuple):
    """The address and the zone of a machine, as the cloud lists them."""

    name: str
    address: str
    zone: str


class ReservedCapacity(NamedTuple):
    """Capacity for `task_count` tasks of one job, which other jobs may not use before `until`."""

    task_count: int
    until: timedelta


@dataclass(slots=True, eq=False)
class Machine:
    """A machine: the status in its heartbeats, the attempts placed on it, and whether it is reachable."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    # Incarnation and sequence number of its latest heartbeat.
    incarnation: int = 0
    sequence: int = -1
    # How often the leader has raised the token of its messages to this machine. The worker rejects messages
    # with a lower token, so late copies of them have no effect.
    token_raises: int = 0
    # Whether a heartbeat of this incarnation has carried a token of this leader.
    acknowledged_token: bool = False
    # When the latest heartbeat was received, including those in responses to this leader's messages.
    last_heartbeat_at: timedelta | None = None
    # When the latest heartbeat was received in a request of the worker, the only kind that renews its lease.
    # Before the first one, when the machine was added.
    last_own_heartbeat_at: timedelta | None = None
    # When a peer that cannot reach this leader last reported, through the store, that it renews the lease.
    renewed_by_peer_at: timedelta | None = None
    # When a status request to the machine last went unanswered; None after its next heartbeat.
    unanswered_since: timedelta | None = None
    # Since when the machine counts as unreachable: its heartbeats arrive, but messages to it do not.
    unreachable_since: timedelta | None = None
    # When a direct message of this leader last reached it, and when one last went unanswered.
    last_command_answered_at: timedelta | None = None
    last_command_unanswered_at: timedelta | None = None
    # When a heartbeat of this incarnation was last answered.
    last_response_at: timedelta | None = None
    # The tasks that its latest heartbeat lists.
    tasks: list[TaskStatus] = field(default_factory=list)
    # Since when the machine has been idle, from the first heartbeat without a placed attempt; None while an
    # attempt is placed.
    idle_since: timedelta | None = None
    # When the cloud terminates it, as announced by a heartbeat; None without an announcement.
    terminates_at: timedelta | None = None
    quarantined: bool = False
    # Whether a failure here was withdrawn, which does not show that the machine is sound, and no task was
    # done here since. The failure of a single job then quarantines it.
    on_probation: bool = False
    # Whether the leader has asked the cloud to terminate it, after which nothing is placed on it.
    terminating: bool = False
    # No task is placed on the machine before this time, because it has rejected a start.
    refuses_starts_until: timedelta = timedelta(0)
    # By job ID and task number.
    placed: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    exited: dict[AttemptKey, ExitedAttempt] = field(default_factory=dict)
    # Attempts with a start that was sent directly and not answered, and when that became known. The start may
    # still arrive, so in this incarnation the worker must not forget these attempts, and their absence from a
    # heartbeat does not prove that they have ended.
    unacknowledged_starts: dict[AttemptKey, timedelta] = field(default_factory=dict)
    # Attempts that occupy the machine but are not placed there, with their states.
    unexpected_attempts: dict[AttemptKey, str] = field(default_factory=dict)
    # Jobs that count against the machine: a task of each has failed here and none on another machine, and the
    # job was not cancelled since.
    failed_jobs: set[str] = field(default_factory=set)
    # Images in its cache and their sizes in GB, least recently used first.
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # By the ID of the job that the capacity is reserved for.
    reserved_capacity: dict[str, ReservedCapacity] = field(default_factory=dict)
    # Whether a direct message with commands is not answered yet.
    command_in_flight: bool = False
    # The tasks of the latest heartbeat if they match what is placed and no command is pending, else None.
    reconciled_tasks: list[TaskStatus] | None = None
    # The cached view for planning; None after a change that planning must see.
    planning_view: MachineView | None = None

    def unacknowledged_starts_of_cancelled_jobs(self) -> list[timedelta]:
        """The times of the unacknowledged starts of cancelled jobs. Such a start may still arrive and run a
        task of a cancelled job."""
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
    """The machines with recent heartbeats, by the outcome of the latest direct message to them."""

    unanswered: list[Machine]
    answered: list[Machine]
    # Machines to which no message was sent recently.
    untried: list[Machine]
