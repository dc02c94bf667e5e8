"""One controller: its wiring, and its work as the leader."""
