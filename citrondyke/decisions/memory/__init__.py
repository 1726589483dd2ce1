"""Memory held by an instance for callers and servers."""
