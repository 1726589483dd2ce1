"""Tests of the gateway's servers."""
