"""Backend servers: connections to them, their answers and their ends."""
