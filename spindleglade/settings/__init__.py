"""What a node is told at start: the platform's JSON file and the operators' own HCL file."""

from spindleglade.settings.operator import OperatorSettings, load_operator
from spindleglade.settings.platform import Platform, Team, load_platform
from spindleglade.settings.problem import SettingsError

__all__ = ["OperatorSettings", "Platform", "SettingsError", "Team", "load_operator", "load_platform"]
