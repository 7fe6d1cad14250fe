"""Sockets, buffers, pools and datagrams; nothing here knows work items."""
