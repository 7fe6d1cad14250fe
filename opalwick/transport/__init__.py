"""Sockets, buffers, connection pools and datagrams, independent of work items."""
