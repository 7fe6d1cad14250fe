"""Stand-ins and a small deployment of real processes, for the cases of this review. Standard library only."""
