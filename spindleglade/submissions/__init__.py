"""Users: the interface for submissions, status and cancellation, and the records of jobs."""
