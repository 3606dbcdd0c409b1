"""Fault scenarios of control daemons, during continuous jobs, configuration changes and evacuations.

There is one module for each kind of fault; `registry` has the names of all scenarios.
"""
