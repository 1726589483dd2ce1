"""Client accounts: API keys and fleet-wide rate limits."""
