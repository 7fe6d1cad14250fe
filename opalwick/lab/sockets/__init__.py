"""The same world behind sockets on loopback, in front of real `serve` processes."""
