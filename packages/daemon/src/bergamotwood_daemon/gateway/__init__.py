"""Daemon of the gateway: entries that forward requests, and control replicas."""
