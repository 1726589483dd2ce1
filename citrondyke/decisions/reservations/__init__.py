"""Reservations: due times at which returning callers are served."""
