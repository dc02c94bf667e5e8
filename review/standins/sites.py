"""Settings like those of the two small deployments, from their site files."""

from typing import Any

from standins.deployment import Site

NILE16 = {
    "name": "nile16",
    "vcpus": 16.0,
    "accelerators": 0.0,
    "mem_gb": 64.0,
    "local_gb": 70.0,
    "pull_gb_per_s": 0.25,
    "rate": 0.82,
    "spot_price": 0.19,
    "ready_s": 20.0,
    "glades": ["maadi", "smouha"],
}


def nabd_fitness(spot_in_maadi: int, boot_s: float, guest_team: bool = False) -> Site:
    """The site nabd-fitness, with the machines that the cloud has to give.

    `boot_s` is how long a machine takes until it is up, "at times within a second or two".
    """
    teams = [
        {"name": f"backoffice-{n:02}", "cpus": 64.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0}
        for n in range(16)
    ]
    if guest_team:
        teams.append({"name": "coach-lab", "cpus": 0.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0})
    params: dict[str, Any] = {
        "teams": teams,
        "objectives": [
            {"kind": "finished", "class": "booking-sync", "within_s": 250.0, "share": 0.82},
            {"kind": "deadline", "class": "gate-list", "share": 0.97, "times": 1.0},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.9},
        ],
        "workers": {
            "report_s": 0.8,
            "lease_s": 10.0,
            "gang_wait_s": 35.0,
            "gang_peer_s": 6.0,
            "cancel_s": 30.0,
        },
        "state": {"rps": 200.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32},
        "cloud": {"rps": 3.0, "list_lag_s": 8.0},
        "machine_limits": {"core_share": 0.288, "memory_mb": 146.0, "sockets": 700},
        "clock_error_ms": 5.0,
    }
    return Site(
        zones=["maadi", "smouha"],
        params=params,
        types=[NILE16],
        free={("nile16", "maadi", True): spot_in_maadi},
        state_latency_s=0.005,
        cloud_latency_s=0.15,
        boot_s=boot_s,
    )


def job(ref: str, threads: int, vcpus: float, **fields: Any) -> dict[str, Any]:
    """A submission of an array, with these fields changed."""
    return {
        "ref": ref,
        "bobbin": "gate-list",
        "crew": "backoffice-00",
        "weave": "array",
        "urgency": "normal",
        "threads": threads,
        "vcpus": vcpus,
        "accelerators": 0.0,
        "mem_gb": 4.0,
        "pattern": "img-01",
        "size_gb": 0.1,
        "frames": None,
        "glade": None,
        "together": False,
        "scatter": False,
        "windfall": True,
        "reckon_s": 15.0,
        "knot_s": 0.0,
        "tie_s": 0.0,
        "due_s": None,
    } | fields
