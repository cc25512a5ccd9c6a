"""Scheduler for multi-accelerator jobs and dispatcher of requests."""
