"""Checks of layering, naming and documentation: imports between packages, identifiers, and names in pages."""

import ast
import os
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "spindleglade"

# The packages that each package may import. `controller` uses all others, and only the command line imports
# it.
BASE = {"runtime", "settings", "http"}
ALLOWED_IMPORTS: dict[str, set[str]] = {
    "runtime": set(),
    "settings": set(),
    "http": {"runtime"},
    "backfill": {"settings"},
    "store": BASE,
    "submissions": BASE | {"store"},
    "leadership": BASE | {"store", "submissions"},
    "workers": BASE | {"store", "submissions", "leadership", "backfill"},
    "fleet": BASE | {"store", "submissions", "workers", "backfill"},
    "controller": BASE | {"store", "submissions", "leadership", "workers", "fleet", "backfill"},
    "cli": {"settings", "controller"},
}

# Words of the wire formats and of an earlier naming style. Decoded messages use the field's terms instead.
WIRE_WORDS = ("baton", "bobbin", "crew", "glade", "glades", "knot", "reckon", "scatter", "spin", "spindle")
STORE_WORDS = ("hold", "tally", "turn", "turns", "weave", "windfall")
HOUSE_WORDS = ("assignment", "assignments", "condemned", "deaf", "greet", "hungry", "mute", "orders", "owed")
MORE_HOUSE_WORDS = ("sibling", "siblings", "solitude", "standstill", "stray", "strays", "vouch", "vouched")
THEMED_WORDS = frozenset((*WIRE_WORDS, *STORE_WORDS, *HOUSE_WORDS, *MORE_HOUSE_WORDS))
# Words of the wire formats only as nouns, at the end of an identifier; the verb in `mark_changed` is allowed.
THEMED_LAST_WORDS = frozenset({"mark", "marks"})
# Modules whose identifiers are exempt: the fields of the operators' settings have the documented names.
EDGE_MODULES = frozenset({"settings/operator.py"})

PAGES = sorted([ROOT / "README.md", ROOT / "CONTRIBUTING.md", *(ROOT / "docs").glob("*.md")])
# Folders with files that pages name. Other folders hold files that may be removed while they are listed.
NAMED_FOLDERS = ("deploy", "docs", "spindleglade", "tests")
# Pages about earlier versions, which use the names of those versions.
HISTORICAL_PAGES = frozenset({"results.md"})
MAX_MODULE_LINES = 300
MAX_TEST_MODULE_LINES = 400


def modules() -> list[Path]:
    """The modules of the package except for tests."""
    return sorted(path for path in PACKAGE.rglob("*.py") if not path.name.startswith("test_"))


def test_modules() -> list[Path]:
    """All test modules and their support modules."""
    return sorted([*PACKAGE.rglob("test_*.py"), *(ROOT / "tests").rglob("*.py")])


test_modules.__test__ = False  # type: ignore[attr-defined]


def relative(path: Path) -> str:
    return str(path.relative_to(PACKAGE if PACKAGE in path.parents else ROOT))


@cache
def syntax_tree(path: Path) -> ast.Module:
    return ast.parse(path.read_text(encoding="utf-8"))


def package_of(path: Path) -> str:
    """The subpackage that a module belongs to; for a module at the top level, the name of the module."""
    return path.relative_to(PACKAGE).parts[0].removesuffix(".py")


def imported_packages(path: Path) -> set[str]:
    """The subpackages that a module imports anywhere, at its top level or in a function."""
    names: set[str] = set()
    for node in ast.walk(syntax_tree(path)):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            names.add(node.module)
        elif isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
    parts = [name.split(".") for name in names]
    return {part[1] for part in parts if part[0] == PACKAGE.name and len(part) > 1}


@pytest.mark.parametrize("path", modules(), ids=relative)
def test_imports_go_downwards_only(path: Path) -> None:
    package = package_of(path)
    if package == "__init__":
        return
    assert imported_packages(path) <= ALLOWED_IMPORTS[package] | {package}


def identifiers(tree: ast.Module) -> Iterator[str]:
    """All names that a module defines or uses."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Name):
            yield node.id
        elif isinstance(node, ast.Attribute):
            yield node.attr
        elif isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
            yield node.name
        elif isinstance(node, (ast.arg, ast.keyword)) and node.arg is not None:
            yield node.arg


def words(identifier: str) -> list[str]:
    """The words that an identifier is made of, in lower case."""
    return [word.lower() for word in re.findall(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+", identifier)]


def is_themed(identifier: str) -> bool:
    parts = words(identifier)
    return not THEMED_WORDS.isdisjoint(parts) or not THEMED_LAST_WORDS.isdisjoint(parts[-1:])


def themed_identifiers(tree: ast.Module) -> set[str]:
    """The identifiers of a module that use a themed word."""
    return set(filter(is_themed, identifiers(tree)))


@pytest.mark.parametrize("path", modules(), ids=relative)
def test_identifiers_use_the_terms_of_the_field(path: Path) -> None:
    if relative(path) in EDGE_MODULES:
        return
    assert not themed_identifiers(syntax_tree(path))


def test_themed_words_are_found_within_identifiers() -> None:
    tree = ast.parse("def vouchFor(self): self.mark_changed = job_mark; call(tally=1)")
    assert themed_identifiers(tree) == {"vouchFor", "job_mark", "tally"}


@cache
def test_names() -> frozenset[str]:
    """The names of all functions and classes in test modules and their support modules."""
    found: set[str] = set()
    for path in test_modules():
        for node in ast.walk(syntax_tree(path)):
            if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
                found.add(node.name)
    return frozenset(found)


test_names.__test__ = False  # type: ignore[attr-defined]


def file_names() -> set[str]:
    """The names, without folders, of all files that a page may name."""
    names = {path.name for path in ROOT.iterdir()}
    for folder in NAMED_FOLDERS:
        for _, _, files in os.walk(ROOT / folder):
            names.update(files)
    return names


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_pages_name_only_tests_that_exist(page: Path) -> None:
    if page.name in HISTORICAL_PAGES:
        return
    named = set(re.findall(r"`(test_\w+)`", page.read_text(encoding="utf-8")))
    assert named <= test_names(), sorted(named - test_names())


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_pages_name_only_files_that_exist(page: Path) -> None:
    if page.name in HISTORICAL_PAGES:
        return
    named = set(
        re.findall(r"`(?:[\w./-]*/)?([\w-]+\.(?:py|md|toml|json))`", page.read_text(encoding="utf-8"))
    )
    assert named <= file_names(), sorted(named - file_names())
