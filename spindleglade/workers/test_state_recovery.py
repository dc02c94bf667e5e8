"""The state that a new leader recovers from the stored task ranges."""

from spindleglade.submissions.records import StoredAttempt, TaskRangeRecord
from tests.cluster_harness import Harness


def test_a_machine_known_from_the_record_alone_gets_its_address_from_the_list():
    harness = Harness()
    harness.cluster.load_range(
        "job-1", 0, TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)}), harness.now
    )
    harness.cluster.observe_listed_machines([("n-1", "y:1", "z")])
    machine = harness.cluster.machines["n-1"]
    assert machine.address == "y:1" and not harness.cluster.is_usable(machine, harness.now)
    harness.send_heartbeat(("job-1/0", 1, "running"))
    harness.cluster.observe_listed_machines([("n-1", "y:1", "other")])
    assert machine.address == "x:1" and machine.zone == "z"


def test_attempt_numbers_never_repeat():
    harness = Harness().with_running_task()
    harness.send_heartbeat(("job-1/0", 1, "exited", "halted"))
    record = harness.cluster.jobs["job-1"].encode_range(0)
    successor = Harness()
    successor.cluster.load_range("job-1", 0, record, successor.now)
    successor.send_heartbeat()
    successor.place()
    assert successor.cluster.jobs["job-1"].placed[0].attempt == 2
