"""Environment of the schedulers: workers, list service and clients, as objects driven by an agenda."""
