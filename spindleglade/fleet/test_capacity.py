"""Tests the allocation of free capacity, and that it includes capacity that is released soon."""

from dataclasses import replace

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.plan import ExpectedRelease
from spindleglade.backfill.test_planner import job, machine
from spindleglade.fleet.capacity import CapacityPool, FreeCapacity, add_soon_free_capacity


def test_capacity_that_frees_before_a_boot_counts():
    view = machine("n-1", cpus=8.0, type="s")
    release = ExpectedRelease(
        [view],
        np.array([(2.0, 0.0, 32.0)]),
        np.array([0, 0]),
        np.array([5.0, 100.0]),
        np.array([(4.0, 0.0, 1.0), (2.0, 0.0, 1.0)]),
    )
    capacity = CapacityPool()
    add_soon_free_capacity(capacity, release, {"s": 20.0})
    assert capacity.allocate(job("job-1", 1.0), 20) == 6


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["s", "l"]),
            st.sampled_from(["a", "b"]),
            st.booleans(),
            st.integers(0, 8),
            st.integers(0, 2),
            st.integers(0, 32),
        ),
        max_size=8,
    ),
    st.lists(
        st.tuples(
            st.sampled_from([1.0, 2.0, 3.5]),
            st.sampled_from([0.0, 1.0]),
            st.booleans(),
            st.sampled_from([None, "a"]),
            st.integers(1, 12),
        ),
        min_size=1,
        max_size=5,
    ),
)
def test_capacity_in_columns_is_allocated_as_machine_by_machine(machines, requests):
    """Compares the array form with a loop in which each job takes what it can, machine by machine."""
    capacity = CapacityPool([FreeCapacity(*entry[:3], *map(float, entry[3:])) for entry in machines])
    free_by_machine = [list(entry) for entry in machines]
    for cpus, gpus, spot, zone, max_tasks in requests:
        work = replace(job("job-1", cpus, spot=spot, zone=zone), gpus=gpus, memory=4.0)
        expected = 0
        for free in free_by_machine:
            while (
                expected < max_tasks
                and (spot or not free[2])
                and (zone is None or zone == free[1])
                and free[3] >= cpus
                and free[4] >= gpus
                and free[5] >= 4
            ):
                free[3], free[4], free[5] = free[3] - cpus, free[4] - gpus, free[5] - 4
                expected += 1
        assert capacity.allocate(work, max_tasks) == expected
