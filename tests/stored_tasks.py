"""What the store says of tasks, at every change of it: nothing that a next leader needs may be lost."""

from typing import Any

from tests.production import JOBS, TASKS, split_chunk_key
from tests.simulated_deployment import SimulatedDeployment

# Smaller pieces of a job's tasks, by the first task of each.
PARTS = "sg/part/"


class StoredTasks:
    """Looks at the store at each transaction, and notes in `deployment.violations` what was lost by it.

    A task that was done stays so, and the highest attempt of one that is not done never falls, in whichever
    keys a job's tasks stand, for as long as the job is open. So a leader that takes over at any point gives
    no attempt number twice and runs nothing again. A placement may only go with the number of its attempt
    kept.
    """

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self._done: dict[str, set[int]] = {}
        self._attempts: dict[str, dict[int, int]] = {}
        self._write = deployment.state._write
        self._look()
        deployment.state._write = self._write_and_look  # type: ignore[method-assign]

    def _write_and_look(self, writes: list[dict]) -> None:
        # Before it is told to anybody: the store tells watchers within the write.
        self._write(writes)
        self._deployment.counts["parts written"] += sum(
            write.get("set", "").startswith(PARTS) for write in writes
        )
        if any(self._about_tasks(write) for write in writes):
            self._look()

    def _about_tasks(self, write: dict) -> bool:
        return (write.get("set") or write["remove"]).startswith((TASKS, PARTS))

    def _look(self) -> None:
        done, attempts = self._read()
        for job in sorted(self._done.keys() | done.keys()):
            if self._stage(job) == "open":
                self._compare(job, done.get(job, set()), attempts.get(job, {}))
        self._done, self._attempts = done, attempts

    def _read(self) -> tuple[dict[str, set[int]], dict[str, dict[int, int]]]:
        """The tasks that are done and the highest attempts, by what each value speaks for: the tasks from its
        first one to where the next value of the job begins."""
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
        """By job and first task what a value holds; a chunk that is not there holds nothing."""
        found: dict[str, dict[int, dict[str, Any]]] = {}
        for key, (value, _, _) in self._deployment.state.keys.items():
            if not key.startswith((TASKS, PARTS)):
                continue
            job, number = split_chunk_key(key) if key.startswith(TASKS) else _split_part_key(key)
            size = self._deployment.state.keys[JOBS + job][0]["chunk"]
            values = found.setdefault(job, {at: {} for at in range(0, self._tasks(job), size)})
            values[number * size if key.startswith(TASKS) else number] = value
        return found

    def _tasks(self, job: str) -> int:
        return self._deployment.state.keys[JOBS + job][0]["spec"]["threads"]

    def _stage(self, job: str) -> str:
        return self._deployment.state.keys[JOBS + job][0]["stage"]

    def _compare(self, job: str, done: set[int], attempts: dict[int, int]) -> None:
        lost = self._done.get(job, set()) - done
        if lost:
            self._deployment.violations.append(f"lost in the store: {job} tasks {sorted(lost)} are done")
        for task, attempt in self._attempts.get(job, {}).items():
            if task not in done and attempts.get(task, 0) < attempt:
                self._deployment.violations.append(f"lost in the store: attempt {attempt} of {job}/{task}")


def _split_part_key(key: str) -> tuple[str, int]:
    job, _, first = key[len(PARTS) :].rpartition("/")
    return job, int(first)


def _done_tasks(chunk: dict[str, Any]) -> set[int]:
    return {task for first, last in chunk.get("done", ()) for task in range(first, last + 1)}


def _attempts(chunk: dict[str, Any]) -> list[tuple[int, int]]:
    placed = [(int(task), placement[0]) for task, placement in chunk.get("placed", {}).items()]
    return placed + [(int(task), attempt) for task, attempt in chunk.get("tried", {}).items()]


class Attempts:
    """Every attempt that ever came to a machine: no number is given twice."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self._seen: dict[tuple[str, int], tuple[str, int]] = {}
        self._sample()

    def _sample(self) -> None:
        for name, worker in self._deployment.workers.items():
            for at in worker.tasks:
                where = (name, worker.incarnation)
                if self._seen.setdefault(at, where) != where:
                    self._deployment.violations.append(f"attempt {at} on {where} and on {self._seen[at]}")
        self._deployment.clock.later(self._deployment.config.report / 10, self._sample)
