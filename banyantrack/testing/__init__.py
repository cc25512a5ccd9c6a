"""Test doubles, simulations and builders for tests and benchmarks."""
