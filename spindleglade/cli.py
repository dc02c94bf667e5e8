"""The command line: `serve` runs a controller, `check` only reads its settings."""

import argparse
import gc
import logging
import os
import sys
from collections.abc import Sequence
from datetime import UTC, datetime

from spindleglade.settings import OperatorSettings, Platform, SettingsError, load_operator, load_platform

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class _Parser(argparse.ArgumentParser):
    """Says what is wrong in one line."""

    def error(self, message: str) -> None:  # type: ignore[override]
        self.exit(2, f"{self.prog}: command line: {message}\n")


def parser() -> argparse.ArgumentParser:
    made = _Parser(prog="spindleglade", description="A cluster scheduler that backfills by distributions.")
    commands = made.add_subparsers(dest="command", required=True, parser_class=_Parser)
    for name, text in (("serve", "run one controller"), ("check", "check the settings and exit")):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--settings", metavar="FILE.hcl", help="the operators' own settings, in HCL")
        command.add_argument("--config", metavar="FILE", required=True, help="the platform's JSON settings")
    commands.add_parser("warm", help="import everything once, so that the compiled files are there")
    return made


class _Format(logging.Formatter):
    def __init__(self, node: str) -> None:
        super().__init__(f"%(asctime)s %(levelname)s {node} %(name)s %(message)s")

    def formatTime(self, record: logging.LogRecord, datefmt: str | None = None) -> str:
        return datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")


def set_up_logging(settings: OperatorSettings, node: str) -> None:
    level = os.environ.get("LOG_LEVEL") or settings.log.level
    if level not in LEVELS:
        raise SettingsError("environment", "LOG_LEVEL", f"{level!r} is not one of {', '.join(LEVELS)}")
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_Format(node))
    logging.basicConfig(level=LEVELS[level], handlers=[handler], force=True)
    # Threads and processes are not shown; finding them out costs time on each line.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False


def serve(platform: Platform, settings: OperatorSettings) -> int:
    # What is imported stays; to look through it for garbage, now and later, is wasted time. A controller that
    # is back a second sooner saves the leases of machines that wait for it.
    gc.disable()
    # Imported late, so that a bad settings file is told of at once.
    from twisted.internet import reactor
    from twisted.python.log import PythonLoggingObserver

    from spindleglade.controller.controller import run_controller

    PythonLoggingObserver("twisted").start()
    logging.getLogger("twisted").setLevel(logging.ERROR)
    run_controller(platform, settings, reactor)
    gc.freeze()
    gc.enable()
    reactor.run()  # type: ignore[attr-defined]
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    options = parser().parse_args(arguments)
    if options.command == "warm":
        import hcl2  # noqa: F401
        import twisted.internet.reactor  # noqa: F401

        import spindleglade.controller.controller  # noqa: F401

        return 0
    try:
        platform = load_platform(options.config)
        settings = load_operator(options.settings)
        set_up_logging(settings, platform.name)
    except SettingsError as error:
        print(f"spindleglade: {error}", file=sys.stderr)
        return 2
    if options.command == "check":
        print("settings are good")
        return 0
    return serve(platform, settings)
