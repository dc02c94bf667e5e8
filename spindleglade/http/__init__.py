"""The HTTP client, the limits on connections, and the server."""
