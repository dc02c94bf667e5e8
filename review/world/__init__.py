"""Stand-ins of the second review: state service, cloud, workers and users, and the real controllers."""
