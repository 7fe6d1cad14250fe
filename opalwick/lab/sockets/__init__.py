"""The simulated environment on loopback sockets, for real `serve` processes."""
