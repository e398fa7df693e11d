"""Fakes of the external systems, for tests and benchmarks."""
