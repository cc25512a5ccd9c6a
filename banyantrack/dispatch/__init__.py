"""Requests: admission, balancing, attempts, claims."""
