"""Replication of the configuration and the server list from the store to an instance."""
