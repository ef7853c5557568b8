"""Stand-ins for tests and demos: targets, network links and a platform."""
