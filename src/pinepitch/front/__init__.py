"""The front daemon: accepts clients' calls, forwards them to the leader, and delivers start orders."""
