"""Tests of the gateway's beliefs."""
