"""spindleglade: a cluster scheduler that backfills by run-time distributions."""
