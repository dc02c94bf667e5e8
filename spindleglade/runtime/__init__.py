"""Clocks, background tasks, decoding and log helpers, which every package may import."""
