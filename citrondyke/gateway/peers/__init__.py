"""Membership of the fleet, and messages between its instances."""
