"""Tests of the gateway's peers."""
