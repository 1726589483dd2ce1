"""Origins of streams, exchanged with peers and stored for a start of all instances."""
