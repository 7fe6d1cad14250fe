"""Adapter between the simulator's protocol and the reducer; no other package uses the protocol's names."""
