"""Backend servers: connections, responses, health and crashes."""
