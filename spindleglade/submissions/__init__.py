"""The users' interface for submission, status and cancellation of jobs, and the records of jobs."""
