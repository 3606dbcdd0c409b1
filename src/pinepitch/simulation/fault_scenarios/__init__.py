"""Fault scenarios of fleets that run pushed jobs, one module a subject; `registry` names them."""
