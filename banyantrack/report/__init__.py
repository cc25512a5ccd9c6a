"""Service-level burn, worked out from the entries' logs."""
