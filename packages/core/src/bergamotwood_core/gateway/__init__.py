"""Routing of opaque HTTP requests to services, by host and path."""
