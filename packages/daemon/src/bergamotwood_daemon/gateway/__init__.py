"""Gateway daemon: entries that proxy requests, and replicas of the control group."""
