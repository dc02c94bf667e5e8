"""What runs next: the queue, run-time distributions, the reservation and preemption. Pure logic."""
