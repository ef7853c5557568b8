"""Tools that build the executable and the reference pages."""
