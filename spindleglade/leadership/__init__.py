"""Who leads: the lease, the token, and the links between sibling nodes."""
