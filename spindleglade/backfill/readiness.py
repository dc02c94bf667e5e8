"""When machines are expected to fit a task of a job: which of their tasks must end first, and when."""

from dataclasses import dataclass

import numpy as np

from spindleglade.backfill.arrays import Array, Counts, Mask
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
    """All tasks on usable machines, those placed in this pass too, and when they may end."""

    # The machine of each task.
    machines: Counts
    # CPUs, GPUs and memory of each task.
    demands: Array
    # Seconds until each task is expected to end.
    expected: Array
    # The possible ends of each task, in seconds from now, and their weights.
    ends: Array
    weights: Array


@dataclass(slots=True)
class Readiness:
    """Each machine as a unit that fits one task of the job once enough of its own tasks have ended."""

    # Whether it is such a unit at all.
    is_unit: Mask
    # Seconds until it is expected to fit the task; 0 if it does now, infinite if it never will.
    seconds_until: Array
    # CPUs, GPUs and memory that the task would leave over.
    left_over: Array
    # For each task that must end, its machine, its possible ends and their weights, in the machines' order.
    ending_machines: Counts
    ends: Array
    weights: Array


def predict_ends(state: PlanningState) -> TaskEnds:
    """Predicts when each task ends, from its team's history."""
    rows_by_machine = [view.task_rows(state.team_codes) for view in state.machines]
    machines = np.repeat(np.arange(len(rows_by_machine)), [len(rows) for rows in rows_by_machine])
    if state.placed:
        rows_by_machine.append(task_rows([task for _, task in state.placed], state.team_codes))
        machines = np.concatenate((machines, [row for row, _ in state.placed]))
    rows = np.concatenate(rows_by_machine) if rows_by_machine else np.zeros((0, 6))
    elapsed = np.nan_to_num(state.now.total_seconds() - rows[:, RUNNING_SINCE_COLUMN], nan=0.0)
    ends, weights = state.predictor.remaining_of_tasks(
        list(state.team_codes),
        np.column_stack((rows[:, TEAM_COLUMN], rows[:, ESTIMATE_COLUMN], elapsed)),
    )
    return TaskEnds(machines, rows[:, DEMAND_COLUMNS], (ends * weights).sum(axis=1), ends, weights)


def expected_release(state: PlanningState) -> ExpectedRelease:
    """What the machines have free at the end of the pass, and what their tasks are expected to release."""
    tasks = predict_ends(state)
    return ExpectedRelease(state.machines, state.columns.free, tasks.machines, tasks.expected, tasks.demands)


def readiness(state: PlanningState, job: JobView) -> Readiness:
    """When each machine is expected to fit one task of the job, its own tasks ending soonest first."""
    tasks = predict_ends(state)
    need = np.array(job.demand) - CAPACITY_TOLERANCE
    free = state.unreserved_capacity(job)
    machine_count = len(state.machines)
    # All tasks by machine and expected end.
    order = np.lexsort((tasks.expected, tasks.machines))
    machines = tasks.machines[order]
    available = _available_after(tasks.demands[order], machines, free)
    enough = np.nonzero((available >= need).all(axis=1))[0]
    # Reversed, so that the first task after which enough is free is written last and stays.
    last_to_end = np.full(machine_count, -1)
    last_to_end[machines[enough[::-1]]] = enough[::-1]
    becomes_ready = last_to_end >= 0
    seconds_until = np.full(machine_count, np.inf)
    seconds_until[becomes_ready] = tasks.expected[order][last_to_end[becomes_ready]]
    left_over = np.zeros((machine_count, 3))
    left_over[becomes_ready] = available[last_to_end[becomes_ready]]
    is_ready = (free >= need).all(axis=1)
    seconds_until[is_ready], left_over[is_ready], last_to_end[is_ready] = 0.0, free[is_ready], -1
    is_unit = state.eligible_machines(job) & np.isfinite(seconds_until)
    must_end = (np.arange(len(order)) <= last_to_end[machines]) & is_unit[machines]
    ending = order[must_end]
    return Readiness(
        is_unit,
        seconds_until,
        left_over - need - CAPACITY_TOLERANCE,
        machines[must_end],
        tasks.ends[ending],
        tasks.weights[ending],
    )


def _available_after(demands: Array, machines: Counts, free: Array) -> Array:
    """What each task's machine has free once the task and those before it on the machine have ended. The
    tasks are sorted by machine."""
    released = np.cumsum(demands, axis=0)
    first_tasks = np.searchsorted(machines, np.arange(len(free) + 1))
    released_before = np.vstack((np.zeros(3), released))[first_tasks[:-1]]
    return free[machines] + released - released_before[machines]
