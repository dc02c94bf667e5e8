"""The record of a run: what was sent, answered and run, with the seconds since the beginning."""

import time
from pathlib import Path
from typing import TextIO


class Record:
    """Writes one line for each event to a file, and to standard output."""

    def __init__(self, file: Path) -> None:
        self._file: TextIO = file.open("w", encoding="utf-8", buffering=1)
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the beginning of the run."""
        return time.monotonic() - self._started_at

    def write(self, who: str, what: str, show: bool = False) -> None:
        """Records that `who` did `what`; `show` prints the line as well."""
        line = f"{self.now():8.3f} {who:<12} {what}"
        self._file.write(line + "\n")
        if show:
            print(line, flush=True)
