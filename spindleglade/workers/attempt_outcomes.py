"""Updates the cluster state from the attempts that a heartbeat lists and the placed ones that it lacks."""

import logging
from datetime import timedelta

from spindleglade.submissions.messages import JobKind
from spindleglade.workers.attempts import (
    FETCHING,
    RUNNING,
    Attempt,
    AttemptKey,
    EndReason,
    ExitCause,
    ExitedAttempt,
    StopReason,
)
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.failure_tracker import FailureTracker
from spindleglade.workers.jobs import DONE, WAITING, Job, grace_period_s
from spindleglade.workers.machines import Machine
from spindleglade.workers.messages import TaskStatus, split_task
from spindleglade.workers.state_changes import StateChanges

log = logging.getLogger("spindleglade.workers")


class AttemptOutcomes:
    """Applies the status of single attempts to the cluster state. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges, failures: FailureTracker) -> None:
        self._data = data
        self._changes = changes
        self._failures = failures

    def on_attempt_listed(
        self, machine: Machine, attempt: Attempt, status: TaskStatus, now: timedelta
    ) -> None:
        """Applies the listed status of an attempt that is placed on the machine."""
        is_first_listing = not attempt.is_confirmed
        attempt.is_confirmed = True
        if is_first_listing and not attempt.is_recovered:
            # A command of this leader has started it, so commands reach the machine.
            machine.unreachable_since = None
        if not status.is_on_machine:
            self._on_attempt_exited(machine, attempt, status, now)
            return
        if status.state == RUNNING:
            if attempt.state != RUNNING and not is_first_listing:
                attempt.running_since = now
            self._add_image(machine, attempt.job)
        attempt.state = status.state

    def _on_attempt_exited(
        self, machine: Machine, attempt: Attempt, status: TaskStatus, now: timedelta
    ) -> None:
        job = attempt.job
        if status.cause == ExitCause.DONE:
            self._on_task_done(machine, attempt, now)
        elif status.cause == ExitCause.ERROR:
            self._failures.on_task_failed(machine, job, now)
        elif status.cause in (ExitCause.FULL, ExitCause.IN_USE):
            # The worker's view of its free capacity differs from the leader's for the moment. Starts are
            # tried again after a short delay.
            machine.refuses_starts_until = now + self._data.policy.heartbeat_interval * 2
        elif status.cause == ExitCause.UNKNOWN:
            self._failures.pause_job(job, now)
        if job.spec.kind == JobKind.GANG and status.cause != ExitCause.DONE:
            self._stop_other_tasks_of_gang(attempt)
        log.info(
            "attempt exited task=%s attempt=%d machine=%s reason=%s saved=%s fetched=%s",
            attempt.task,
            attempt.attempt,
            machine.name,
            status.cause,
            status.saved,
            attempt.state != FETCHING,
        )
        self._changes.end_attempt(attempt, None)
        machine.exited[(attempt.task, attempt.attempt)] = ExitedAttempt(
            job,
            attempt.index,
            job.version(attempt.index),
            attempt.direct_start_token,
        )

    def _on_task_done(self, machine: Machine, attempt: Attempt, now: timedelta) -> None:
        job = attempt.job
        job.task_states[attempt.index] = DONE
        job.done_count += 1
        self._add_image(machine, job)
        # The duration of an attempt that resumed from a checkpoint is only a part of the run time.
        ran_from_start = attempt.attempt == 1 or job.spec.checkpoint_s == 0
        if attempt.running_since is not None and ran_from_start:
            self._data.predictor.add(job.spec.team, now - attempt.running_since)
            self._data.teams_with_new_runs.add(job.spec.team)
        self._failures.on_task_done(machine, job)
        job.backoff = timedelta(0)

    def _stop_other_tasks_of_gang(self, exited: Attempt) -> None:
        """Stops the other tasks of the gang, which cannot proceed without the exited one. All of them start
        again together."""
        job = exited.job
        for attempt in job.placed.values():
            if attempt is not exited and attempt.stop_reason is None:
                self._changes.stop_attempt(attempt, StopReason.GANG_BROKEN, grace_period_s(job.spec))

    def on_attempt_missing(self, machine: Machine, attempt: Attempt, key: AttemptKey) -> None:
        """Ends a placed attempt if its absence from the newest heartbeat under this token proves its end.

        It does if the attempt was listed before or is to be stopped, unless a start of the attempt may still
        be in flight or its placement is not recorded yet.
        """
        if (
            attempt.starts_in_flight
            or attempt.start_sent_with_sequence is not None
            or key in machine.unacknowledged_starts
        ):
            return
        if not attempt.is_recorded:
            return
        if attempt.is_confirmed:
            self._changes.end_attempt(attempt, EndReason.MISSING_FROM_HEARTBEAT)
        elif attempt.stop_reason is not None:
            self._changes.end_attempt(attempt, EndReason.STOPPED_BEFORE_START)

    def on_unexpected_attempt(self, machine: Machine, key: AttemptKey, status: TaskStatus) -> None:
        """Records an attempt that the newest heartbeat under this token lists but that is not placed on the
        machine."""
        try:
            job_id, index = split_task(status.task)
        except ValueError:
            log.warning("task name malformed machine=%s task=%r", machine.name, status.task)
            return
        if status.is_on_machine:
            machine.unexpected_attempts[key] = status.state
            return
        # How the attempt was started is not known, so it may have been by a direct message of this leader.
        start_token = self._data.message_token(machine)
        job = self._data.jobs.get(job_id)
        if (
            status.cause == ExitCause.DONE
            and job is not None
            and 0 <= index < len(job.task_states)
            and job.task_states[index] == WAITING
        ):
            # The task is done, though by an attempt that is no longer placed, and its result is kept.
            job.task_states[index] = DONE
            job.done_count += 1
            self._changes.mark_task_changed(job, index)
            machine.exited[key] = ExitedAttempt(job, index, job.version(index), start_token)
        else:
            machine.exited[key] = ExitedAttempt(None, 0, 0, start_token)

    def _add_image(self, machine: Machine, job: Job) -> None:
        """Adds the job's image to the machine's cached images, and removes the least recently used images
        that no longer fit into the cache."""
        images = machine.images
        images[job.spec.image] = job.spec.image_gb
        images.move_to_end(job.spec.image)
        capacity = self._data.machine_types.get(machine.type)
        if capacity is not None:
            while len(images) > 1 and sum(images.values()) > capacity.cache_gb:
                images.popitem(last=False)
