"""The error raised for every invalid settings file, and its construction from a decoder's error."""

import re
from typing import NamedTuple, Self

# Reported in place of a field if the error concerns the whole file.
WHOLE_FILE = "(whole file)"

# msgspec appends the path of the invalid value, such as `$.params.teams[...].cpus`, to its message. It is
# reported without `$.`.
_DECODER_MESSAGE = re.compile(r"^(?P<reason>.*?)(?: - at `\$\.?(?P<field>[^`]*)`)?$", re.DOTALL)
_MISSING_FIELD = re.compile(r"^Object missing required field `(?P<name>[^`]*)`$")


class FieldError(NamedTuple):
    """The path of an invalid field in a settings file, and why its value is invalid."""

    field: str
    reason: str


class SettingsError(Exception):
    """Invalid settings. The message is one line with the file, the field and the reason."""

    def __init__(self, file: str, field: str, reason: str) -> None:
        super().__init__(f"{file}: {field}: {reason}")
        self.file = file
        self.field = field
        self.reason = reason

    @classmethod
    def from_decoder(cls, file: str, error: Exception) -> Self:
        """Creates the error for a file that a decoder rejected."""
        field_error = parse_decoder_error(error)
        return cls(file, field_error.field, field_error.reason)


def parse_decoder_error(error: Exception) -> FieldError:
    """Extracts the field and the reason from the message of a decoder's error."""
    match = _DECODER_MESSAGE.match(str(error).replace("\n", " "))
    assert match
    reason, field = match["reason"], match["field"] or ""
    missing = _MISSING_FIELD.match(reason)
    if missing:
        path = (field, missing["name"])
        return FieldError(".".join(part for part in path if part), "is missing")
    return FieldError(field or WHOLE_FILE, reason)
