"""Leadership: elections, leases, fencing tokens, and the connections between the controllers."""
