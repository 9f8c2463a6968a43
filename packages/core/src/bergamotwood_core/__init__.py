"""Tables, systems and decisions; no sockets and no clock of its own."""
