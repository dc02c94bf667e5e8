"""Time, background work and logging helpers that every package may use."""
