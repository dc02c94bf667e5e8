"""The state service: its client, the rates it allows, and the replica that each controller keeps of it."""
