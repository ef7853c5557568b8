"""Agreement of the control hosts: election, replication, voters."""
