"""Leadership: elections, leases and tokens, and the connections between the controllers."""
