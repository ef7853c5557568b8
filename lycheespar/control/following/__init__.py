"""Links of nodes to the control hosts, and the followed configuration."""
