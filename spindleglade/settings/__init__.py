"""The settings of a controller: the platform's JSON file and the operators' HCL file."""

from spindleglade.settings.errors import SettingsError
from spindleglade.settings.operator import OperatorSettings, load_operator
from spindleglade.settings.platform import Platform, Team, load_platform

__all__ = ["OperatorSettings", "Platform", "SettingsError", "Team", "load_operator", "load_platform"]
