"""Routing of HTTP requests to services by host and path; bodies are not parsed."""
