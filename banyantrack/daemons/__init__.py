"""The two daemons."""
