"""The connections that controllers hold, counted as their own budgets count them."""

from typing import Any

from spindleglade.http.connection_budget import ConnectionBudget
from tests.simulation.endpoints import Endpoints


class OpenConnections:
    """Each controller's connections to machines and from workers, and the most that there ever were."""

    def __init__(self, endpoints: Endpoints) -> None:
        self._endpoints = endpoints
        self.budgets: dict[str, ConnectionBudget] = {}
        self._of_workers: dict[str, ConnectionBudget] = {}
        self.most_open = 0

    def on_opened(self, controller: str) -> None:
        """The controller has one connection more."""
        self._open(self.budgets[controller])

    def connect_worker(self, worker: str, controller: str) -> None:
        """A worker keeps its connection until it goes to another controller, or that one's process ends."""
        before = self._of_workers.pop(worker, None)
        if before is not None:
            before.on_closed()
        if controller in self._endpoints.controllers:
            budget = self.budgets[controller]
            self._of_workers[worker] = budget
            self._open(budget)

    def _open(self, budget: Any) -> None:
        budget.on_opened()
        self.most_open = max(self.most_open, budget.open)
