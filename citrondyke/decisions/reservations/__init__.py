"""Places in the future: who may come back when, and that it is served then."""
