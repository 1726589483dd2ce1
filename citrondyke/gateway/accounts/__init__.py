"""Client accounts: whether one may have another request."""
