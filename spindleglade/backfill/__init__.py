"""Planning: queue order, run-time distributions, reservation, backfilling and preemption. Pure logic."""
