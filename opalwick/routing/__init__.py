"""The reducer, which owns the scheduler's state and the load balancer; no I/O, no clock."""
