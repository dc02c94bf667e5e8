"""The command line: `serve` runs a controller, `check` validates settings, `warm` writes bytecode files."""

import argparse
import gc
import logging
import os
import sys
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

from spindleglade.settings import OperatorSettings, Platform, SettingsError, load_operator, load_platform

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
# Environment variable that overrides the log level of the operators' settings.
LOG_LEVEL_VARIABLE = "LOG_LEVEL"
EXIT_OK = 0
EXIT_BAD_INPUT = 2


class _OneLineErrorParser(argparse.ArgumentParser):
    """Reports an invalid command line in one line, without the usage text."""

    def error(self, message: str) -> None:  # type: ignore[override]
        self.exit(EXIT_BAD_INPUT, f"{self.prog}: command line: {message}\n")


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    result = _OneLineErrorParser(
        prog="spindleglade", description="A cluster scheduler that backfills by run-time distributions."
    )
    commands = result.add_subparsers(dest="command", required=True, parser_class=_OneLineErrorParser)
    for name, summary in (("serve", "run one controller"), ("check", "check the settings and exit")):
        command = commands.add_parser(name, help=summary, description=summary)
        command.add_argument("--settings", metavar="FILE.hcl", help="the operators' settings, in HCL")
        command.add_argument("--config", metavar="FILE", required=True, help="the platform's JSON settings")
    commands.add_parser("warm", help="import all modules once to write their bytecode files")
    return result


class _LogFormatter(logging.Formatter):
    """Formats log lines with the time in UTC and the controller's name."""

    def __init__(self, controller: str) -> None:
        super().__init__(f"%(asctime)s %(levelname)s {controller} %(name)s %(message)s")

    def formatTime(self, record: logging.LogRecord, datefmt: str | None = None) -> str:
        return datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")


def set_up_logging(settings: OperatorSettings, controller: str) -> None:
    """Configures logging to standard error, at the level from the environment variable or else the settings.

    Raises SettingsError.
    """
    level = os.environ.get(LOG_LEVEL_VARIABLE) or settings.log.level
    if level not in LOG_LEVELS:
        reason = f"{level!r} is not one of {', '.join(LOG_LEVELS)}"
        raise SettingsError("environment", LOG_LEVEL_VARIABLE, reason)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_LogFormatter(controller))
    logging.basicConfig(level=LOG_LEVELS[level], handlers=[handler], force=True)
    # The log format shows no thread or process, and looking them up would take time on each line.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False


def serve(platform: Platform, settings: OperatorSettings) -> int:
    """Runs a controller until the process is stopped; returns the exit code."""
    # Imported modules are never freed, so collecting garbage among them, now or later, would only delay the
    # start. Leases of machines that wait for this controller could expire meanwhile.
    gc.disable()
    # Imported here so that an invalid settings file is reported without waiting for these imports.
    from twisted.internet import reactor as installed_reactor
    from twisted.python.log import PythonLoggingObserver

    from spindleglade.controller.wiring import run_controller

    # Typed as Any because the reactor's interface declares its methods without `self`.
    reactor: Any = installed_reactor
    PythonLoggingObserver("twisted").start()
    logging.getLogger("twisted").setLevel(logging.ERROR)
    run_controller(platform, settings, reactor)
    gc.freeze()
    gc.enable()
    reactor.run()
    return EXIT_OK


def warm() -> int:
    """Imports all modules so that Python writes their bytecode files; returns the exit code."""
    import hcl2  # noqa: F401
    import twisted.internet.reactor  # noqa: F401

    import spindleglade.controller.wiring  # noqa: F401

    return EXIT_OK


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    options = parser().parse_args(arguments)
    if options.command == "warm":
        return warm()
    try:
        platform = load_platform(options.config)
        settings = load_operator(options.settings)
        set_up_logging(settings, platform.name)
    except SettingsError as error:
        print(f"spindleglade: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    if options.command == "check":
        print("settings are good")
        return EXIT_OK
    return serve(platform, settings)
