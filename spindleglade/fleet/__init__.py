"""The machines of the cloud: their types, provisioning, listing and termination."""
