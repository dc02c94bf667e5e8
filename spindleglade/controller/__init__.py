"""One controller: its wiring, and what it does while it leads."""
