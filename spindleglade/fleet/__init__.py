"""The autoscaler and the client of the cloud: machine types, provisioning, listing and termination."""
