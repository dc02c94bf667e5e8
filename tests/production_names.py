"""Lets tests look at a controller of the version in production by the names that the present code has.

Production's code is frozen, so what was renamed since keeps its older name there. Only what tests look at or
put in place is listed.
"""

from typing import Any

# The package that production's sources are imported as.
PRODUCTION_PACKAGE = "spindleglade_in_production"

# Modules and names of the present code, and what production calls them.
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
    "_on_request": "_asked",
    "connections": "links",
    "incarnation": "session",
    "is_leader": "leads",
    "is_leadership_proven": "_proven",
    "on_closed": "closed",
    "on_opened": "opened",
    "peer": "sibling",
    "peers": "links",
    "permits_renewals": "holds",
}


class ProductionView:
    """An object of production's code whose attributes go by their present names."""

    __slots__ = ("_target",)

    def __init__(self, target: Any) -> None:
        object.__setattr__(self, "_target", target)

    def __getattr__(self, name: str) -> Any:
        return viewed(getattr(self._target, NAMES.get(name, name)))

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._target, NAMES.get(name, name), value)


def viewed(value: Any) -> Any:
    """The value itself, or a view of it if it is an object of production's code, alone or in a collection."""
    if isinstance(value, list):
        return [viewed(item) for item in value]
    if isinstance(value, dict):
        return {key: viewed(item) for key, item in value.items()}
    if type(value).__module__.startswith(f"{PRODUCTION_PACKAGE}."):
        return ProductionView(value)
    return value
