"""Access to the state service: its client, its rate limits, and the replica that each controller keeps."""
