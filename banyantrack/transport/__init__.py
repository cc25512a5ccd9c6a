"""Connections: RPC between own processes, HTTP to everyone else."""
