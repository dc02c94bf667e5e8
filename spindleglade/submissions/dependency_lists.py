"""The dependencies of jobs that are stored under keys of their own, beside the jobs' records."""

from spindleglade.submissions.records import JobRecord, split_dependency_key


class DependencyLists:
    """The lists of jobs that are open or whose record has not been read yet, by job and number."""

    def __init__(self) -> None:
        self._lists: dict[str, dict[int, list[str]]] = {}

    def __len__(self) -> int:
        """How many jobs have lists here."""
        return len(self._lists)

    def add(self, key: str, dependencies: list[str]) -> None:
        """Adds the list stored under a key; adding it again changes nothing."""
        job, number = split_dependency_key(key)
        self._lists.setdefault(job, {})[number] = dependencies

    def forget(self, job: str) -> None:
        """Drops the lists of a job that is over."""
        self._lists.pop(job, None)

    def is_complete(self, record: JobRecord) -> bool:
        """Whether all lists of the job have been read."""
        return len(self._lists.get(record.spec.id, ())) >= record.dependency_keys

    def dependencies(self, record: JobRecord) -> list[str]:
        """All dependencies of a job that are known: those in its record, and those in its lists."""
        lists = self._lists.get(record.spec.id, {})
        return record.dependencies + [name for number in sorted(lists) for name in lists[number]]
