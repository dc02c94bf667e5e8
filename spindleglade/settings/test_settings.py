"""Tests of both settings files and of the command line, with valid and invalid input."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.cli import main
from spindleglade.settings import SettingsError
from spindleglade.settings.operator import OperatorSettings, parse_operator
from spindleglade.settings.platform import load_platform

VALID_SETTINGS = {
    "node": "spindle-0",
    "zone": "a",
    "client_listen": "127.0.0.1:8080",
    "peer_bind": "127.0.0.1:8081",
    "siblings": [{"node": "spindle-1", "zone": "b", "endpoint": "127.0.0.2:8081"}],
    "external": {"cloud": "127.0.0.3:1", "state": "127.0.0.3:2"},
    "params": {
        "size": 2,
        "zones": ["a", "b"],
        "teams": [{"name": "t", "cpus": 4.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0}],
        "objectives": [{"kind": "deadline", "class": "c", "share": 0.9}],
        "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 30.0},
        "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 12},
        "cloud": {"rps": 3.0, "list_lag_s": 5.0},
    },
}

FIELD_PATHS = [
    ("node",),
    ("client_listen",),
    ("siblings",),
    ("external", "state"),
    ("params", "teams"),
    ("params", "workers", "lease_s"),
    ("params", "state", "txn_ops"),
    ("params", "cloud", "rps"),
]


def settings_with(path, value, drop=False):
    """Returns the valid settings with another value at a path, or without that field if `drop` is set."""
    settings = json.loads(json.dumps(VALID_SETTINGS))
    parent = settings
    for key in path[:-1]:
        parent = parent[key]
    if drop:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return settings


def write_file(tmp_path, text):
    file = tmp_path / "platform.json"
    file.write_text(text if isinstance(text, str) else json.dumps(text))
    return str(file)


def test_unknown_fields_of_the_platform_are_ignored(tmp_path):
    loaded = load_platform(write_file(tmp_path, VALID_SETTINGS | {"later": [1, {"x": None}]}))
    assert (
        loaded.controller_count == 2
        and loaded.teams["t"].cpus_max == 8.0
        and loaded.min_start_objective is None
    )


@pytest.mark.parametrize("limits", [{}, {"cpus_max": 0.0, "gpus_max": 0}, {"cpus_max": 0, "gpus_max": 2.0}])
def test_a_team_limit_of_0_means_no_limit(tmp_path, limits):
    teams = [{"name": "guest", "cpus": 0.0, **limits}]
    guest = load_platform(write_file(tmp_path, settings_with(("params", "teams"), teams))).teams["guest"]
    assert (guest.cpus, guest.cpus_max, guest.gpus_max) == (0.0, math.inf, limits.get("gpus_max") or math.inf)


@pytest.mark.parametrize("path", FIELD_PATHS)
@pytest.mark.parametrize("value", [None, True, -1, [], {}, "", 1e300])
def test_a_bad_value_names_its_field(tmp_path, path, value):
    if path == ("siblings",) and value == []:
        return
    if path == ("params", "teams") and value == []:
        return
    with pytest.raises(SettingsError) as error:
        load_platform(write_file(tmp_path, settings_with(path, value)))
    assert path[-1] in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize("sockets", [None, 0, 63, -1, "many", 1.5])
def test_a_machine_with_too_few_sockets_is_an_error(tmp_path, sockets):
    with pytest.raises(SettingsError, match="params.machine_limits.sockets"):
        load_platform(write_file(tmp_path, settings_with(("params", "machine_limits"), {"sockets": sockets})))
    loaded = load_platform(write_file(tmp_path, settings_with(("params", "machine_limits"), {"sockets": 64})))
    assert loaded.params.machine_limits.sockets == 64


ANNOUNCED_LIMITS = ("params", "state", "next")


@pytest.mark.parametrize("field", ["rps", "write_rps", "value_kb", "txn_ops"])
@pytest.mark.parametrize("value", [True, -1, 0, [], {}, "", 1e300])
def test_a_bad_announced_limit_names_its_field(tmp_path, capsys, field, value):
    bad = write_file(tmp_path, settings_with(ANNOUNCED_LIMITS, {field: value}))
    assert main(["check", "--config", bad]) == 2
    error_output = capsys.readouterr().err
    assert (
        error_output.count("\n") == 1
        and "platform.json" in error_output
        and f"params.state.next.{field}" in error_output
    )


@pytest.mark.parametrize("value", [True, 3, [], "", {"txn_ops": 2}, {"txn_ops": 4.5}])
def test_malformed_announced_limits_are_an_error(tmp_path, value):
    with pytest.raises(SettingsError, match="params.state.next"):
        load_platform(write_file(tmp_path, settings_with(ANNOUNCED_LIMITS, value)))


@pytest.mark.parametrize(
    "announced", [None, {}, {"value_kb": None}, {"txn_ops": 20, "value_kb": 32, "rps": 1e3, "more": 1}]
)
def test_announced_limits_that_are_not_smaller_change_nothing(tmp_path, announced):
    plain = load_platform(write_file(tmp_path, VALID_SETTINGS)).params.state
    limits = load_platform(write_file(tmp_path, settings_with(ANNOUNCED_LIMITS, announced))).params.state
    assert (
        limits.lowest == plain
        and limits.max_transaction_changes == 12
        and limits.new_value_bytes == int(16 * 1024 * 0.9)
    )
    assert limits.max_value_bytes == limits.max_new_value_bytes == 16 * 1024


def test_the_smaller_of_both_limits_is_used(tmp_path):
    announced = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 28}
    limits = load_platform(write_file(tmp_path, settings_with(ANNOUNCED_LIMITS, announced))).params.state
    assert (limits.lowest.rps, limits.lowest.write_rps, limits.max_transaction_changes) == (100.0, 28.0, 4)
    assert limits.new_value_bytes == int(2 * 1024 * 0.9) and limits.max_new_value_bytes == 2048
    assert limits.max_value_bytes == 16 * 1024


@pytest.mark.parametrize("path", FIELD_PATHS)
def test_a_missing_field_is_named(tmp_path, path):
    with pytest.raises(SettingsError, match=path[-1]):
        load_platform(write_file(tmp_path, settings_with(path, None, drop=True)))


@given(st.text(max_size=60))
def test_any_text_is_either_parsed_or_a_settings_error(text):
    try:
        assert isinstance(parse_operator("x.hcl", text), OperatorSettings)
    except SettingsError as error:
        assert "\n" not in str(error) and str(error).startswith("x.hcl: ")


def test_operators_settings_are_read_from_hcl():
    settings = parse_operator(
        "x.hcl", 'backfill {\n tau = 0.1\n predictor = "estimates"\n}\nlog {\n level = "debug"\n}\n'
    )
    assert settings.backfill.tau == 0.1 and settings.backfill.predictor == "estimates"
    assert settings.log.level == "debug" and settings.fleet == OperatorSettings().fleet


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("backfill {\n tau = 2\n}", "backfill.tau"),
        ("backfill {\n tau = true\n}", "backfill.tau"),
        ("backfill {\n nope = 1\n}", "nope"),
        ("tau = 1", "tau"),
        ("nope {\n}", "nope"),
        ("log {\n}\nlog {\n}", "log"),
        ("backfill {", "x.hcl"),
    ],
)
def test_a_bad_operators_setting_names_its_field(text, field):
    with pytest.raises(SettingsError) as error:
        parse_operator("x.hcl", text)
    assert field in str(error.value)


def test_the_command_line_reports_bad_input_in_one_line(tmp_path, capsys, monkeypatch):
    good = write_file(tmp_path, VALID_SETTINGS)
    bad = tmp_path / "bad.hcl"
    bad.write_text("backfill {\n tau = 2\n}\n")
    assert main(["check", "--config", good]) == 0
    capsys.readouterr()
    assert main(["check", "--config", good, "--settings", str(bad)]) == 2
    error_output = capsys.readouterr().err
    assert error_output.count("\n") == 1 and "bad.hcl" in error_output and "backfill.tau" in error_output
    monkeypatch.setenv("LOG_LEVEL", "loud")
    assert main(["check", "--config", good]) == 2
    assert "LOG_LEVEL" in capsys.readouterr().err
    for arguments in (["check"], ["check", "--config"], ["dance"], []):
        with pytest.raises(SystemExit) as exit_info:
            main(arguments)
        assert exit_info.value.code == 2
        assert capsys.readouterr().err.count("\n") == 1
