"""Machines and the tasks on them: heartbeats, commands, attempts, and their stored state."""
