"""State and decision logic of the router, without sockets or a clock of its own."""
