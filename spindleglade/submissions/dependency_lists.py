"""The dependencies that a job's record does not hold, as they are read from keys of their own."""

from spindleglade.submissions.records import JobRecord, split_dependency_key


class DependencyLists:
    """Lists of unfinished jobs, and of jobs whose record has not been read yet, by job and number."""

    def __init__(self) -> None:
        self._lists: dict[str, dict[int, list[str]]] = {}

    def __len__(self) -> int:
        """How many jobs have lists here."""
        return len(self._lists)

    def add(self, key: str, dependencies: list[str]) -> None:
        """Takes in what a key holds; telling it again changes nothing."""
        job, number = split_dependency_key(key)
        self._lists.setdefault(job, {})[number] = dependencies

    def forget(self, job: str) -> None:
        """The job is over, and nobody asks for its dependencies any more."""
        self._lists.pop(job, None)

    def is_complete(self, record: JobRecord) -> bool:
        """Whether all lists of the job have been read."""
        return len(self._lists.get(record.spec.id, ())) >= record.dependency_keys

    def dependencies(self, record: JobRecord) -> list[str]:
        """All dependencies of a job that are known: those in its record, and those in its lists."""
        lists = self._lists.get(record.spec.id, {})
        return record.dependencies + [name for number in sorted(lists) for name in lists[number]]
