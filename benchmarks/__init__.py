"""Benchmarks: ratios and figures, run one at a time."""
