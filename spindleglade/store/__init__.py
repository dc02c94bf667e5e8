"""The state service: client, rate budget and each node's replica."""
