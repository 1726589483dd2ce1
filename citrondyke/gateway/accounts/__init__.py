"""Rate limits of client accounts: communication with peers and the store."""
