"""Tests of the budget of held bytes."""
