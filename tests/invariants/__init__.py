"""Invariants that are checked in every simulated deployment, most of them at every moment."""
