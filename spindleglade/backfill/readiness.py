"""When machines are expected to fit a task of a job, and which of their running tasks must end first."""

from dataclasses import dataclass

import numpy as np

from spindleglade.backfill.arrays import Array, IntArray, Mask
from spindleglade.backfill.plan import ExpectedRelease
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.snapshot import (
    CAPACITY_TOLERANCE,
    DEMAND_COLUMNS,
    ESTIMATE_COLUMN,
    RUNNING_SINCE_COLUMN,
    TEAM_COLUMN,
    JobView,
    task_rows,
)


@dataclass(slots=True)
class TaskEnds:
    """All tasks on usable machines, including those placed in this pass, and when they may end."""

    # The row of the machine of each task.
    machine_rows: IntArray
    # CPUs, GPUs and memory of each task.
    demands: Array
    # Seconds until each task is expected to end.
    expected_s: Array
    # The possible ends of each task, in seconds from now, and their weights.
    ends: Array
    weights: Array


@dataclass(slots=True)
class Readiness:
    """Each machine as a unit: it fits one task of the job once enough of its running tasks have ended."""

    # Whether the machine is eligible and will fit the task at some time.
    is_unit: Mask
    # Seconds until the machine is expected to fit the task: 0 if it fits now, infinite if it never will.
    seconds_until: Array
    # CPUs, GPUs and memory that the task would leave free on the machine.
    left_over: Array
    # For each task that must end first, sorted by machine: its machine's row, possible ends and weights.
    ending_machine_rows: IntArray
    ends: Array
    weights: Array


def predict_ends(state: PlanningState) -> TaskEnds:
    """Predicts when each task ends, from its team's history or its estimate."""
    rows_by_machine = [view.task_rows(state.team_codes) for view in state.machines]
    machine_rows = np.repeat(np.arange(len(rows_by_machine)), [len(rows) for rows in rows_by_machine])
    if state.placed_tasks:
        rows_by_machine.append(task_rows([task for _, task in state.placed_tasks], state.team_codes))
        machine_rows = np.concatenate((machine_rows, [row for row, _ in state.placed_tasks]))
    rows = np.concatenate(rows_by_machine) if rows_by_machine else np.zeros((0, 6))
    elapsed = np.nan_to_num(state.now.total_seconds() - rows[:, RUNNING_SINCE_COLUMN], nan=0.0)
    ends, weights = state.predictor.remaining_of_tasks(
        list(state.team_codes),
        np.column_stack((rows[:, TEAM_COLUMN], rows[:, ESTIMATE_COLUMN], elapsed)),
    )
    return TaskEnds(machine_rows, rows[:, DEMAND_COLUMNS], (ends * weights).sum(axis=1), ends, weights)


def expected_release(state: PlanningState) -> ExpectedRelease:
    """Free capacity at the end of the pass, and the capacity that tasks are expected to release."""
    tasks = predict_ends(state)
    return ExpectedRelease(
        state.machines, state.columns.free, tasks.machine_rows, tasks.expected_s, tasks.demands
    )


def readiness(state: PlanningState, job: JobView) -> Readiness:
    """When each machine is expected to fit one task of the job, if its tasks end at their expected ends."""
    tasks = predict_ends(state)
    required = np.array(job.demand) - CAPACITY_TOLERANCE
    free = state.unreserved_capacity(job)
    machine_count = len(state.machines)
    # All tasks, sorted by machine and then by expected end.
    order = np.lexsort((tasks.expected_s, tasks.machine_rows))
    machine_rows = tasks.machine_rows[order]
    available = _available_after(tasks.demands[order], machine_rows, free)
    sufficient = np.nonzero((available >= required).all(axis=1))[0]
    # Assigned in reverse order, so that each machine keeps the first task after which enough is free.
    last_to_end = np.full(machine_count, -1)
    last_to_end[machine_rows[sufficient[::-1]]] = sufficient[::-1]
    becomes_ready = last_to_end >= 0
    seconds_until = np.full(machine_count, np.inf)
    seconds_until[becomes_ready] = tasks.expected_s[order][last_to_end[becomes_ready]]
    left_over = np.zeros((machine_count, 3))
    left_over[becomes_ready] = available[last_to_end[becomes_ready]]
    is_ready = (free >= required).all(axis=1)
    seconds_until[is_ready], left_over[is_ready], last_to_end[is_ready] = 0.0, free[is_ready], -1
    is_unit = state.eligible_machines(job) & np.isfinite(seconds_until)
    must_end = (np.arange(len(order)) <= last_to_end[machine_rows]) & is_unit[machine_rows]
    ending = order[must_end]
    return Readiness(
        is_unit,
        seconds_until,
        left_over - required - CAPACITY_TOLERANCE,
        machine_rows[must_end],
        tasks.ends[ending],
        tasks.weights[ending],
    )


def _available_after(demands: Array, machine_rows: IntArray, free: Array) -> Array:
    """Free capacity of each task's machine once the task and those before it on that machine have ended.

    The tasks must be sorted by machine.
    """
    released = np.cumsum(demands, axis=0)
    first_tasks = np.searchsorted(machine_rows, np.arange(len(free) + 1))
    released_before = np.vstack((np.zeros(3), released))[first_tasks[:-1]]
    return free[machine_rows] + released - released_before[machine_rows]
