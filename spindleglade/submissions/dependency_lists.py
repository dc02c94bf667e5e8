"""The lists of dependencies that are stored under keys of their own, outside the job records."""

from spindleglade.submissions.records import JobRecord, split_dependency_key


class DependencyLists:
    """The dependency lists, by job and number, of jobs that are open or have no record read yet."""

    def __init__(self) -> None:
        self._lists: dict[str, dict[int, list[str]]] = {}

    def __len__(self) -> int:
        """The number of jobs that have lists here."""
        return len(self._lists)

    def add(self, key: str, dependencies: list[str]) -> None:
        """Adds the list read from a key. Adding it again has no effect."""
        job, number = split_dependency_key(key)
        self._lists.setdefault(job, {})[number] = dependencies

    def forget(self, job: str) -> None:
        """Drops the lists of a job in a final state."""
        self._lists.pop(job, None)

    def is_complete(self, record: JobRecord) -> bool:
        """Whether all lists that the job's record counts have been read."""
        return len(self._lists.get(record.spec.id, ())) >= record.dependency_keys

    def dependencies(self, record: JobRecord) -> list[str]:
        """All known dependencies of a job: those in its record, followed by those in its lists."""
        lists = self._lists.get(record.spec.id, {})
        return record.dependencies + [name for number in sorted(lists) for name in lists[number]]
