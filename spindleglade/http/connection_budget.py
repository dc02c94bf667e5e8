"""How many connections a controller has open, against what its machine allows.

When all other controllers are down, one has every worker, every user and its own commands to the machines. A
process that has used up its sockets can reach neither store nor cloud nor peers, and health checks that it
does not accept take it for ended. So what can wait gives way in time: idle connections to machines are
closed, commands are left to the response to the next heartbeat, and incoming connections that nobody uses are
closed.
"""

# From this share of the limit on nothing idle is kept.
NEARLY_EXHAUSTED_SHARE = 3 / 4
# From this share of the limit on the rest is the reserve: for store, cloud, peers and health checks.
EXHAUSTED_SHARE = 7 / 8
# Share of the limit that commands to machines may use at a time, and the least that they may use.
COMMAND_SHARE = 1 / 16
MIN_CONCURRENT_COMMANDS = 8


class ConnectionBudget:
    """Counts the connections of users and workers, and those to machines.

    The few connections to store, cloud and peers are not counted: they are in the reserve.
    """

    def __init__(self, limit: int) -> None:
        """`limit` is the number of sockets that this controller's machine allows."""
        self.limit = limit
        self.open = 0
        self._nearly_exhausted_at = int(limit * NEARLY_EXHAUSTED_SHARE)
        self._exhausted_at = int(limit * EXHAUSTED_SHARE)

    def on_opened(self) -> None:
        """Counts a connection, from the attempt on."""
        self.open += 1

    def on_closed(self) -> None:
        """Counts a connection no longer."""
        self.open -= 1

    @property
    def nearly_exhausted(self) -> bool:
        """Whether nothing idle should be kept."""
        return self.open >= self._nearly_exhausted_at

    @property
    def exhausted(self) -> bool:
        """Whether only the reserve is left: for store, cloud, peers and health checks."""
        return self.open >= self._exhausted_at

    @property
    def max_concurrent_commands(self) -> int:
        """How many requests straight to machines may be under way at a time."""
        return max(MIN_CONCURRENT_COMMANDS, int(self.limit * COMMAND_SHARE))
