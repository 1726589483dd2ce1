"""Which servers may continue a stream."""
