"""The store writes of a controller of the version in production that holds the leader's lease.

Records are decoded with the layouts of that version before they are rewritten, so unknown fields are dropped,
as by a real process of that version. The writer sends no commands to machines: it records attempts of tasks
and ends of jobs in the store only.
"""

from collections.abc import Callable
from datetime import datetime
from typing import Any

import msgspec

from spindleglade.runtime.clock import seconds
from tests import production
from tests.fakes.encoding import encode
from tests.fakes.state_service import StateService
from tests.simulated_deployment import SimulatedDeployment


class ConditionFailed(Exception):
    """The revision of a key was not the one that the write required."""


class ProductionWriter:
    """Writes to a deployment's store like a process in production, by compare-and-swap on revisions."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self.deployment = deployment
        self.alive = True

    @property
    def state(self) -> StateService:
        return self.deployment.state

    def keep_lease(self) -> None:
        """Renews the lease of the leader key once a second until the process ends."""
        entry = self.state.keys.get(production.LEADER)
        if not self.alive or entry is None:
            return
        self.state.handle("PUT", f"/leases/{entry[2]}", b"")
        self.deployment.clock.later(seconds(1), self.keep_lease)

    def end(self) -> None:
        self.alive = False

    def read(self, key: str) -> Any:
        value, _, _ = self.state.keys[key]
        return production.decode_record(key, encode(value))

    def mod_revision(self, key: str) -> int:
        return self.state.keys[key][1] if key in self.state.keys else 0

    def write(self, key: str, record: Any, of_leader: bool = True) -> None:
        conditions = [{"k": key, "mark": self.mod_revision(key)}]
        if of_leader:
            conditions.append({"k": production.LEADER, "mark": self.mod_revision(production.LEADER)})
        value = msgspec.json.decode(production.encode_record(record))
        body = encode({"when": conditions, "writes": [{"set": key, "v": value}]})
        answer = self.state.handle("POST", "/txn", body)
        assert isinstance(answer, tuple)
        if answer[0] != 200:
            raise ConditionFailed(key, answer)

    def rewrite(self, key: str, change: Callable[[Any], Any]) -> None:
        """Reads a record, changes it and writes it back."""
        self.write(key, change(self.read(key)))

    def end_job(self, job: str, stage: str) -> None:
        """Sets the stage of the job's record, to done or aborted."""

        def change(record: production.JobRecord) -> production.JobRecord:
            return production.JobRecord(stage, record.spec, record.chunk, record.accepted)  # type: ignore[arg-type]

        self.write(production.job_key(job), change(self.read(production.job_key(job))), of_leader=False)

    def accept(self, description: dict, chunk: int, accepted: datetime) -> None:
        """Accepts a job like production, which ignores unknown fields of the description."""
        spec = msgspec.json.decode(encode(description), type=production.Submission)
        record = production.JobRecord("open", spec, chunk, accepted)
        self.write(production.job_key(spec.id), record, of_leader=False)

    def count_attempt(self, job: str, number: int) -> None:
        """Rewrites a chunk with one more attempt of a waiting task."""

        def change(chunk: production.Chunk) -> production.Chunk:
            task = min(chunk.tried)
            return msgspec.structs.replace(chunk, tried=chunk.tried | {task: chunk.tried[task] + 1})

        self.rewrite(production.chunk_key(job, number), change)
