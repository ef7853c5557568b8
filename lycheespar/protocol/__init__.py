"""Protocol that nodes use to forward calls to each other."""
