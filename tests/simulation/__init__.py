"""The parts of a simulated deployment: network, controllers' processes, machines, users, and faults."""
