"""Adapter between the drill wire and the decision module; the wire's names end here."""
