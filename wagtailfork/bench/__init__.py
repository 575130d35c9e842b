"""Benchmarks of balancing policies in virtual time, and cost measurements."""
