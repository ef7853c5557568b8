"""Roll-outs: moving a service to targets of a new version."""
