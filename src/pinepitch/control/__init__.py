"""The control daemon: sessions, bootstrap, membership and the work of the leader."""
