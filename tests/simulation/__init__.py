"""The parts of a simulated deployment: network, controller processes, machines, users and faults."""
