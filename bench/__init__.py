"""Benchmarks: load on real processes, and replay of traces through the decision code."""
