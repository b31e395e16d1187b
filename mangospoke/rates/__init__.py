"""Client account rates, exact over the whole fleet."""
