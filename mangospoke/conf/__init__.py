"""Host settings and fleet declarations."""
