"""Load balancing, outlier ejection, health probing and retry budgets for upstreams."""
