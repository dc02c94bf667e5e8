"""Invariants of the tasks in the store and on machines: no information that a new leader needs is lost."""

from typing import Any

from tests.production import JOBS, TASKS, split_chunk_key
from tests.simulated_deployment import SimulatedDeployment

# Keys of overflow ranges: smaller ranges of a job's tasks, each keyed by its first task.
OVERFLOW_RANGE_KEY_PREFIX = "sg/part/"


class StoredTaskInvariants:
    """Checks the store at each transaction, and adds what the transaction lost to `deployment.violations`.

    While a job is open, tasks that were done stay done, and the highest attempt of a task that is not done
    never decreases, whichever keys hold the job's tasks. A leader that takes over at any point therefore
    reuses no attempt number and runs no completed task again. A placement may be removed only if the number
    of its attempt is kept.
    """

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self._done: dict[str, set[int]] = {}
        self._attempts: dict[str, dict[int, int]] = {}
        self._write = deployment.state._write
        self._check()
        deployment.state._write = self._write_and_check  # type: ignore[method-assign]

    def _write_and_check(self, writes: list[dict]) -> None:
        # The write answers watches, but the network delivers the answers only after the check below.
        self._write(writes)
        self._deployment.counts["overflow ranges written"] += sum(
            write.get("set", "").startswith(OVERFLOW_RANGE_KEY_PREFIX) for write in writes
        )
        if any(self._concerns_tasks(write) for write in writes):
            self._check()

    def _concerns_tasks(self, write: dict) -> bool:
        return (write.get("set") or write["remove"]).startswith((TASKS, OVERFLOW_RANGE_KEY_PREFIX))

    def _check(self) -> None:
        done, attempts = self._read()
        for job in sorted(self._done.keys() | done.keys()):
            if self._stage(job) == "open":
                self._compare(job, done.get(job, set()), attempts.get(job, {}))
        self._done, self._attempts = done, attempts

    def _read(self) -> tuple[dict[str, set[int]], dict[str, dict[int, int]]]:
        """The tasks that are done and the highest attempts, by job. Each value counts only for its own tasks:
        from its first task up to the first task of the job's next value."""
        done: dict[str, set[int]] = {}
        attempts: dict[str, dict[int, int]] = {}
        for job, values in self._values().items():
            starts = sorted(values)
            ends = [*starts[1:], self._tasks(job)]
            done[job], attempts[job] = set(), {}
            for start, end in zip(starts, ends, strict=True):
                done[job] |= _done_tasks(values[start]) & set(range(start, end))
                attempts[job] |= {
                    task: attempt for task, attempt in _attempts(values[start]) if start <= task < end
                }
        return done, attempts

    def _values(self) -> dict[str, dict[int, dict[str, Any]]]:
        """The values of task ranges and overflow ranges, by job and first task. A task range without a key
        counts as an empty value."""
        values_by_job: dict[str, dict[int, dict[str, Any]]] = {}
        for key, (value, _, _) in self._deployment.state.keys.items():
            if not key.startswith((TASKS, OVERFLOW_RANGE_KEY_PREFIX)):
                continue
            job, number = split_chunk_key(key) if key.startswith(TASKS) else _split_overflow_range_key(key)
            size = self._deployment.state.keys[JOBS + job][0]["chunk"]
            values = values_by_job.setdefault(
                job, {first_task: {} for first_task in range(0, self._tasks(job), size)}
            )
            values[number * size if key.startswith(TASKS) else number] = value
        return values_by_job

    def _tasks(self, job: str) -> int:
        return self._deployment.state.keys[JOBS + job][0]["spec"]["threads"]

    def _stage(self, job: str) -> str:
        return self._deployment.state.keys[JOBS + job][0]["stage"]

    def _compare(self, job: str, done: set[int], attempts: dict[int, int]) -> None:
        lost = self._done.get(job, set()) - done
        if lost:
            self._deployment.violations.append(
                f"the store no longer records that {job} tasks {sorted(lost)} are done"
            )
        for task, attempt in self._attempts.get(job, {}).items():
            if task not in done and attempts.get(task, 0) < attempt:
                self._deployment.violations.append(
                    f"the store no longer records attempt {attempt} of {job}/{task}"
                )


def _split_overflow_range_key(key: str) -> tuple[str, int]:
    job, _, first = key[len(OVERFLOW_RANGE_KEY_PREFIX) :].rpartition("/")
    return job, int(first)


def _done_tasks(chunk: dict[str, Any]) -> set[int]:
    return {task for first, last in chunk.get("done", ()) for task in range(first, last + 1)}


def _attempts(chunk: dict[str, Any]) -> list[tuple[int, int]]:
    placed = [(int(task), placement[0]) for task, placement in chunk.get("placed", {}).items()]
    return placed + [(int(task), attempt) for task, attempt in chunk.get("tried", {}).items()]


class AttemptInvariants:
    """Checks that no attempt starts on two machines or in two incarnations of one machine.

    It samples the tasks of all machines ten times per heartbeat interval.
    """

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self._locations: dict[tuple[str, int], tuple[str, int]] = {}
        self._sample()

    def _sample(self) -> None:
        for name, worker in self._deployment.workers.items():
            for attempt in worker.tasks:
                location = (name, worker.incarnation)
                if self._locations.setdefault(attempt, location) != location:
                    self._deployment.violations.append(
                        f"attempt {attempt} is on machine and incarnation {location} and on"
                        f" {self._locations[attempt]}"
                    )
        self._deployment.clock.later(self._deployment.config.heartbeat_interval / 10, self._sample)
