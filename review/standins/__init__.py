"""Stand-ins for the state service, the cloud, the workers, the users and the platform, after the pages."""
