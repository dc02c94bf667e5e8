"""What a simulated deployment is like: settings, teams, machines, and jobs as users describe them."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec

from spindleglade.runtime.clock import seconds
from spindleglade.settings import Platform

CANCEL = seconds(20)
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
    """What a deployment is like."""

    controllers: int = 3
    # Machines that the cloud has.
    capacity: int = 5
    report: timedelta = seconds(1)
    lease: timedelta = seconds(6)
    teams: tuple[dict, ...] = tuple(TEAMS)
    rps: float = 300.0
    write_rps: float = 100.0
    cloud_rps: float = 5.0
    sockets: int = 1024
    # What a machine has.
    machine_cpus: float = 8.0
    # The state service's limits, and the lower ones that it may have from some moment on.
    value_kb: float = 16.0
    txn_ops: int = 12
    next_limits: dict[str, float] | None = None

    def limit(self, team: str) -> float:
        """The CPUs that the team may use."""
        return next(entry["cpus_max"] for entry in self.teams if entry["name"] == team)


def _state_limits(at: DeploymentConfig) -> dict:
    limits = {"rps": at.rps, "write_rps": at.write_rps, "value_kb": at.value_kb, "txn_ops": at.txn_ops}
    return limits if at.next_limits is None else limits | {"next": at.next_limits}


def platform(index: int, at: DeploymentConfig) -> Platform:
    """The settings that the platform hands to one controller."""
    return msgspec.convert(platform_settings(index, at), Platform)


def platform_settings(index: int, at: DeploymentConfig) -> dict[str, Any]:
    """The same as the platform writes them down."""
    names = [f"node-{number}" for number in range(at.controllers)]
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
            "teams": list(at.teams),
            "workers": {
                "report_s": at.report.total_seconds(),
                "lease_s": at.lease.total_seconds(),
                "cancel_s": CANCEL.total_seconds(),
            },
            "state": _state_limits(at),
            "cloud": {"rps": at.cloud_rps, "list_lag_s": 1.0},
            "machine_limits": {"sockets": at.sockets},
        },
    }


def description(job_id: str, fields: dict) -> dict:
    """A job as its user describes it; `run_s` is for the fakes alone."""
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


def size(job: dict) -> float:
    return job["threads"] * job["vcpus"]
