"""The one error that every bad settings file ends in, and how a decoder's errors become it."""

import re
from typing import NamedTuple, Self

# Stands for the field where the file as a whole is bad.
WHOLE_FILE = "(whole file)"

# msgspec says where a value is wrong as `$.params.teams[...].cpus`; operators read `params.teams[...].cpus`.
_LOCATION = re.compile(r"^(?P<reason>.*?)(?: - at `\$\.?(?P<field>[^`]*)`)?$", re.DOTALL)
_MISSING_FIELD = re.compile(r"^Object missing required field `(?P<name>[^`]*)`$")


class FieldProblem(NamedTuple):
    """What is wrong with which field of a settings file."""

    field: str
    reason: str


class SettingsError(Exception):
    """One line for the operator: the file, the field and the reason."""

    def __init__(self, file: str, field: str, reason: str) -> None:
        super().__init__(f"{file}: {field}: {reason}")
        self.file = file
        self.field = field
        self.reason = reason

    @classmethod
    def from_decoder(cls, file: str, error: Exception) -> Self:
        """The error for what a decoder did not accept in a file."""
        problem = describe_problem(error)
        return cls(file, problem.field, problem.reason)


def describe_problem(error: Exception) -> FieldProblem:
    """The field and the reason out of a decoder's message."""
    match = _LOCATION.match(str(error).replace("\n", " "))
    assert match
    reason, field = match["reason"], match["field"] or ""
    missing = _MISSING_FIELD.match(reason)
    if missing:
        path = (field, missing["name"])
        return FieldProblem(".".join(part for part in path if part), "is missing")
    return FieldProblem(field or WHOLE_FILE, reason)
