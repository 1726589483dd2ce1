"""What an instance believes of the configuration and the backend servers."""
