"""Stand-ins and builders for tests, the demo and benchmarks."""
