"""The one error every bad settings file ends in."""


class SettingsError(Exception):
    """One line for the operator: the file, the field and the reason."""

    def __init__(self, file: str, field: str, reason: str) -> None:
        super().__init__(f"{file}: {field}: {reason}")
