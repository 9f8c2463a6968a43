"""Routing of HTTP requests to services by host and path; bodies are not parsed.

An *entry* is an instance that serves callers. A *control replica* is an instance that
stores the configuration, the roll-outs and the directory of endpoints.
"""
