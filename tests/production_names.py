"""Gives tests access to a controller of the version in production under the current names.

The code in production is frozen, so it keeps the former names of what was renamed since. Only names that
tests read or set are listed.
"""

from typing import Any

# The package name under which the sources of the version in production are imported.
PRODUCTION_PACKAGE = "spindleglade_in_production"

# The names in production of modules, and of classes and their members, by current name.
MODULES = {
    "controller.controller": "app",
    "http.client": "web",
    "http.concurrency": "web",
    "http.connection_budget": "sockets",
    "http.errors": "web",
    "leadership.peer_messages": "leadership.links",
    "leadership.peer_network": "leadership.links",
}
NAMES = {
    "ClientResponse": "Response",
    "ConcurrencyLimiter": "Turns",
    "ConnectionBudget": "Sockets",
    "Controller": "Node",
    "NoResponseError": "NoAnswer",
    "NotSentError": "NotSent",
    "PeerNetwork": "Links",
    "_closed_at": "_closed",
    "_leader_cancellation_freshness": "_leaders_bound",
    "_on_connection_lost": "_down",
    "_on_message": "_received",
    "_on_peer_message": "_asked",
    "connections": "links",
    "incarnation": "session",
    "is_leader": "leads",
    "is_leadership_proven": "_proven",
    "on_closed": "closed",
    "on_opened": "opened",
    "open_connections": "open",
    "peer": "sibling",
    "peers": "links",
    "permits_renewals": "holds",
}


class ProductionView:
    """An object of the code in production, with its attributes under their current names."""

    __slots__ = ("_target",)

    def __init__(self, target: Any) -> None:
        object.__setattr__(self, "_target", target)

    def __getattr__(self, name: str) -> Any:
        return viewed(getattr(self._target, NAMES.get(name, name)))

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._target, NAMES.get(name, name), value)


def viewed(value: Any) -> Any:
    """The value, with objects of the code in production replaced by views, also in lists and dicts."""
    if isinstance(value, list):
        return [viewed(item) for item in value]
    if isinstance(value, dict):
        return {key: viewed(item) for key, item in value.items()}
    if type(value).__module__.startswith(f"{PRODUCTION_PACKAGE}."):
        return ProductionView(value)
    return value
