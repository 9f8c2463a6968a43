"""Fakes of outside systems, a local fleet and a scenario runner."""
