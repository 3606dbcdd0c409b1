"""Fault scenarios of control daemons that strike while jobs, changes and evacuations come all the time.

One module a subject; `registry` names them.
"""
