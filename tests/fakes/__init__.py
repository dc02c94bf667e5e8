"""Fakes of the services and workers around a controller, by the published protocols."""
