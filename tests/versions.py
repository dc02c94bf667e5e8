"""The versions of the service that a simulated deployment can run: the code as it stands, and the one in
production, which `deploy/service.toml` names and the repository's history holds.

The sources of the latter are imported as a second package beside the present one, so that processes of both
versions serve in one simulated deployment, on the same store, machines and users.
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
_IMPORT = re.compile(rf"^(\s*(?:from|import) ){PACKAGE}\b", re.MULTILINE)


@dataclass(frozen=True)
class Version:
    """One version of the service, by the package that it is imported as."""

    package: str

    def module(self, name: str) -> ModuleType:
        """A module of this version, such as `leadership.peer_messages`, by its present name."""
        own_name = MODULES.get(name, name) if self.is_production else name
        return importlib.import_module(f"{self.package}.{own_name}")

    def named(self, module: str, name: str) -> Any:
        """What this version defines in a module, by the present names of both."""
        own_name = NAMES.get(name, name) if self.is_production else name
        return getattr(self.module(module), own_name)

    @property
    def is_production(self) -> bool:
        """Whether this is the version in production."""
        return self.package == PRODUCTION_PACKAGE

    def platform(self, described: dict[str, Any]) -> Any:
        """The platform's settings as this version reads them."""
        return msgspec.convert(described, self.module("settings").Platform)

    def read_message(self, encoded: bytes) -> Any:
        """A message of a sibling as this version reads it."""
        return msgspec.msgpack.decode(encoded, type=self.module("leadership.peer_messages").Message)


CURRENT = Version(PACKAGE)


def is_of_production(node: Any) -> bool:
    """Whether a controller's process runs the version in production."""
    return isinstance(node, ProductionView)


def production_commit() -> str:
    """The commit that `deploy/service.toml` records."""
    return tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["production"]


def has_history() -> bool:
    """Whether this is a checkout with the repository's history; a tree that was unpacked from an archive has
    none, and the version in production cannot be taken from it."""
    return (ROOT / ".git").exists()


def extract_production(folder: Path) -> None:
    """Puts the sources of the version in production there."""
    command = ["git", "-C", str(ROOT), "archive", production_commit()]
    archive = subprocess.run(command, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")


@cache
def production() -> Version:
    """The version in production, imported from a copy that lives as long as this process. Raises
    CalledProcessError if the history lacks its commit."""
    folder = Path(_copies().name)
    extract_production(folder)
    # Only imports are renamed: the names of loggers and stored keys stay.
    for file in (folder / PACKAGE).rglob("*.py"):
        file.write_text(
            _IMPORT.sub(rf"\1{PRODUCTION_PACKAGE}", file.read_text(encoding="utf-8")), encoding="utf-8"
        )
    (folder / PACKAGE).rename(folder / PRODUCTION_PACKAGE)
    sys.path.append(str(folder))
    return Version(PRODUCTION_PACKAGE)


@cache
def _copies() -> tempfile.TemporaryDirectory[str]:
    """Removed when the process ends."""
    return tempfile.TemporaryDirectory(prefix="spindleglade-production-")
