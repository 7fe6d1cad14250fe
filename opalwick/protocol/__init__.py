"""Wire formats of clients, workers, discovery and peers, and of the settings; maps their names to objects."""
