"""Configuration of a simulated deployment: platform settings, teams, machine types and job descriptions."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec

from spindleglade.runtime.clock import seconds
from spindleglade.settings import Platform

# `cancel_s`: the time within which a confirmed cancellation stops all tasks of its job.
CANCEL_TIMEOUT = seconds(20)
TYPES = [
    {
        "name": "m8",
        "vcpus": 8.0,
        "accelerators": 0.0,
        "mem_gb": 32.0,
        "local_gb": 50.0,
        "pull_gb_per_s": 1.0,
        "rate": 1.0,
        "spot_price": 0.3,
        "ready_s": 4.0,
        "glades": ["a", "b"],
    }
]
TEAMS = [
    {"name": "red", "cpus": 8.0, "cpus_max": 24.0},
    {"name": "blue", "cpus": 8.0, "cpus_max": 16.0},
]


@dataclass(frozen=True)
class DeploymentConfig:
    """The size, protocol times and limits of one deployment."""

    controllers: int = 3
    # The most machines that the cloud provides at a time.
    capacity: int = 5
    # The interval of heartbeats, and the length of a worker's lease.
    heartbeat_interval: timedelta = seconds(1)
    lease: timedelta = seconds(6)
    teams: tuple[dict, ...] = tuple(TEAMS)
    # Requests and writes per second that the state service admits, and requests per second that the cloud
    # admits.
    rps: float = 300.0
    write_rps: float = 100.0
    cloud_rps: float = 5.0
    # Connections that one controller may have open.
    sockets: int = 1024
    # CPUs of each machine.
    machine_cpus: float = 8.0
    # The state service's limits on a value's size and a transaction's operations, and the lower limits that
    # are announced to controllers; None if none are.
    value_kb: float = 16.0
    txn_ops: int = 12
    next_limits: dict[str, float] | None = None

    def limit(self, team: str) -> float:
        """The CPUs that the team's tasks may use at a time."""
        return next(entry["cpus_max"] for entry in self.teams if entry["name"] == team)


def _state_limits(config: DeploymentConfig) -> dict:
    limits = {
        "rps": config.rps,
        "write_rps": config.write_rps,
        "value_kb": config.value_kb,
        "txn_ops": config.txn_ops,
    }
    return limits if config.next_limits is None else limits | {"next": config.next_limits}


def platform(index: int, config: DeploymentConfig) -> Platform:
    """The platform settings of one controller, decoded."""
    return msgspec.convert(platform_settings(index, config), Platform)


def platform_settings(index: int, config: DeploymentConfig) -> dict[str, Any]:
    """The platform settings of one controller, as in the platform's JSON file."""
    names = [f"node-{number}" for number in range(config.controllers)]
    return {
        "node": names[index],
        "zone": "ab"[index % 2],
        "client_listen": f"10.0.0.{index}:1",
        "peer_bind": f"10.0.0.{index}:2",
        "siblings": [
            {"node": name, "zone": "a", "endpoint": f"10.0.0.{number}:2"}
            for number, name in enumerate(names)
            if number != index
        ],
        "external": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "params": {
            "zones": ["a", "b"],
            "teams": list(config.teams),
            "workers": {
                "report_s": config.heartbeat_interval.total_seconds(),
                "lease_s": config.lease.total_seconds(),
                "cancel_s": CANCEL_TIMEOUT.total_seconds(),
            },
            "state": _state_limits(config),
            "cloud": {"rps": config.cloud_rps, "list_lag_s": 1.0},
            "machine_limits": {"sockets": config.sockets},
        },
    }


def description(job_id: str, fields: dict) -> dict:
    """The body of a submission, with `fields` in place of the defaults. Only the fakes read `run_s`, a task's
    run time in seconds."""
    return {
        "ref": job_id,
        "bobbin": "c",
        "crew": "red",
        "weave": "array",
        "urgency": "normal",
        "threads": 2,
        "vcpus": 2.0,
        "accelerators": 0.0,
        "mem_gb": 2.0,
        "pattern": "img",
        "size_gb": 1.0,
        "frames": None,
        "glade": None,
        "together": False,
        "scatter": False,
        "windfall": True,
        "reckon_s": 4.0,
        "knot_s": 0.0,
        "tie_s": 0.0,
        "due_s": None,
        "run_s": 4.0,
    } | fields


def requested_cpus(job: dict) -> float:
    """The CPUs of all tasks of a job together."""
    return job["threads"] * job["vcpus"]
