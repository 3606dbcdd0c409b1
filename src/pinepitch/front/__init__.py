"""The front daemon: takes calls of clients, forwards them to the leader and delivers start orders."""
