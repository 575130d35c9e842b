"""Randomized fault runs of real gateway processes against stand-ins."""
