"""Stand-ins, fault-injecting proxy and load tool."""
