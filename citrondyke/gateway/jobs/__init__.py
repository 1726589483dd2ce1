"""Batch jobs: acceptance, execution, storage and results."""
