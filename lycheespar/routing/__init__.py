"""Target selection, retries, hedges and retry budgets."""
