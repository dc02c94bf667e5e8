"""Counts a controller's open connections against the number of sockets that its machine allows.

When all other controllers are down, the remaining one serves every worker and every user, and also sends
commands to the machines. A process without free sockets can reach neither the state service nor the cloud nor
its peers, and is considered down because it cannot accept health checks. Connections that can be given up are
therefore released before the limit is reached: idle connections to machines are closed, commands are sent in
the response to the next heartbeat instead of directly, and idle incoming connections are closed.
"""

# Share of the limit from which idle connections are closed early.
NEARLY_EXHAUSTED_SHARE = 3 / 4
# Share of the limit from which no request is sent to a machine. The remaining sockets are reserved for the
# state service, the cloud, peers and health checks.
EXHAUSTED_SHARE = 7 / 8
# Share of the limit that concurrent requests to machines may use.
COMMAND_SHARE = 1 / 16
# Number of concurrent requests to machines that is allowed even if it exceeds that share.
MIN_CONCURRENT_COMMANDS = 8


class ConnectionBudget:
    """Counts the connections from users and workers, and the connections to machines.

    The few connections to the state service, the cloud and peers are not counted: they use the reserve.
    """

    def __init__(self, limit: int) -> None:
        """`limit` is the number of sockets that the controller's machine allows."""
        self.limit = limit
        self.open_connections = 0
        self._nearly_exhausted_at = int(limit * NEARLY_EXHAUSTED_SHARE)
        self._exhausted_at = int(limit * EXHAUSTED_SHARE)

    def on_opened(self) -> None:
        """Counts one more connection; called when one is accepted or an attempt to connect starts."""
        self.open_connections += 1

    def on_closed(self) -> None:
        """Counts one connection fewer; called when one is closed or an attempt to connect fails."""
        self.open_connections -= 1

    @property
    def nearly_exhausted(self) -> bool:
        """Whether idle connections should be closed early."""
        return self.open_connections >= self._nearly_exhausted_at

    @property
    def exhausted(self) -> bool:
        """Whether only the reserve for the state service, the cloud, peers and health checks is left."""
        return self.open_connections >= self._exhausted_at

    @property
    def max_concurrent_commands(self) -> int:
        """The number of requests that may be sent directly to machines at the same time."""
        return max(MIN_CONCURRENT_COMMANDS, int(self.limit * COMMAND_SHARE))
