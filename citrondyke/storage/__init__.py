"""Clients for the platform's services: tables, objects and lists of the fleet."""

from __future__ import annotations
