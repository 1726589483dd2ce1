"""Batch jobs: accepted, run, kept and shown."""
