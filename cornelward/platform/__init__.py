"""Adapter to the operators' platform: the only code that uses its names and formats."""
