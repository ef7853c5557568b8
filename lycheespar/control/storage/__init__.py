"""Files of a control host: log, snapshots, votes."""
