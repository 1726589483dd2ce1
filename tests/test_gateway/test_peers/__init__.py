"""Tests of membership, and of the messages between instances."""
