"""Gateway daemon: entries that forward requests, and replicas of the control group."""
