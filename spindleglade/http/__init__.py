"""The HTTP client, the HTTP server, and limits on connections and concurrent requests."""
