"""Measure the shipped decisions against fakes of endpoints in virtual time."""
