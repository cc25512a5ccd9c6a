"""Benchmarks of the scheduler and the dispatcher; run one at a time."""
