"""Detection of poison requests, under which the servers that run them exit."""
