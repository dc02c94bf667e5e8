"""The open connections of each controller, counted by the connection budget of its process."""

from typing import Any

from spindleglade.http.connection_budget import ConnectionBudget
from tests.simulation.endpoints import Endpoints


class OpenConnections:
    """Counts each controller's connections to machines and from workers, and the highest number ever open."""

    def __init__(self, endpoints: Endpoints) -> None:
        self._endpoints = endpoints
        self.budgets: dict[str, ConnectionBudget] = {}
        # The budget of the controller that each worker is connected to, by the worker's address.
        self._worker_budgets: dict[str, ConnectionBudget] = {}
        self.max_open = 0

    def on_opened(self, controller: str) -> None:
        """Counts one more open connection of the controller."""
        self._count_opened(self.budgets[controller])

    def connect_worker(self, worker: str, controller: str) -> None:
        """Moves a worker's one connection to the controller, or closes it if the controller does not run."""
        previous = self._worker_budgets.pop(worker, None)
        if previous is not None:
            previous.on_closed()
        if controller in self._endpoints.controllers:
            budget = self.budgets[controller]
            self._worker_budgets[worker] = budget
            self._count_opened(budget)

    def _count_opened(self, budget: Any) -> None:
        budget.on_opened()
        self.max_open = max(self.max_open, budget.open_connections)
