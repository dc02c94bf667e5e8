"""The versions of the service that a simulated deployment can run: the current code, and the version in
production, which `deploy/service.toml` names and the repository's history contains.

The sources of the version in production are imported as a second package beside the current one. Processes of
both versions can then serve in one simulated deployment, with the same store, machines and users.
"""

import importlib
import io
import re
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from tests.production_names import MODULES, NAMES, PRODUCTION_PACKAGE, ProductionView

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "spindleglade"
_PACKAGE_IMPORT = re.compile(rf"^(\s*(?:from|import) ){PACKAGE}\b", re.MULTILINE)


@dataclass(frozen=True)
class Version:
    """One version of the service. `package` is the name of the package that it is imported as."""

    package: str

    def module(self, name: str) -> ModuleType:
        """A module of this version, by its current name, such as `leadership.peer_messages`."""
        own_name = MODULES.get(name, name) if self.is_production else name
        return importlib.import_module(f"{self.package}.{own_name}")

    def member(self, module: str, name: str) -> Any:
        """A member of a module of this version, by the current names of the module and the member."""
        own_name = NAMES.get(name, name) if self.is_production else name
        return getattr(self.module(module), own_name)

    @property
    def is_production(self) -> bool:
        """Whether this is the version in production."""
        return self.package == PRODUCTION_PACKAGE

    def platform(self, settings: dict[str, Any]) -> Any:
        """Decodes the platform settings with the types of this version."""
        return msgspec.convert(settings, self.module("settings").Platform)

    def read_message(self, encoded: bytes) -> Any:
        """Decodes a peer message with the types of this version."""
        return msgspec.msgpack.decode(encoded, type=self.module("leadership.peer_messages").Message)


CURRENT = Version(PACKAGE)


def is_of_production(controller: Any) -> bool:
    """Whether a controller runs the version in production."""
    return isinstance(controller, ProductionView)


def production_commit() -> str:
    """The commit in production, as recorded in `deploy/service.toml`."""
    return tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["production"]


def has_history() -> bool:
    """Whether this is a checkout with the repository's history. A tree unpacked from an archive has none, and
    the version in production cannot be extracted from it."""
    return (ROOT / ".git").exists()


def extract_production(folder: Path) -> None:
    """Extracts the sources of the version in production into the folder."""
    command = ["git", "-C", str(ROOT), "archive", production_commit()]
    archive = subprocess.run(command, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")


@cache
def production() -> Version:
    """The version in production, imported from a copy that is removed when this process ends. Raises
    CalledProcessError if the history lacks its commit."""
    folder = Path(_temporary_folder().name)
    extract_production(folder)
    # Rename the package in imports only: the names of loggers and stored keys stay the same.
    for file in (folder / PACKAGE).rglob("*.py"):
        file.write_text(
            _PACKAGE_IMPORT.sub(rf"\1{PRODUCTION_PACKAGE}", file.read_text(encoding="utf-8")),
            encoding="utf-8",
        )
    (folder / PACKAGE).rename(folder / PRODUCTION_PACKAGE)
    sys.path.append(str(folder))
    return Version(PRODUCTION_PACKAGE)


@cache
def _temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """A folder that is removed when the process ends."""
    return tempfile.TemporaryDirectory(prefix="spindleglade-production-")
