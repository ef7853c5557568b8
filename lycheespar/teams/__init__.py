"""Teams that call through the system: keys, priorities and shares."""
