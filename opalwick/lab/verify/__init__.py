"""Explicit-state model checker for the service's state machines (`python -m opalwick verify`).

A model (`offices`, `depots`, `leases`, `notices`, `answers`) consists of a few processes that run the
production state machines, the messages between them and their disks. It enumerates the enabled transitions
and checks the invariants in each state. `explorer` searches it breadth-first.
"""
