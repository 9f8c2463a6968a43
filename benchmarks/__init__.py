"""Benches of the decisions; `python -m benchmarks` runs each in a short form."""
