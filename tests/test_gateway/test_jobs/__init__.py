"""Tests of the gateway's batch jobs."""
