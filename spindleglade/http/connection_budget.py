"""How many connections a controller has open, against what its machine allows.

When all others are down, one node has every worker, every user and its own orders to the machines. A process
that has used up its sockets can reach neither store nor cloud nor siblings, and is taken for ended by health
checks that it does not accept. So what can wait gives way in time: kept connections to machines are let go,
orders are left to the answer of the next report, and incoming connections that nobody uses are closed.
"""


class ConnectionBudget:
    def __init__(self, limit: int) -> None:
        self.limit = limit
        # Connections of users and workers, and those to machines. The few to store, cloud and siblings are in
        # the reserve.
        self.open = 0

    def on_opened(self) -> None:
        self.open += 1

    def on_closed(self) -> None:
        self.open -= 1

    @property
    def nearly_exhausted(self) -> bool:
        """Nothing idle should be kept."""
        return self.open >= self.limit * 3 // 4

    @property
    def exhausted(self) -> bool:
        """The rest is the reserve: for store, cloud, siblings, and health checks."""
        return self.open >= self.limit * 7 // 8

    @property
    def max_concurrent_commands(self) -> int:
        """Messages straight to machines that may be under way at a time."""
        return max(8, self.limit // 16)
