"""Benchmarks of the router's parts; `python -m benchmarks` runs each in short form."""
