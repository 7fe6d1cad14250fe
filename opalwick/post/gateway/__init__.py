"""Gateway: accepts messages from clients, replicates them to stores, and delivers them to workers."""
