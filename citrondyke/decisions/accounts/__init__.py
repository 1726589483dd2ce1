"""Client accounts: whose key a request brings, and how much the account may ask for."""
